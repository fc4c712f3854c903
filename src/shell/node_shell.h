#ifndef CACTUSCROSS_SRC_SHELL_NODE_SHELL_H_
#define CACTUSCROSS_SRC_SHELL_NODE_SHELL_H_

// What balancer and agent processes share: channels to other processes, reads
// of the platform, questions of operators, stop signals and the wait between
// two ticks. It moves bytes; every decision is the core's.

#include <poll.h>

#include <vector>

#include <nlohmann/json.hpp>

#include "cactuscross/observation.h"
#include "cactuscross/peer_message.h"
#include "cactuscross/platform_message.h"
#include "cactuscross/settings.h"
#include "src/shell/control_channel.h"
#include "src/shell/counters.h"
#include "src/shell/operations_server.h"
#include "src/shell/peer_channel.h"
#include "src/shell/platform_client.h"
#include "src/shell/system.h"

namespace cactuscross {

class NodeShell {
 public:
  // Opens every channel. Throws std::exception where one cannot be opened.
  explicit NodeShell(const NodeSettings& settings);

  ShellCounters& Counters() { return this->counters; }

  // Sleeps until something arrives, at most until the next tick is due.
  // `entries` are what the role itself waits for; their revents are set.
  void Wait(std::vector<pollfd>& entries);

  std::vector<PeerEnvelope> ReceivePeers(TimePoint now);
  std::vector<PlatformResult> TakePlatformResults();
  // True once a stop was asked for; logs it.
  bool StopRequested(TimePoint now);

  void SendPeers(TimePoint now, const std::vector<PeerEnvelope>& envelopes);
  void ReadPlatform(const std::vector<PlatformRead>& reads);
  void RenewPaths(TimePoint now, const std::vector<NodeId>& nodes);
  // Closes what was left open for a while. Called once a tick.
  void Maintain(TimePoint now);

  // Answers the questions of operators by `core`.
  template <typename Core>
  void HandleOperations(const Core& core);

  // Exit code of the process if it is over, else -1: 0 when the core is done
  // after a stop, 1 when the stop's bound cut what was left.
  int ExitCode(TimePoint now, bool may_exit);

 private:
  NodeSettings settings;
  StopSignal stop_signal;  // before anything that starts a thread
  WakeEvent wake;
  ShellCounters counters;
  PeerChannel peers;
  ControlChannel control;
  PlatformClient platform;
  OperationsServer operations;
  TimePoint stop_requested_at;
  bool stopping = false;
};

template <typename Core>
void NodeShell::HandleOperations(const Core& core) {
  this->operations.HandlePending(
      {[&] {
         nlohmann::json dump = core.Dump();
         dump["shell"] = DumpCounters(this->counters);
         return dump;
       },
       [&] {
         std::vector<MetricSample> samples = core.Metrics();
         for (MetricSample& sample : CounterSamples(this->counters)) {
           samples.push_back(std::move(sample));
         }
         return samples;
       },
       [&](const DecisionQuery& query) { return core.Explain(query); }});
}

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_SHELL_NODE_SHELL_H_
