#ifndef CACTUSCROSS_SRC_CLI_CLI_H_
#define CACTUSCROSS_SRC_CLI_CLI_H_

// The command line interface: one program that runs as balancer or agent, or as
// a tool for operators, depending on the command.

#include <ostream>
#include <string>
#include <vector>

namespace cactuscross {

// Exit codes of the program.
inline constexpr int kExitDone = 0;
inline constexpr int kExitFailed = 1;
inline constexpr int kExitInvalidInput = 2;  // arguments, settings, contract

// Output streams of a command.
struct CliStreams {
  std::ostream& out;
  std::ostream& err;
};

// Runs the command that `arguments` name and returns its exit code. `arguments`
// do not include the name of the program.
int RunCli(const std::vector<std::string>& arguments,
           const CliStreams& streams);

// Like RunCli() above, for the arguments of main().
int RunCli(int argc, char** argv);

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CLI_CLI_H_
