#ifndef CACTUSCROSS_SRC_WIRE_FLOW_CODEC_H_
#define CACTUSCROSS_SRC_WIRE_FLOW_CODEC_H_

// Converts notices and gossip messages of the flow path to and from bytes, with
// protobuf as codec.

#include <optional>

#include "cactuscross/flow_gossip.h"
#include "cactuscross/flow_message.h"

namespace cactuscross {

Bytes EncodeFlowNotice(const FlowNotice& notice);

// Decodes a notice. `sender` is the IPv4 address that the datagram came from.
// Returns nothing if `bytes` is not a valid notice.
std::optional<FlowNotice> DecodeFlowNotice(ByteView bytes,
                                           std::uint32_t sender);

Bytes EncodeFlowGossip(const GossipMessage& message);

// Decodes a gossip message. `sender` is the address that the datagram came
// from. Returns nothing if `bytes` is not a valid gossip message.
std::optional<GossipMessage> DecodeFlowGossip(ByteView bytes,
                                              const Endpoint& sender);

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_WIRE_FLOW_CODEC_H_
