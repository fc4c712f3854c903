#ifndef CACTUSCROSS_FLOW_SETTINGS_H_
#define CACTUSCROSS_FLOW_SETTINGS_H_

// Settings of the processes of the flow path, filled by
// ParseFlowBalancerSettings() and ParseFlowAgentSettings() in src/config/.

#include <cstdint>
#include <string>
#include <vector>

#include "cactuscross/types.h"

namespace cactuscross {

// What both roles share.
struct FlowNodeSettings {
  std::string name;
  std::string zone;
  Endpoint data;                   // UDP: packets of flows
  Endpoint peer;                   // UDP: notices between balancers and agents
  Endpoint readiness;              // HTTP: readiness
  std::uint32_t metrics_port = 0;  // HTTP on the same host; 0: none
  bool first_start = false;        // the whole system starts for the first time
  Duration flow_max_age{60000000};
  Duration max_stop_time{6000000};  // SIGTERM to SIGKILL
};

struct FlowBalancerSettings {
  FlowNodeSettings node;
  Endpoint store;
  Endpoint control;             // UDP: other balancers; port 0: none
  std::vector<Endpoint> seeds;  // control addresses of some balancers
};

struct FlowAgentSettings {
  FlowNodeSettings node;
  std::string service;
  Endpoint server;    // UDP packets and TCP health of the backend server
  Endpoint outbound;  // UDP: packets that the server sends
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_FLOW_SETTINGS_H_
