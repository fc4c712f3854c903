#include "src/core/control/pull_queue.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "src/core/control/control_limits.h"

namespace cactuscross {

void PullQueue::Enqueue(std::string_view customer,
                        ContractVersion version,
                        const PeerAddress& peer) {
  auto found = this->pending.find(customer);
  if (found == this->pending.end()) {
    found = this->pending.emplace(std::string(customer), PendingPull{}).first;
  }
  PendingPull& entry = found->second;
  if (entry.version >= version) {
    return;
  }
  entry.version = version;
  entry.peer = peer;
  entry.attempts = 0;
  this->outstanding -= entry.in_flight ? 1 : 0;
  entry.in_flight = false;
}

void PullQueue::NoteArrival(std::string_view customer,
                            ContractVersion version) {
  const auto found = this->pending.find(customer);
  if (found == this->pending.end() || version < found->second.version) {
    return;
  }
  this->outstanding -= found->second.in_flight ? 1 : 0;
  this->pending.erase(found);
}

void PullQueue::Tick(TimePoint now, const std::vector<PeerAddress>& others) {
  std::map<NodeId, std::pair<PeerAddress, std::vector<std::string>>> batches;
  for (auto entry = this->pending.begin(); entry != this->pending.end();) {
    if (!this->HandleTimeout(now, *entry, others)) {
      entry = this->pending.erase(entry);
      continue;
    }
    PendingPull& pull = entry->second;
    if (!pull.in_flight && this->outstanding < kMaxOutstandingPulls) {
      pull.in_flight = true;
      pull.retry_at = now + kPullTimeout;
      ++pull.attempts;
      ++this->outstanding;
      auto& batch = batches[pull.peer.node];
      batch.first = pull.peer;
      batch.second.push_back(entry->first);
    }
    ++entry;
  }
  for (auto& [node, batch] : batches) {
    auto next = batch.second.begin();
    while (next != batch.second.end()) {
      const auto left = static_cast<std::size_t>(batch.second.end() - next);
      const auto end = next + static_cast<std::ptrdiff_t>(
                                  std::min(left, kMaxCustomersPerPull));
      this->outbound.Send(batch.first,
                          ContractPull{{std::make_move_iterator(next),
                                        std::make_move_iterator(end)}});
      next = end;
    }
  }
}

bool PullQueue::HandleTimeout(TimePoint now,
                              PendingMap::value_type& entry,
                              const std::vector<PeerAddress>& others) {
  PendingPull& pull = entry.second;
  if (!pull.in_flight || now < pull.retry_at) {
    return true;
  }
  pull.in_flight = false;
  --this->outstanding;
  if (!others.empty()) {
    pull.peer = others[pull.attempts % others.size()];
  }
  return pull.attempts < kMaxPullAttempts;
}

}  // namespace cactuscross
