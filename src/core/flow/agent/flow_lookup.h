#ifndef CACTUSCROSS_SRC_CORE_FLOW_AGENT_FLOW_LOOKUP_H_
#define CACTUSCROSS_SRC_CORE_FLOW_AGENT_FLOW_LOOKUP_H_

// An agent's answer to the lookup of a flow by its key alone.

#include "cactuscross/flow_message.h"
#include "src/core/flow/agent/server_flows.h"

namespace cactuscross {

// `flow`: entry of the flow table, or null. `is_complete`: the server is known
// to hold no flow that the table lacks. Returns kUnknown where the answer to a
// packet of the flow depends on the packet or on the server.
LookupResult LookUpFlow(const ServerFlow* flow, bool is_complete);

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_AGENT_FLOW_LOOKUP_H_
