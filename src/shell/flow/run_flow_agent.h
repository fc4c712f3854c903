#ifndef CACTUSCROSS_SRC_SHELL_FLOW_RUN_FLOW_AGENT_H_
#define CACTUSCROSS_SRC_SHELL_FLOW_RUN_FLOW_AGENT_H_

#include "cactuscross/flow_settings.h"
#include "src/shell/flow/flow_adapter.h"

namespace cactuscross {

// Runs an agent of the flow path until it is stopped. Returns the exit code.
int RunFlowAgent(const FlowAgentSettings& settings, const FlowAdapter& adapter);

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_SHELL_FLOW_RUN_FLOW_AGENT_H_
