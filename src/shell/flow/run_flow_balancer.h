#ifndef CACTUSCROSS_SRC_SHELL_FLOW_RUN_FLOW_BALANCER_H_
#define CACTUSCROSS_SRC_SHELL_FLOW_RUN_FLOW_BALANCER_H_

#include <string>

#include "cactuscross/flow_settings.h"
#include "src/shell/flow/flow_adapter.h"

namespace cactuscross {

// Runs a balancer of the flow path until it is stopped. Returns the exit code.
// `settings_path` is the file that `settings` was read from; it is watched for
// changes.
int RunFlowBalancer(const FlowBalancerSettings& settings,
                    const FlowAdapter& adapter,
                    const std::string& settings_path);

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_SHELL_FLOW_RUN_FLOW_BALANCER_H_
