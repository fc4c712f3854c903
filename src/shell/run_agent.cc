#include "src/shell/run_agent.h"

#include <exception>
#include <utility>
#include <vector>

#include "cactuscross/agent.h"
#include "src/shell/log.h"
#include "src/shell/node_shell.h"
#include "src/shell/server_client.h"

namespace cactuscross {
namespace {

// Performs the calls, cancellations and health check that the core requests.
// Cancellations come first because they free connections for new calls.
void CallServer(TimePoint now,
                ServerClient& server,
                const AgentOutbox& outbox) {
  for (const CallId id : outbox.server_cancels) {
    server.Cancel(now, id);
  }
  for (const ServerCall& call : outbox.server_calls) {
    server.Start(now, call);
  }
  if (outbox.health_check) {
    server.CheckHealth(now);
  }
}

// One iteration of the event loop: wait, tick, send. Returns the exit code, or
// -1 to continue.
int RunOnce(NodeShell& shell, ServerClient& server, Agent& agent) {
  std::vector<pollfd> entries;
  server.AppendPollEntries(entries);
  shell.Wait(entries);

  const TimePoint now = MonotonicNow();
  AgentInbox inbox;
  ServerUpdates updates = server.Continue(now, entries);
  inbox.server_results = std::move(updates.results);
  inbox.server_health = std::move(updates.health);
  inbox.peer_envelopes = shell.ReceivePeers(now);
  inbox.platform_results = shell.TakePlatformResults();
  inbox.stop_requested = shell.StopRequested(now);
  const AgentOutbox outbox = agent.Tick(now, std::move(inbox));

  CallServer(now, server, outbox);
  shell.RenewPaths(now, outbox.renewed_paths);
  shell.SendPeers(now, outbox.peer_envelopes);
  shell.ReadPlatform(outbox.platform_reads);
  shell.HandleOperations(agent);
  shell.Maintain(now);
  return shell.ExitCode(now, outbox.may_exit);
}

}  // namespace

int RunAgent(const AgentSettings& settings) {
  InitLogging("cactuscross-agent", settings.node.node);
  try {
    NodeShell shell(settings.node);
    ServerClient server(settings.server, shell.Counters());
    Agent agent(settings, MakeCoreDependencies());
    Log(LogSeverity::kInfo, "process", "agent started",
        {{"listen", ToString(settings.node.listen)},
         {"operations", ToString(settings.node.operations)},
         {"service", settings.service},
         {"server", ToString(settings.server)}});
    int exit_code = -1;
    while (exit_code < 0) {
      exit_code = RunOnce(shell, server, agent);
    }
    return exit_code;
  } catch (const std::exception& error) {
    Log(LogSeverity::kError, "process", "agent stopped because of an error",
        {{"error", error.what()}});
    return 1;
  }
}

}  // namespace cactuscross
