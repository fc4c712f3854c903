#include "src/shell/run_balancer.h"

#include <exception>
#include <utility>
#include <vector>

#include "cactuscross/balancer.h"
#include "src/shell/log.h"
#include "src/shell/node_shell.h"
#include "src/shell/service_sockets.h"

namespace cactuscross {
namespace {

// One iteration of the event loop: wait, tick, send. Returns the exit code, or
// -1 to continue.
int RunOnce(NodeShell& shell, ServiceSockets& callers, Balancer& balancer) {
  std::vector<pollfd> entries;
  callers.AppendPollEntries(entries);
  shell.Wait(entries);

  const TimePoint now = MonotonicNow();
  BalancerInbox inbox;
  inbox.caller_datagrams = callers.Receive();
  inbox.peer_envelopes = shell.ReceivePeers(now);
  inbox.platform_results = shell.TakePlatformResults();
  inbox.stop_requested = shell.StopRequested(now);
  const BalancerOutbox outbox = balancer.Tick(now, std::move(inbox));

  callers.Send(outbox.caller_replies);
  shell.RenewPaths(now, outbox.renewed_paths);
  shell.SendPeers(now, outbox.peer_envelopes);
  shell.ReadPlatform(outbox.platform_reads);
  callers.Update(now, balancer.ServiceAddresses());
  shell.HandleOperations(balancer);
  shell.Maintain(now);
  return shell.ExitCode(now, outbox.may_exit);
}

}  // namespace

int RunBalancer(const BalancerSettings& settings) {
  InitLogging("cactuscross-balancer", settings.node.node);
  try {
    NodeShell shell(settings.node);
    ServiceSockets callers(settings, shell.Counters());
    Balancer balancer(settings, MakeCoreDependencies());
    Log(LogSeverity::kInfo, "process", "balancer started",
        {{"listen", ToString(settings.node.listen)},
         {"operations", ToString(settings.node.operations)}});
    int exit_code = -1;
    while (exit_code < 0) {
      exit_code = RunOnce(shell, callers, balancer);
    }
    return exit_code;
  } catch (const std::exception& error) {
    Log(LogSeverity::kError, "process", "balancer stopped because of an error",
        {{"error", error.what()}});
    return 1;
  }
}

}  // namespace cactuscross
