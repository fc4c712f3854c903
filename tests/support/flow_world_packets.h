#ifndef CACTUSCROSS_TESTS_SUPPORT_FLOW_WORLD_PACKETS_H_
#define CACTUSCROSS_TESTS_SUPPORT_FLOW_WORLD_PACKETS_H_

// The packets of the model: what a codec would decode, as plain bytes.

#include <cstddef>
#include <cstdint>
#include <cstring>

#include "cactuscross/flow_types.h"

namespace cactuscross::testing {

inline constexpr std::size_t kPacketHead = 36;  // of a flow's packet

struct Head {
  FlowKey flow;
  bool from_server;
  bool opening;
  bool closing;
  bool reset;
  bool not_run;  // an answer that refuses the request
  std::uint32_t sequence;
  std::uint32_t acknowledgement;
  std::uint32_t retransmit_count;
  std::uint32_t data_bytes;
  std::uint64_t request;
};

inline Bytes Encode(const Head& head) {
  Bytes bytes(sizeof(Head));
  std::memcpy(bytes.data(), &head, sizeof(Head));
  return bytes;
}

inline Head DecodeHead(ByteView bytes) {
  Head head;
  std::memcpy(&head, bytes.data(), sizeof(Head));
  return head;
}

inline FlowPacket Decode(const Bytes& bytes) {
  const Head head = DecodeHead(bytes);
  FlowPacket packet;
  packet.flow = head.flow;
  packet.from_server = head.from_server;
  packet.opening = head.opening;
  packet.acknowledges = head.from_server || !head.opening;
  packet.closing = head.closing;
  packet.reset = head.reset;
  packet.sequence = head.sequence;
  packet.acknowledgement = head.acknowledgement;
  packet.retransmit_count = head.retransmit_count;
  packet.data_bytes = head.data_bytes;
  packet.bytes = bytes;
  return packet;
}

// Bytes of a packet on the wire; the model's packets leave their data out.
inline std::size_t PacketBytes(const Bytes& bytes) {
  return kPacketHead + DecodeHead(bytes).data_bytes;
}

}  // namespace cactuscross::testing

#endif  // CACTUSCROSS_TESTS_SUPPORT_FLOW_WORLD_PACKETS_H_
