#include "src/core/common/reply.h"

#include <string>

namespace cactuscross {

CoapMessage MakeReply(const CoapMessage& request, CoapCode code) {
  CoapMessage reply;
  reply.type = request.type == CoapType::kConfirmable
                   ? CoapType::kAcknowledgement
                   : CoapType::kNonConfirmable;
  reply.code = code;
  reply.message_id = request.message_id;
  reply.token = request.token;
  return reply;
}

CoapMessage MakeErrorReply(const CoapMessage& request,
                           ResultCode code,
                           std::optional<std::uint32_t> retry_after_s) {
  const ResultCodeRow& row = GetRow(code);
  CoapMessage reply = MakeReply(request, row.coap_code);
  const std::string text =
      "E" + std::to_string(ToNumber(code)) + " " + std::string(row.name);
  reply.payload.assign(text.begin(), text.end());
  reply.max_age = retry_after_s;
  return reply;
}

CoapMessage MakeEmptyReply(const CoapMessage& request, CoapType type) {
  CoapMessage reply;
  reply.type = type;
  reply.message_id = request.message_id;
  return reply;
}

}  // namespace cactuscross
