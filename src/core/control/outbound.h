#ifndef CACTUSCROSS_SRC_CORE_CONTROL_OUTBOUND_H_
#define CACTUSCROSS_SRC_CORE_CONTROL_OUTBOUND_H_

// Queues the outgoing control messages of one process until the end of a tick
// and counts them by kind.

#include <array>
#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

#include "cactuscross/peer_message.h"

namespace cactuscross {

// Messages and estimated payload bytes of one kind.
struct TrafficCount {
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
};

inline constexpr std::size_t kPeerMessageKinds =
    std::variant_size_v<PeerMessage>;

using TrafficCounts = std::array<TrafficCount, kPeerMessageKinds>;

// Returns the name of the alternative `index` of PeerMessage, in snake_case.
std::string_view PeerMessageName(std::size_t index);

// Returns the estimated encoded size of `envelope` in bytes, without transport
// headers.
std::size_t EstimateBytes(const PeerEnvelope& envelope);

class Outbound {
 public:
  Outbound(PeerAddress self, Incarnation incarnation)
      : self(std::move(self)), incarnation(incarnation) {}

  void Send(const PeerAddress& to, PeerMessage body);

  // Moves all queued messages to the end of `envelopes`.
  void Drain(std::vector<PeerEnvelope>& envelopes);

  const TrafficCounts& Counts() const { return this->counts; }

 private:
  PeerAddress self;
  Incarnation incarnation;
  std::vector<PeerEnvelope> pending;
  TrafficCounts counts{};
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_CONTROL_OUTBOUND_H_
