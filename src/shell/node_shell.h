#ifndef CACTUSCROSS_SRC_SHELL_NODE_SHELL_H_
#define CACTUSCROSS_SRC_SHELL_NODE_SHELL_H_

// I/O shared by balancer and agent processes: channels to other processes,
// reads from the platform, operators' HTTP requests, stop signals and the event
// loop's wait between two ticks. The shell only performs I/O; the core
// (src/core), which does none, makes every decision.

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
  // Opens all channels. Throws std::exception if one cannot be opened.
  explicit NodeShell(const NodeSettings& settings);

  ShellCounters& Counters() { return this->counters; }

  // Blocks until a descriptor is ready, at most until the next tick is due.
  // `entries` are the descriptors of the role (balancer or agent); their
  // revents are set.
  void Wait(std::vector<pollfd>& entries);

  std::vector<PeerEnvelope> ReceivePeers(TimePoint now);
  std::vector<PlatformResult> TakePlatformResults();
  // True once a stop signal has been received; the first call that sees it logs
  // the start of the shutdown.
  bool StopRequested(TimePoint now);

  void SendPeers(TimePoint now, const std::vector<PeerEnvelope>& envelopes);
  void ReadPlatform(const std::vector<PlatformRead>& reads);
  void RenewPaths(TimePoint now, const std::vector<NodeId>& nodes);
  // Closes expired sockets and idle connections. Called once per tick.
  void Maintain(TimePoint now);

  // Handles pending HTTP requests of operators with the state of `core`.
  template <typename Core>
  void HandleOperations(const Core& core);

  // Returns the exit code if the process must exit, else -1: 0 if the core has
  // finished the graceful shutdown, 1 if the shutdown reached its time limit
  // (`max_stop_time`) with work left.
  int ExitCode(TimePoint now, bool may_exit);

 private:
  NodeSettings settings;
  // Declared before the members that start a thread, so that all threads
  // inherit the blocked signals.
  StopSignal stop_signal;
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
