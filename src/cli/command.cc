#include "src/cli/command.h"

#include "src/config/value_parser.h"

namespace cactuscross {

int Fail(const CliStreams& streams, const Error& error, int exit_code) {
  streams.err << ToString(error) << "\n";
  return exit_code;
}

std::vector<std::string> GetOperands(const CommandValues& values) {
  if (values.count(kOperandOption) == 0) {
    return {};
  }
  return values[kOperandOption].as<std::vector<std::string>>();
}

tl::expected<Endpoint, Error> GetEndpointOperand(const CommandValues& values) {
  const std::vector<std::string> operands = GetOperands(values);
  if (operands.empty()) {
    return tl::unexpected(
        Error{ResultCode::kBadCommandLine,
              "no process given; write its `operations` address, like "
              "127.0.0.1:8001",
              "", 0});
  }
  const auto endpoint = ParseEndpoint(operands.front());
  if (!endpoint) {
    return tl::unexpected(Error{ResultCode::kBadAddress,
                                QuoteText(operands.front()) +
                                    " is not an address; write one like "
                                    "127.0.0.1:8001",
                                "", 0});
  }
  return *endpoint;
}

}  // namespace cactuscross
