#ifndef CACTUSCROSS_SRC_CLI_COMMAND_H_
#define CACTUSCROSS_SRC_CLI_COMMAND_H_

// The commands of the command line interface, and functions that they share.

#include <string>
#include <string_view>

#include <boost/program_options/options_description.hpp>
#include <boost/program_options/variables_map.hpp>
#include <tl/expected.hpp>

#include "cactuscross/result_code.h"
#include "cactuscross/types.h"
#include "src/cli/cli.h"

namespace cactuscross {

using CommandOptions = boost::program_options::options_description;
using CommandValues = boost::program_options::variables_map;

// The hidden option that collects the positional arguments.
inline constexpr char kOperandOption[] = "operand";

struct Command {
  std::string_view name;
  std::string_view operands;     // as shown in the usage line
  int max_operands;              // -1: any number
  std::string_view summary;      // one line
  std::string_view description;  // for --help of the command
  void (*add_options)(CommandOptions& options);
  int (*run)(const CommandValues& values, const CliStreams& streams);
};

// Each is defined in the source file of its command.
extern const Command kBalancerCommand;
extern const Command kAgentCommand;
extern const Command kFlowBalancerCommand;
extern const Command kFlowAgentCommand;
extern const Command kCheckCommand;
extern const Command kDumpCommand;
extern const Command kExplainCommand;
extern const Command kTopCommand;
extern const Command kVersionCommand;

// Prints `error` to the error stream and returns `exit_code`.
int Fail(const CliStreams& streams, const Error& error, int exit_code);

// Returns the positional arguments.
std::vector<std::string> GetOperands(const CommandValues& values);

// Returns the first positional argument as an address.
// Errors: kBadCommandLine if there is none; kBadAddress.
tl::expected<Endpoint, Error> GetEndpointOperand(const CommandValues& values);

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CLI_COMMAND_H_
