#include "src/cli/command.h"

namespace cactuscross {
namespace {

constexpr std::string_view kVersion = "0.1.0";

void AddOptions(CommandOptions& /*options*/) {}

int Run(const CommandValues& /*values*/, const CliStreams& streams) {
  streams.out << "cactuscross " << kVersion << "\n";
  return kExitDone;
}

}  // namespace

const Command kVersionCommand = {"version",
                                 "",
                                 0,
                                 "print the program's version",
                                 "Prints the program's version.",
                                 &AddOptions,
                                 &Run};

}  // namespace cactuscross
