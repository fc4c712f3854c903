#ifndef CACTUSCROSS_SETTINGS_H_
#define CACTUSCROSS_SETTINGS_H_

// Settings of one process. ParseBalancerSettings() and ParseAgentSettings() in
// src/config/ fill them from a YAML file.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cactuscross/types.h"

namespace cactuscross {

// Settings that both roles have.
struct NodeSettings {
  NodeId node = kNoNode;
  Role role = Role::kBalancer;
  std::string zone;
  Endpoint listen;                 // UDP data and ZeroMQ control
  Endpoint operations;             // HTTP: /dump, /explain, /metrics
  std::vector<Endpoint> platform;  // configuration service and host list
  std::vector<PeerAddress> seeds;  // balancers to contact at startup
  // Designated readers of the configuration service in each zone.
  std::uint32_t contract_readers_per_zone = 2;
  Duration max_stop_time{20000000};  // limit of a graceful shutdown
};

struct BalancerSettings {
  NodeSettings node;
  // Address to bind instead of the address of each service, for a network
  // fabric that rewrites destination addresses. The port is unchanged.
  std::optional<std::uint32_t> bind_address;
};

struct AgentSettings {
  NodeSettings node;
  std::string service;  // full name "customer/service"
  Endpoint server;      // HTTP of the backend server
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SETTINGS_H_
