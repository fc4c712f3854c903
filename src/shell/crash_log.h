#ifndef CACTUSCROSS_SRC_SHELL_CRASH_LOG_H_
#define CACTUSCROSS_SRC_SHELL_CRASH_LOG_H_

// Logs the end of the process by a signal such as SIGSEGV.

#include <string_view>

namespace cactuscross {

// Installs handlers that write one log line with the signal and the stack to
// `descriptor`, then end the process by the same signal. Each frame of the
// stack is an offset in the program's file, for addr2line. The line has no
// time, since a signal handler cannot format one. `node_json`: the node as it
// appears in the other lines of the log.
void InstallCrashLog(std::string_view node_json, int descriptor);

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_SHELL_CRASH_LOG_H_
