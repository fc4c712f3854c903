#include "src/core/flow/early_packets.h"

#include <utility>

namespace cactuscross {
namespace {

// Some 2 MB at most, for the seconds of a start.
constexpr std::size_t kMaxPackets = 2048;

// A client gives an opening up after 1.4 s.
constexpr Duration kLifetime{1300000};

}  // namespace

bool EarlyPackets::BufferPacket(TimePoint now, const FlowPacket& packet) {
  if (this->packets.size() >= kMaxPackets) {
    // The oldest are past their time if any are.
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
  // Moving the bytes does not move what they hold, but be independent of it.
  for (EarlyPacket& packet : drained) {
    packet.packet.bytes = packet.bytes;
  }
  return drained;
}

}  // namespace cactuscross
