#ifndef CACTUSCROSS_SRC_CORE_CONTROL_PULL_QUEUE_H_
#define CACTUSCROSS_SRC_CORE_CONTROL_PULL_QUEUE_H_

// Contracts that this process knows to be newer elsewhere, and the pulls that
// are out for them: a bounded number at a time, repeated a few times.

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

  // `peer` has `version` of the contract of `customer`, newer than ours.
  void Enqueue(std::string_view customer,
               ContractVersion version,
               const PeerAddress& peer);

  // `version` of the contract of `customer` arrived.
  void NoteArrival(std::string_view customer, ContractVersion version);

  // Sends pulls; those without an answer go to one of `others` too.
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

  // Returns false if `entry` has been tried often enough.
  bool HandleTimeout(TimePoint now,
                     PendingMap::value_type& entry,
                     const std::vector<PeerAddress>& others);

  Outbound& outbound;
  PendingMap pending;
  std::size_t outstanding = 0;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_CONTROL_PULL_QUEUE_H_
