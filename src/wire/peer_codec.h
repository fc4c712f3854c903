#ifndef CACTUSCROSS_SRC_WIRE_PEER_CODEC_H_
#define CACTUSCROSS_SRC_WIRE_PEER_CODEC_H_

// Converts messages between the processes of the system to and from bytes, with
// protobuf as codec. A CoapMessage within a message is encoded as CoAP bytes.

#include <tl/expected.hpp>

#include "cactuscross/peer_message.h"
#include "cactuscross/result_code.h"
#include "cactuscross/types.h"

namespace cactuscross {

// Bounds of one message; a message that exceeds one of them is neither encoded
// nor decoded.
inline constexpr std::size_t kMaxEnvelopeBytes = 4U << 20U;
inline constexpr std::size_t kMaxSamplingCandidates = 32;
inline constexpr std::size_t kMaxMemberUpdates = 64;
inline constexpr std::size_t kMaxDigestEntries = 16384;
inline constexpr std::size_t kMaxPullCustomers = 16384;
inline constexpr std::size_t kMaxPushValues = 4096;
inline constexpr std::size_t kMaxNameBytes = 256;
inline constexpr std::size_t kMaxUriBytes = 8192;
inline constexpr std::size_t kMaxContractBytes = 1U << 20U;
inline constexpr Duration kMaxWireDuration{3600000000};  // 1 hour

// Encodes one message. Returns no bytes if it exceeds a bound above or holds a
// CoapMessage that cannot be encoded. Role and zone of `to` are not encoded.
Bytes EncodeEnvelope(const PeerEnvelope& envelope);

// Decodes one message. Fails with kMalformedEnvelope.
tl::expected<PeerEnvelope, ResultCode> DecodeEnvelope(ByteView bytes);

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_WIRE_PEER_CODEC_H_
