#include <nlohmann/json.hpp>

#include "src/cli/command.h"
#include "src/cli/http_get.h"

namespace cactuscross {
namespace {

constexpr int kIndent = 2;  // spaces

constexpr char kDescription[] =
    "Asks a running process for its whole state and prints it as JSON.\n"
    "HOST:PORT is the process' `operations` address.";

void AddOptions(CommandOptions& options) {
  options.add_options()("pretty", "one value a line, indented");
}

int Run(const CommandValues& values, const CliStreams& streams) {
  const auto endpoint = GetEndpointOperand(values);
  if (!endpoint) {
    return Fail(streams, endpoint.error(), kExitInvalidInput);
  }
  const auto body = HttpGet(*endpoint, "/dump");
  if (!body) {
    return Fail(streams, body.error(), kExitFailed);
  }
  const auto dump = nlohmann::json::parse(*body, nullptr, false);
  if (dump.is_discarded()) {
    return Fail(streams,
                Error{ResultCode::kPeerUnreachable,
                      ToString(*endpoint) + ": the answer is not JSON", "", 0},
                kExitFailed);
  }
  const int indent = values.count("pretty") > 0 ? kIndent : -1;
  streams.out << dump.dump(indent) << "\n";
  return kExitDone;
}

}  // namespace

const Command kDumpCommand = {
    "dump",       "HOST:PORT", 1,   "print the whole state of a process",
    kDescription, &AddOptions, &Run};

}  // namespace cactuscross
