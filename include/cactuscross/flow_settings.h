#ifndef CACTUSCROSS_FLOW_SETTINGS_H_
#define CACTUSCROSS_FLOW_SETTINGS_H_

// Settings of the processes of the flow path, filled by
// ParseFlowBalancerSettings() and ParseFlowAgentSettings() in src/config/.

#include <cstdint>
#include <string>
#include <vector>

#include "cactuscross/types.h"

namespace cactuscross {

// Settings that both roles have.
struct FlowNodeSettings {
  std::string name;
  std::string zone;
  Endpoint data;                   // UDP: packets of flows
  Endpoint peer;                   // UDP: notices between balancers and agents
  Endpoint readiness;              // HTTP: readiness check
  std::uint32_t metrics_port = 0;  // HTTP on the same host; 0: disabled
  bool first_start = false;        // first start of the whole system: no server
                                   // holds flows from before
  Duration flow_max_age{60000000};
  Duration max_stop_time{6000000};  // time from SIGTERM to SIGKILL
  // Time within which an evacuated zone gets no more new flows; 0: the operator
  // does not evacuate zones.
  Duration evacuation_bound{0};
  // A server that warms up may get, in any second, its rate multiplied by
  // `warmup_overshoot`, plus `warmup_slack` openings. 0 and 0: no bound.
  double warmup_overshoot = 0;
  double warmup_slack = 0;
  // Comma-separated names of feature groups of the deployment platform, which
  // its adapter maps to other settings.
  std::string platform_features;
};

struct FlowBalancerSettings {
  FlowNodeSettings node;
  Endpoint store;
  Endpoint control;             // UDP: gossip with balancers; port 0: disabled
  std::vector<Endpoint> seeds;  // control addresses of some balancers, to
                                // join the gossip
  bool batched_lookup = true;   // look up flows by key, many in a datagram
  // Order waiting openings by priority and deadline instead of newest first,
  // where the routes publish priorities.
  bool priority_admission = true;
  bool strict_weights = false;  // never use another service of a route because
                                // the chosen one has no capacity
};

struct FlowAgentSettings {
  FlowNodeSettings node;
  std::string service;
  Endpoint server;    // backend server: UDP packets and TCP health check
  Endpoint outbound;  // UDP: the backend server sends its packets here
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_FLOW_SETTINGS_H_
