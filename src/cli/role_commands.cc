#include <cstdlib>

#include "platform/adapter.h"
#include "src/cli/command.h"
#include "src/config/file_reader.h"
#include "src/config/settings_parser.h"
#include "src/shell/flow/run_flow_agent.h"
#include "src/shell/flow/run_flow_balancer.h"
#include "src/shell/run_agent.h"
#include "src/shell/run_balancer.h"

namespace cactuscross {
namespace {

namespace po = boost::program_options;

constexpr char kBalancerDescription[] =
    "Runs a balancer: receives callers' messages at the service addresses of "
    "all\n"
    "contracts and forwards each to an agent. Logs are JSON lines on standard\n"
    "error. SIGTERM starts a graceful shutdown, which aborts no request.\n"
    "`cactuscross check --fields` lists the settings.";

constexpr char kAgentDescription[] =
    "Runs the agent of one backend server: admits requests, runs each\n"
    "non-idempotent request at most once, and holds open sessions. Logs are "
    "JSON\n"
    "lines on standard error. SIGTERM starts a graceful shutdown, which aborts "
    "no\n"
    "request and hands open sessions over to other agents.\n"
    "`cactuscross check --fields` lists the settings.";

void AddOptions(CommandOptions& options) {
  options.add_options()("settings", po::value<std::string>()->required(),
                        "YAML file with the settings of this process");
}

// Reads the settings file and runs the process, or prints all errors of the
// settings.
template <typename Settings>
int RunRole(
    const CommandValues& values,
    const CliStreams& streams,
    tl::expected<Settings, std::vector<Error>> (*parse)(std::string_view text,
                                                        std::string_view file),
    int (*run)(const Settings& settings, const std::string& settings_path)) {
  const std::string file = values["settings"].as<std::string>();
  const auto text = ReadFile(file);
  if (!text) {
    return Fail(streams, text.error(), kExitInvalidInput);
  }
  const auto settings = parse(*text, file);
  if (!settings) {
    for (const Error& error : settings.error()) {
      Fail(streams, error, kExitInvalidInput);
    }
    return kExitInvalidInput;
  }
  return run(*settings, file);
}

int RunBalancerCommand(const CommandValues& values, const CliStreams& streams) {
  return RunRole<BalancerSettings>(
      values, streams, &ParseBalancerSettings,
      [](const BalancerSettings& settings, const std::string& /*path*/) {
        return RunBalancer(settings);
      });
}

int RunAgentCommand(const CommandValues& values, const CliStreams& streams) {
  return RunRole<AgentSettings>(
      values, streams, &ParseAgentSettings,
      [](const AgentSettings& settings, const std::string& /*path*/) {
        return RunAgent(settings);
      });
}

constexpr char kFlowBalancerDescription[] =
    "Runs a balancer of the flow path on the deployment platform: forwards the "
    "packets\n"
    "of flows to the agents of backend servers, without interpreting their "
    "payload.\n"
    "Logs are JSON lines on standard output. Without --settings, the path of "
    "the\n"
    "settings is taken from the environment variable that the platform sets.";

constexpr char kFlowAgentDescription[] =
    "Runs the agent of one backend server of the flow path on the deployment "
    "platform:\n"
    "all packets to and from the server pass through it. Logs are JSON lines "
    "on\n"
    "standard output. Without --settings, the path of the settings is taken "
    "from\n"
    "the environment variable that the platform sets.";

void AddFlowOptions(CommandOptions& options) {
  auto* const settings = po::value<std::string>();
  if (const char* path = std::getenv(platform::kSettingsVariable)) {
    settings->default_value(path);
  } else {
    settings->required();
  }
  options.add_options()("settings", settings,
                        "YAML file with the settings of this process");
}

int RunFlowBalancerWithAdapter(const FlowBalancerSettings& settings,
                               const std::string& settings_path) {
  FlowBalancerSettings applied = settings;
  platform::ApplyFeatures(applied);
  return RunFlowBalancer(applied, platform::MakeAdapter(), settings_path);
}

int RunFlowAgentWithAdapter(const FlowAgentSettings& settings,
                            const std::string& settings_path) {
  return RunFlowAgent(settings, platform::MakeAdapter(), settings_path);
}

int RunFlowBalancerCommand(const CommandValues& values,
                           const CliStreams& streams) {
  return RunRole(values, streams, &ParseFlowBalancerSettings,
                 &RunFlowBalancerWithAdapter);
}

int RunFlowAgentCommand(const CommandValues& values,
                        const CliStreams& streams) {
  return RunRole(values, streams, &ParseFlowAgentSettings,
                 &RunFlowAgentWithAdapter);
}

}  // namespace

const Command kFlowBalancerCommand = {"flow-balancer",
                                      "",
                                      0,
                                      "run a balancer of the flow path",
                                      kFlowBalancerDescription,
                                      &AddFlowOptions,
                                      &RunFlowBalancerCommand};

const Command kFlowAgentCommand = {"flow-agent",
                                   "",
                                   0,
                                   "run the agent of a server on the flow path",
                                   kFlowAgentDescription,
                                   &AddFlowOptions,
                                   &RunFlowAgentCommand};

const Command kBalancerCommand = {"balancer",
                                  "",
                                  0,
                                  "run a balancer on an entry host",
                                  kBalancerDescription,
                                  &AddOptions,
                                  &RunBalancerCommand};

const Command kAgentCommand = {"agent",
                               "",
                               0,
                               "run the agent of a backend server",
                               kAgentDescription,
                               &AddOptions,
                               &RunAgentCommand};

}  // namespace cactuscross
