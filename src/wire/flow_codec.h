#ifndef CACTUSCROSS_SRC_WIRE_FLOW_CODEC_H_
#define CACTUSCROSS_SRC_WIRE_FLOW_CODEC_H_

// Notices and gossip of the flow path as protobuf.

#include <optional>

#include "cactuscross/flow_gossip.h"
#include "cactuscross/flow_message.h"

namespace cactuscross {

Bytes EncodeFlowNotice(const FlowNotice& notice);

// `sender`: IPv4 address that the datagram came from. Empty if `bytes` is no
// notice.
std::optional<FlowNotice> DecodeFlowNotice(ByteView bytes,
                                           std::uint32_t sender);

Bytes EncodeFlowGossip(const GossipMessage& message);

// `sender`: where the datagram came from. Empty if `bytes` is no gossip.
std::optional<GossipMessage> DecodeFlowGossip(ByteView bytes,
                                              const Endpoint& sender);

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_WIRE_FLOW_CODEC_H_
