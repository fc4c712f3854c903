#ifndef CACTUSCROSS_SRC_SHELL_FLOW_RUN_FLOW_BALANCER_H_
#define CACTUSCROSS_SRC_SHELL_FLOW_RUN_FLOW_BALANCER_H_

#include "cactuscross/flow_settings.h"
#include "src/shell/flow/flow_adapter.h"

namespace cactuscross {

// Runs a balancer of the flow path until it is stopped. Returns the exit code.
int RunFlowBalancer(const FlowBalancerSettings& settings,
                    const FlowAdapter& adapter);

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_SHELL_FLOW_RUN_FLOW_BALANCER_H_
