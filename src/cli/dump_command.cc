#include <nlohmann/json.hpp>

#include "src/cli/command.h"
#include "src/cli/http_get.h"

namespace cactuscross {
namespace {

constexpr int kIndent = 2;  // spaces

constexpr char kDescription[] =
    "Fetches the whole state of a running process and prints it as JSON.\n"
    "HOST:PORT is the `operations` address of the process.";

void AddOptions(CommandOptions& options) {
  options.add_options()("pretty", "print one value per line, indented");
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
    return Fail(
        streams,
        Error{ResultCode::kPeerUnreachable,
              ToString(*endpoint) + ": the response is not valid JSON", "", 0},
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
