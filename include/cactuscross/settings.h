#ifndef CACTUSCROSS_SETTINGS_H_
#define CACTUSCROSS_SETTINGS_H_

// Settings of one process, filled by ParseBalancerSettings() and
// ParseAgentSettings() in src/config/ from a YAML file.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cactuscross/types.h"

namespace cactuscross {

// What both roles share.
struct NodeSettings {
  NodeId node = kNoNode;
  Role role = Role::kBalancer;
  std::string zone;
  Endpoint listen;                 // UDP data and ZeroMQ control
  Endpoint operations;             // HTTP: /dump, /explain, /metrics
  std::vector<Endpoint> platform;  // configuration service and host list
  std::vector<PeerAddress> seeds;  // balancers known at start
  std::uint32_t contract_readers_per_zone = 2;
  Duration max_stop_time{20000000};  // longest graceful shutdown
};

struct BalancerSettings {
  NodeSettings node;
  // Address to bind in place of each service address' own, for a fabric that
  // rewrites destinations. The port stays.
  std::optional<std::uint32_t> bind_address;
};

struct AgentSettings {
  NodeSettings node;
  std::string service;  // full name "customer/service"
  Endpoint server;      // HTTP of the backend server
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SETTINGS_H_
