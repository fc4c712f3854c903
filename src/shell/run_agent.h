#ifndef CACTUSCROSS_SRC_SHELL_RUN_AGENT_H_
#define CACTUSCROSS_SRC_SHELL_RUN_AGENT_H_

#include "cactuscross/settings.h"

namespace cactuscross {

// Runs an agent until it has received SIGTERM or SIGINT and the graceful
// shutdown has ended. Returns the exit code: 0 after a complete shutdown, 1 if
// an address cannot be bound or the shutdown reached its time limit.
int RunAgent(const AgentSettings& settings);

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_SHELL_RUN_AGENT_H_
