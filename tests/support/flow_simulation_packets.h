#ifndef CACTUSCROSS_TESTS_SUPPORT_FLOW_SIMULATION_PACKETS_H_
#define CACTUSCROSS_TESTS_SUPPORT_FLOW_SIMULATION_PACKETS_H_

// The simulated packets: their decoded header fields, stored as plain bytes.

#include <cstddef>
#include <cstdint>
#include <cstring>

#include "cactuscross/flow_types.h"

namespace cactuscross::testing {

inline constexpr std::size_t kPacketHeaderBytes = 36;

struct PacketHeader {
  FlowKey flow;
  bool from_server;
  bool opening;
  bool closing;
  bool reset;
  bool not_run;  // a response that rejects the request
  std::uint32_t sequence;
  std::uint32_t acknowledgement;
  std::uint32_t retransmit_count;
  std::uint32_t data_bytes;
  std::uint64_t request;
};

inline Bytes Encode(const PacketHeader& header) {
  Bytes bytes(sizeof(PacketHeader));
  std::memcpy(bytes.data(), &header, sizeof(PacketHeader));
  return bytes;
}

inline PacketHeader DecodeHeader(ByteView bytes) {
  PacketHeader header;
  std::memcpy(&header, bytes.data(), sizeof(PacketHeader));
  return header;
}

inline FlowPacket Decode(const Bytes& bytes) {
  const PacketHeader header = DecodeHeader(bytes);
  FlowPacket packet;
  packet.flow = header.flow;
  packet.from_server = header.from_server;
  packet.opening = header.opening;
  packet.acknowledges = header.from_server || !header.opening;
  packet.closing = header.closing;
  packet.reset = header.reset;
  packet.sequence = header.sequence;
  packet.acknowledgement = header.acknowledgement;
  packet.retransmit_count = header.retransmit_count;
  packet.data_bytes = header.data_bytes;
  packet.bytes = bytes;
  return packet;
}

// Returns the size of a packet on the wire. Simulated packets carry no payload,
// only its size.
inline std::size_t PacketBytes(const Bytes& bytes) {
  return kPacketHeaderBytes + DecodeHeader(bytes).data_bytes;
}

}  // namespace cactuscross::testing

#endif  // CACTUSCROSS_TESTS_SUPPORT_FLOW_SIMULATION_PACKETS_H_
