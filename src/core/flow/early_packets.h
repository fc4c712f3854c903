#ifndef CACTUSCROSS_SRC_CORE_FLOW_EARLY_PACKETS_H_
#define CACTUSCROSS_SRC_CORE_FLOW_EARLY_PACKETS_H_

// Packets that arrive before a balancer has its first view of routes and
// servers. They are handled once it has one, which is sooner than the clients
// repeat them.

#include <vector>

#include "cactuscross/flow_types.h"

namespace cactuscross {

struct EarlyPacket {
  FlowPacket packet;
  Bytes bytes;  // what `packet` points into
  TimePoint arrived_at;
};

class EarlyPackets {
 public:
  // False if there is no room.
  bool BufferPacket(TimePoint now, const FlowPacket& packet);

  // Hands over what clients still wait for.
  std::vector<EarlyPacket> Drain(TimePoint now);

  bool IsEmpty() const { return this->packets.empty(); }

 private:
  std::vector<EarlyPacket> packets;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_EARLY_PACKETS_H_
