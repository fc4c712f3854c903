#ifndef CACTUSCROSS_SRC_CLI_CLI_H_
#define CACTUSCROSS_SRC_CLI_CLI_H_

// The command line: one program, a table of commands.

#include <ostream>
#include <string>
#include <vector>

namespace cactuscross {

// Exit codes of the program.
inline constexpr int kExitDone = 0;
inline constexpr int kExitFailed = 1;
inline constexpr int kExitInvalidInput =
    2;  // command line, settings or contract

// Where a command writes.
struct CliStreams {
  std::ostream& out;
  std::ostream& err;
};

// Runs the command that `arguments` name, without the program's own name.
// Returns the exit code.
int RunCli(const std::vector<std::string>& arguments,
           const CliStreams& streams);

// The same for main().
int RunCli(int argc, char** argv);

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CLI_CLI_H_
