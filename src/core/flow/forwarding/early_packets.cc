#include "src/core/flow/forwarding/early_packets.h"

#include <utility>

namespace cactuscross {
namespace {

// About 2 MB, held only for the seconds of a startup.
constexpr std::size_t kMaxPackets = 2048;

// A client abandons an opening after 1.4 s.
constexpr Duration kLifetime{1300000};

}  // namespace

bool EarlyPackets::BufferPacket(TimePoint now, const FlowPacket& packet) {
  if (this->packets.size() >= kMaxPackets) {
    // Draining drops the expired packets.
    this->packets = this->Drain(now);
    if (this->packets.size() >= kMaxPackets) {
      return false;
    }
  }
  EarlyPacket buffered;
  buffered.packet = packet;
  buffered.bytes.assign(packet.bytes.begin(), packet.bytes.end());
  buffered.arrived_at = now;
  this->packets.push_back(std::move(buffered));
  this->packets.back().packet.bytes = this->packets.back().bytes;
  return true;
}

std::vector<EarlyPacket> EarlyPackets::Drain(TimePoint now) {
  std::vector<EarlyPacket> drained;
  for (EarlyPacket& packet : std::exchange(this->packets, {})) {
    if (now - packet.arrived_at < kLifetime) {
      drained.push_back(std::move(packet));
    }
  }
  // Moving a vector keeps its buffer in place, so the views would stay valid.
  // Reassign them so that the code doesn't depend on it.
  for (EarlyPacket& packet : drained) {
    packet.packet.bytes = packet.bytes;
  }
  return drained;
}

}  // namespace cactuscross
