#ifndef CACTUSCROSS_CONTRACT_H_
#define CACTUSCROSS_CONTRACT_H_

// A contract: the services, servers and limits of one customer.
// ParseContract() in src/config/ fills it from a YAML value of the
// configuration service.

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "cactuscross/result_code.h"
#include "cactuscross/types.h"

namespace cactuscross {

// Administrative state of a backend server, set by the operator.
enum class ServerState : std::uint8_t {
  kServing,  // takes new work
  kLeaving,  // draining: serves existing sessions only
};

// One backend server and the agent beside it.
struct ContractServer {
  NodeId node = kNoNode;  // of the agent
  std::string zone;
  Endpoint agent;                 // the agent's UDP data and ZeroMQ control
  std::uint32_t slots = 1;        // max concurrent requests of the server
  std::uint32_t connections = 1;  // max open sessions of the server
  ServerState state = ServerState::kServing;
};

// Limits on the traffic of one service.
struct ServiceLimits {
  std::uint32_t request_rate = 100;        // requests per second, all agents
  std::uint32_t request_burst = 100;       // requests, token bucket capacity
  std::uint32_t requests_in_flight = 100;  // requests, all agents
  std::uint32_t sessions = 1000;           // open sessions, all agents
  std::uint32_t body_bytes = 1048576;      // request or response body, bytes
  Duration queue_time{200000};             // max wait for a slot
  Duration deadline{5000000};              // from arrival to response
};

struct ContractService {
  std::string name;
  std::string full_name;  // "customer/service"
  ServiceId id = kNoService;
  std::vector<Endpoint> addresses;
  std::vector<ContractServer> servers;
  ServiceLimits limits;
  bool idempotent_posts = false;         // POST may be retried, as PUT may
  std::uint32_t session_max_age_s = 30;  // Max-Age of a notification, seconds
};

struct Contract {
  std::string customer;
  std::vector<ContractService> services;
};

using ContractParser =
    std::function<tl::expected<Contract, Error>(std::string_view key,
                                                std::string_view text)>;

}  // namespace cactuscross

#endif  // CACTUSCROSS_CONTRACT_H_
