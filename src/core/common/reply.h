#ifndef CACTUSCROSS_SRC_CORE_COMMON_REPLY_H_
#define CACTUSCROSS_SRC_CORE_COMMON_REPLY_H_

// Builds replies to callers.

#include <cstdint>
#include <optional>
#include <string_view>

#include "cactuscross/coap_message.h"
#include "cactuscross/result_code.h"

namespace cactuscross {

// Returns a reply that is piggybacked on the acknowledgement of `request`, or a
// non-confirmable one if the request was non-confirmable.
CoapMessage MakeReply(const CoapMessage& request, CoapCode code);

// Returns an error reply with the number and name of `code` as diagnostic
// payload, such as "E204 refused_queue". `retry_after_s` becomes Max-Age.
CoapMessage MakeErrorReply(const CoapMessage& request,
                           ResultCode code,
                           std::optional<std::uint32_t> retry_after_s = {});

// Returns an empty message that answers `request`: acknowledgement or reset.
CoapMessage MakeEmptyReply(const CoapMessage& request, CoapType type);

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_COMMON_REPLY_H_
