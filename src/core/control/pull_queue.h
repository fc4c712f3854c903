#ifndef CACTUSCROSS_SRC_CORE_CONTROL_PULL_QUEUE_H_
#define CACTUSCROSS_SRC_CORE_CONTROL_PULL_QUEUE_H_

// Contracts of which a peer has a newer version, and the pulls in flight for
// them. The number of pulls in flight and of attempts per version is bounded.

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "cactuscross/peer_message.h"
#include "src/core/control/outbound.h"

namespace cactuscross {

class PullQueue {
 public:
  explicit PullQueue(Outbound& outbound) : outbound(outbound) {}

  // Enqueues a pull: `peer` has `version` of the contract of `customer`, which
  // is newer than the local one.
  void Enqueue(std::string_view customer,
               ContractVersion version,
               const PeerAddress& peer);

  // Records that `version` of the contract of `customer` arrived.
  void NoteArrival(std::string_view customer, ContractVersion version);

  // Sends pulls. A pull that timed out is repeated to one of `others`.
  void Tick(TimePoint now, const std::vector<PeerAddress>& others);

  bool Empty() const { return this->pending.empty(); }
  std::size_t Size() const { return this->pending.size(); }

 private:
  struct PendingPull {
    ContractVersion version = 0;
    PeerAddress peer;
    bool in_flight = false;
    TimePoint retry_at{};
    std::size_t attempts = 0;
  };

  using PendingMap = std::map<std::string, PendingPull, std::less<>>;

  // If the attempt of `entry` timed out, ends it and selects another peer.
  // Returns false if that was the last attempt.
  bool HandleTimeout(TimePoint now,
                     PendingMap::value_type& entry,
                     const std::vector<PeerAddress>& others);

  Outbound& outbound;
  PendingMap pending;
  std::size_t outstanding = 0;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_CONTROL_PULL_QUEUE_H_
