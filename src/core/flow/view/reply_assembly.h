#ifndef CACTUSCROSS_SRC_CORE_FLOW_VIEW_REPLY_ASSEMBLY_H_
#define CACTUSCROSS_SRC_CORE_FLOW_VIEW_REPLY_ASSEMBLY_H_

// Reassembles a reply to a pull that is split over several datagrams. Parts
// that arrived stay if others are lost and are requested again.

#include <cstdint>
#include <vector>

#include "cactuscross/flow_gossip.h"

namespace cactuscross {

class ReplyAssembly {
 public:
  // Adds a part; returns true if the reply is complete. A part of a different
  // reply discards the parts received so far.
  bool Add(const GossipMessage& message);
  void Clear() { this->received.clear(); }

  // True if parts of a reply have arrived and others have not.
  bool IsPartial() const { return !this->received.empty(); }
  // Index of the first part that has not arrived; 0 if none has.
  std::uint32_t FirstMissing() const;

  // The parts received so far, and the header of the reply.
  GossipMessage& Reply() { return this->reply; }
  const GossipMessage& Reply() const { return this->reply; }

 private:
  bool IsPartOf(const GossipMessage& message) const;

  GossipMessage reply;
  std::vector<bool> received;  // empty: no reply is being reassembled
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_VIEW_REPLY_ASSEMBLY_H_
