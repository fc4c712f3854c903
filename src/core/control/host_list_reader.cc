#include "src/core/control/host_list_reader.h"

#include <algorithm>

#include "src/core/control/control_limits.h"

namespace cactuscross {

void HostListReader::HandleResult(TimePoint now, const PlatformResult& result) {
  this->outstanding = false;
  const auto hosts = static_cast<Duration::rep>(result.hosts.size());
  const Duration interval =
      std::max<Duration>(kHostListInterval, kHostListIntervalPerHost * hosts);
  this->next_read = now + this->random.Jittered(interval);
  if (!result.ok) {
    return;
  }
  for (const HostEntry& host : result.hosts) {
    // Agents track only balancers; balancers track all processes.
    if (this->role == Role::kBalancer || host.peer.role == Role::kBalancer) {
      this->members.RecordHostListEntry(now, host.peer, host.leaving);
    }
  }
}

void HostListReader::Tick(TimePoint now,
                          bool enabled,
                          std::vector<PlatformRead>& reads) {
  if (this->outstanding && now - this->sent > kPlatformReadTimeout) {
    this->outstanding = false;
  }
  if (!enabled || this->outstanding || now < this->next_read) {
    return;
  }
  this->outstanding = true;
  this->sent = now;
  this->next_read = now + kHostListInterval;
  ++this->count;
  reads.push_back({PlatformReadKind::kReadHosts, 0, Duration(0)});
}

}  // namespace cactuscross
