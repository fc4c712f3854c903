#ifndef CACTUSCROSS_SRC_WIRE_COAP_CODEC_H_
#define CACTUSCROSS_SRC_WIRE_COAP_CODEC_H_

// Converts CoAP messages to and from datagrams, with libcoap as codec.

#include <optional>

#include <tl/expected.hpp>

#include "cactuscross/coap_message.h"
#include "cactuscross/result_code.h"
#include "cactuscross/types.h"

namespace cactuscross {

// Maximum size of a datagram that is decoded or encoded: the maximum payload of
// UDP over IPv4.
inline constexpr std::size_t kMaxDatagramBytes = 65507;

// Decodes one datagram. Fails with kMalformedDatagram if the message has a
// format error as defined by RFC 7252, and with kUnsupportedOption if a
// critical option is unknown, repeated although it may appear only once, or of
// an invalid length. Elective options with one of these faults are ignored, and
// so are valid Uri-Host, Uri-Port, Accept and No-Response options.
//
// In `uri_path`, a '/' within a segment is escaped as "%2F"; in `uri_query`, an
// '&' within an argument is escaped as "%26"; in both, a '%' is escaped as
// "%25". EncodeCoap() reverses this, and omits empty arguments of a query.
tl::expected<CoapMessage, ResultCode> DecodeCoap(ByteView datagram);

// Decodes only type, code, message ID and token, for the response to a message
// that DecodeCoap() rejects. Returns nothing if even these cannot be decoded.
std::optional<CoapMessage> DecodeCoapHeader(ByteView datagram);

// Encodes one message. Returns no bytes if a field is longer than CoAP allows
// or the datagram exceeds kMaxDatagramBytes.
Bytes EncodeCoap(const CoapMessage& message);

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_WIRE_COAP_CODEC_H_
