#include "src/shell/node_shell.h"

#include <stdexcept>
#include <string>
#include <system_error>
#include <utility>

#include "src/shell/log.h"

namespace cactuscross {
namespace {

// Maximum time between two ticks.
constexpr int kTickIntervalMs = 10;

PeerChannel OpenPeers(const Endpoint& listen, ShellCounters& counters) {
  auto channel = PeerChannel::Open(listen, counters);
  if (!channel) {
    throw std::system_error(channel.error(), std::generic_category(),
                            "bind UDP " + ToString(listen));
  }
  return *std::move(channel);
}

}  // namespace

NodeShell::NodeShell(const NodeSettings& settings)
    : settings(settings),
      peers(OpenPeers(settings.listen, this->counters)),
      control(settings.listen, this->counters),
      platform(settings.platform, this->wake),
      operations(settings.operations, this->wake) {}

void NodeShell::Wait(std::vector<pollfd>& entries) {
  const std::size_t role_entries = entries.size();
  entries.push_back({this->stop_signal.Get(), POLLIN, 0});
  entries.push_back({this->wake.Get(), POLLIN, 0});
  entries.push_back(this->control.PollEntry());
  this->peers.AppendPollEntries(entries);
  poll(entries.data(), entries.size(), kTickIntervalMs);
  entries.resize(role_entries);
  this->wake.Drain();
}

std::vector<PeerEnvelope> NodeShell::ReceivePeers(TimePoint now) {
  std::vector<PeerEnvelope> envelopes = this->peers.Receive(now);
  for (PeerEnvelope& envelope : this->control.Receive()) {
    envelopes.push_back(std::move(envelope));
  }
  return envelopes;
}

std::vector<PlatformResult> NodeShell::TakePlatformResults() {
  std::vector<PlatformResult> results = this->platform.TakeResults();
  for (const PlatformResult& result : results) {
    this->counters.platform_reads_failed += result.ok ? 0 : 1;
  }
  return results;
}

bool NodeShell::StopRequested(TimePoint now) {
  if (!this->stopping && this->stop_signal.Check()) {
    this->stopping = true;
    this->stop_requested_at = now;
    Log(LogSeverity::kInfo, "process", "graceful shutdown started");
  }
  return this->stopping;
}

void NodeShell::SendPeers(TimePoint now,
                          const std::vector<PeerEnvelope>& envelopes) {
  for (const PeerEnvelope& envelope : envelopes) {
    if (IsControlMessage(envelope)) {
      this->control.Send(now, envelope);
    } else {
      this->peers.Queue(now, envelope);
    }
  }
  this->peers.Flush();
}

void NodeShell::ReadPlatform(const std::vector<PlatformRead>& reads) {
  for (const PlatformRead& read : reads) {
    ++this->counters.platform_reads;
    this->platform.Read(read);
  }
}

void NodeShell::RenewPaths(TimePoint now, const std::vector<NodeId>& nodes) {
  for (const NodeId node : nodes) {
    this->peers.RenewPath(now, node);
  }
}

void NodeShell::Maintain(TimePoint now) {
  ++this->counters.ticks;
  this->peers.CloseRetired(now);
  this->control.CloseIdle(now);
}

int NodeShell::ExitCode(TimePoint now, bool may_exit) {
  if (!this->stopping) {
    return -1;
  }
  if (may_exit) {
    Log(LogSeverity::kInfo, "process", "graceful shutdown finished");
    return 0;
  }
  if (now >= this->stop_requested_at + this->settings.max_stop_time) {
    Log(LogSeverity::kError, "process",
        "graceful shutdown reached its time limit; unfinished work is aborted");
    return 1;
  }
  return -1;
}

}  // namespace cactuscross
