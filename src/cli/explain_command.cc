#include <algorithm>
#include <cctype>

#include <nlohmann/json.hpp>

#include "src/cli/command.h"
#include "src/cli/http_get.h"
#include "src/config/value_parser.h"

namespace cactuscross {
namespace {

namespace po = boost::program_options;

constexpr std::size_t kMaxTokenDigits = 16;  // 8 bytes (RFC 7252, section 3)

constexpr char kDescription[] =
    "Shows why a running process routed requests as it did and why it refused\n"
    "requests. HOST:PORT is the `operations` address of the process. Prints "
    "one\n"
    "decision per line, newest first, from a log of limited size:\n\n"
    "  time  event  code  caller -> service address  token  chosen  reason\n\n"
    "The time is that of the process's own clock, in microseconds.\n"
    "A balancer records which agent it sent a message to; that agent records "
    "the\n"
    "outcome. Codes are explained in docs/ERRORS.md.";

void AddOptions(CommandOptions& options) {
  options.add_options()(
      "caller", po::value<std::string>(),
      "show only decisions for this caller: address or address:port");
  options.add_options()(
      "token", po::value<std::string>(),
      "show only decisions for this CoAP token, in hexadecimal");
  options.add_options()("most", po::value<std::size_t>()->default_value(100),
                        "maximum number of decisions");
  options.add_options()("json", "print the decisions as JSON");
}

bool IsToken(const std::string& text) {
  return text.size() <= kMaxTokenDigits && text.size() % 2 == 0 &&
         std::all_of(text.begin(), text.end(), [](unsigned char digit) {
           return std::isxdigit(digit) != 0;
         });
}

// Returns the path and query of the HTTP request.
tl::expected<std::string, Error> BuildPath(const CommandValues& values) {
  std::string path =
      "/explain?most=" + std::to_string(values["most"].as<std::size_t>());
  if (values.count("caller") > 0) {
    const std::string caller = values["caller"].as<std::string>();
    if (!ParseEndpoint(caller) && !ParseIpv4(caller)) {
      return tl::unexpected(
          Error{ResultCode::kBadAddress,
                "--caller: write an address like 192.0.2.1 or 192.0.2.1:40000",
                "", 0});
    }
    path += "&caller=" + caller;
  }
  if (values.count("token") > 0) {
    const std::string token = values["token"].as<std::string>();
    if (!IsToken(token)) {
      return tl::unexpected(Error{
          ResultCode::kBadCommandLine,
          "--token: write up to 8 bytes in hexadecimal, like 0a1b", "", 0});
    }
    path += "&token=" + token;
  }
  return path;
}

// Returns a field of a decision as text, or "-" if it is absent or empty.
std::string FormatField(const nlohmann::json& decision, const char* name) {
  const auto found = decision.find(name);
  if (found == decision.end() || found->is_null()) {
    return "-";
  }
  const std::string text =
      found->is_string() ? found->get<std::string>() : found->dump();
  return text.empty() ? "-" : text;
}

void PrintDecision(const nlohmann::json& decision, std::ostream& out) {
  out << FormatField(decision, "time_us") << "  "
      << FormatField(decision, "event") << "  E"
      << FormatField(decision, "code") << " "
      << FormatField(decision, "code_name") << "  "
      << FormatField(decision, "caller") << " -> "
      << FormatField(decision, "service_address") << "  "
      << FormatField(decision, "token") << "  "
      << FormatField(decision, "chosen") << "  "
      << FormatField(decision, "reason") << "\n";
}

int Run(const CommandValues& values, const CliStreams& streams) {
  const auto endpoint = GetEndpointOperand(values);
  if (!endpoint) {
    return Fail(streams, endpoint.error(), kExitInvalidInput);
  }
  const auto path = BuildPath(values);
  if (!path) {
    return Fail(streams, path.error(), kExitInvalidInput);
  }
  const auto body = HttpGet(*endpoint, *path);
  if (!body) {
    return Fail(streams, body.error(), kExitFailed);
  }
  const auto decisions = nlohmann::json::parse(*body, nullptr, false);
  if (!decisions.is_array()) {
    return Fail(
        streams,
        Error{ResultCode::kPeerUnreachable,
              ToString(*endpoint) + ": the response is not a JSON list", "", 0},
        kExitFailed);
  }
  if (values.count("json") > 0) {
    streams.out << decisions.dump() << "\n";
    return kExitDone;
  }
  for (const nlohmann::json& decision : decisions) {
    PrintDecision(decision, streams.out);
  }
  if (decisions.empty()) {
    streams.out
        << "no decision matches; it may have been dropped from the log of "
           "limited size, or be in the log of another process\n";
  }
  return kExitDone;
}

}  // namespace

const Command kExplainCommand = {
    "explain",    "HOST:PORT", 1,   "show why requests were routed or refused",
    kDescription, &AddOptions, &Run};

}  // namespace cactuscross
