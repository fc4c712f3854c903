#ifndef CACTUSCROSS_SRC_SHELL_RUN_BALANCER_H_
#define CACTUSCROSS_SRC_SHELL_RUN_BALANCER_H_

#include "cactuscross/settings.h"

namespace cactuscross {

// Runs a balancer until it has received SIGTERM or SIGINT and the graceful
// shutdown has ended. Returns the exit code: 0 after a complete shutdown, 1 if
// an address cannot be bound or the shutdown reached its time limit.
int RunBalancer(const BalancerSettings& settings);

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_SHELL_RUN_BALANCER_H_
