#include "src/cli/cli.h"

#include <algorithm>
#include <array>
#include <iostream>

#include <boost/program_options/parsers.hpp>

#include "src/cli/command.h"
#include "src/config/value_parser.h"

namespace cactuscross {
namespace {

namespace po = boost::program_options;

constexpr std::size_t kNameColumnWidth = 15;  // characters

constexpr std::array kCommands = {
    &kBalancerCommand,  &kAgentCommand, &kFlowBalancerCommand,
    &kFlowAgentCommand, &kCheckCommand, &kDumpCommand,
    &kExplainCommand,   &kTopCommand,   &kVersionCommand,
};

void PrintProgramHelp(std::ostream& out) {
  out << "cactuscross: a layer-4 load balancer with inspectable decisions.\n\n"
         "Usage: cactuscross COMMAND [OPTIONS]\n\nCommands:\n";
  for (const Command* command : kCommands) {
    out << "  " << command->name
        << std::string(kNameColumnWidth - command->name.size(), ' ')
        << command->summary << "\n";
  }
  out << "\n`cactuscross COMMAND --help` describes a command.\n"
         "Exit codes: 0 done; 1 failed; 2 bad command line, settings or "
         "contract.\n";
}

// Returns the options that --help shows.
CommandOptions VisibleOptions(const Command& command) {
  CommandOptions options("Options");
  options.add_options()("help,h", "print this help and exit");
  command.add_options(options);
  return options;
}

void PrintCommandHelp(const Command& command, std::ostream& out) {
  out << "Usage: cactuscross " << command.name << " [OPTIONS]"
      << (command.operands.empty() ? "" : " ") << command.operands << "\n\n"
      << command.description << "\n\n"
      << VisibleOptions(command);
}

// Throws po::error.
CommandValues ParseArguments(const Command& command,
                             const std::vector<std::string>& arguments) {
  CommandOptions options = VisibleOptions(command);
  options.add_options()(kOperandOption, po::value<std::vector<std::string>>());
  po::positional_options_description positional;
  if (command.max_operands != 0) {
    positional.add(kOperandOption, command.max_operands);
  }
  CommandValues values;
  po::store(po::command_line_parser(arguments)
                .options(options)
                .positional(positional)
                .run(),
            values);
  if (values.count("help") == 0) {
    po::notify(values);  // checks that required options are present
  }
  return values;
}

int RunCommand(const Command& command,
               const std::vector<std::string>& arguments,
               const CliStreams& streams) {
  CommandValues values;
  try {
    values = ParseArguments(command, arguments);
  } catch (const po::error& error) {
    return Fail(streams,
                Error{ResultCode::kBadCommandLine,
                      std::string(error.what()) + "; see `cactuscross " +
                          std::string(command.name) + " --help`",
                      "", 0},
                kExitInvalidInput);
  }
  if (values.count("help") > 0) {
    PrintCommandHelp(command, streams.out);
    return kExitDone;
  }
  return command.run(values, streams);
}

int FailUnknownCommand(const std::string& name, const CliStreams& streams) {
  std::vector<std::string_view> names;
  names.reserve(kCommands.size());
  for (const Command* command : kCommands) {
    names.push_back(command->name);
  }
  const std::string_view nearest = FindNearest(name, names);
  std::string detail = "no command " + QuoteText(name);
  if (!nearest.empty()) {
    detail += "; write '" + std::string(nearest) + "'";
  }
  return Fail(streams,
              Error{ResultCode::kBadCommandLine,
                    detail + "; see `cactuscross --help`", "", 0},
              kExitInvalidInput);
}

}  // namespace

int RunCli(const std::vector<std::string>& arguments,
           const CliStreams& streams) {
  if (arguments.empty()) {
    PrintProgramHelp(streams.err);
    return kExitInvalidInput;
  }
  const std::string& name = arguments.front();
  if (name == "--help" || name == "-h" || name == "help") {
    PrintProgramHelp(streams.out);
    return kExitDone;
  }
  const auto* const found = std::find_if(
      kCommands.begin(), kCommands.end(),
      [&name](const Command* command) { return command->name == name; });
  if (found == kCommands.end()) {
    return FailUnknownCommand(name, streams);
  }
  return RunCommand(**found, {arguments.begin() + 1, arguments.end()}, streams);
}

int RunCli(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + std::min(argc, 1),
                                           argv + argc);
  return RunCli(arguments, CliStreams{std::cout, std::cerr});
}

}  // namespace cactuscross
