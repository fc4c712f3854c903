#ifndef CACTUSCROSS_COAP_MESSAGE_H_
#define CACTUSCROSS_COAP_MESSAGE_H_

// A decoded CoAP message (RFC 7252, 7641, 7959, 9175). The core uses only this
// form; src/wire/ encodes and decodes the bytes.

#include <cstdint>
#include <optional>
#include <string>

#include "cactuscross/types.h"

namespace cactuscross {

enum class CoapType : std::uint8_t {
  kConfirmable = 0,
  kNonConfirmable = 1,
  kAcknowledgement = 2,
  kReset = 3,
};

enum class CoapCode : std::uint8_t {
  kEmpty = 0,
  kGet = 1,
  kPost = 2,
  kPut = 3,
  kDelete = 4,
  kCreated = 65,
  kDeleted = 66,
  kValid = 67,
  kChanged = 68,
  kContent = 69,
  kContinue = 95,
  kBadRequest = 128,
  kUnauthorized = 129,
  kBadOption = 130,
  kForbidden = 131,
  kNotFound = 132,
  kMethodNotAllowed = 133,
  kRequestEntityIncomplete = 136,
  kConflict = 137,
  kRequestEntityTooLarge = 141,
  kTooManyRequests = 157,
  kInternalServerError = 160,
  kNotImplemented = 161,
  kBadGateway = 162,
  kServiceUnavailable = 163,
  kGatewayTimeout = 164,
};

// One Block1 or Block2 option (RFC 7959, 2.2).
struct CoapBlock {
  std::uint32_t number = 0;
  bool more = false;
  std::uint8_t size_exponent = 6;  // block size is 16 << size_exponent, 0 to 6

  std::size_t Size() const { return std::size_t{16} << this->size_exponent; }
};

struct CoapMessage {
  CoapType type = CoapType::kConfirmable;
  CoapCode code = CoapCode::kEmpty;
  std::uint16_t message_id = 0;
  Bytes token;            // 0 to 8 bytes
  std::string uri_path;   // segments joined by '/', no leading '/'
  std::string uri_query;  // arguments joined by '&'
  std::optional<std::uint32_t> observe;  // request: 0 registers, 1 cancels
  std::optional<CoapBlock> block1;
  std::optional<CoapBlock> block2;
  std::optional<std::uint32_t> size1;    // total request body, bytes
  std::optional<std::uint32_t> size2;    // total response body, bytes
  std::optional<Bytes> echo;             // 1 to 40 bytes
  std::optional<Bytes> request_tag;      // 0 to 8 bytes
  std::optional<Bytes> etag;             // 1 to 8 bytes
  std::optional<std::uint32_t> max_age;  // seconds
  std::optional<std::uint16_t> content_format;
  Bytes payload;
};

// Request codes are 0.01 to 0.31.
inline bool IsRequest(const CoapMessage& message) {
  const auto code = static_cast<std::uint8_t>(message.code);
  return code >= 1 && code <= 31;
}

// An empty message is a ping, an acknowledgement without content, or a reset.
inline bool IsEmpty(const CoapMessage& message) {
  return message.code == CoapCode::kEmpty;
}

}  // namespace cactuscross

#endif  // CACTUSCROSS_COAP_MESSAGE_H_
