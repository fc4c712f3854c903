#ifndef CACTUSCROSS_SRC_CORE_FLOW_FORWARDING_EARLY_PACKETS_H_
#define CACTUSCROSS_SRC_CORE_FLOW_FORWARDING_EARLY_PACKETS_H_

// Buffers packets that arrive before a balancer has loaded its first view of
// routes and servers. They are handled as soon as the view is loaded, which is
// sooner than the clients retransmit them.

#include <vector>

#include "cactuscross/flow_types.h"

namespace cactuscross {

struct EarlyPacket {
  FlowPacket packet;
  Bytes bytes;  // storage that `packet.bytes` refers to
  TimePoint arrived_at;
};

class EarlyPackets {
 public:
  // Returns false if the buffer is full.
  bool BufferPacket(TimePoint now, const FlowPacket& packet);

  // Removes and returns the packets that clients still wait for an answer to.
  std::vector<EarlyPacket> Drain(TimePoint now);

  bool IsEmpty() const { return this->packets.empty(); }

 private:
  std::vector<EarlyPacket> packets;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_FORWARDING_EARLY_PACKETS_H_
