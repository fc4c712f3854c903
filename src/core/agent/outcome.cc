#include "src/core/agent/outcome.h"

#include <algorithm>
#include <array>
#include <utility>

#include "src/core/common/reply.h"

namespace cactuscross {
namespace {

// HTTP status codes with a specific CoAP code. ToCoapCode() maps the others by
// their class.
struct StatusRow {
  int http_status;
  CoapCode coap_code;
};

constexpr std::array kStatusRows = {
    StatusRow{201, CoapCode::kCreated},
    StatusRow{304, CoapCode::kValid},
    StatusRow{400, CoapCode::kBadRequest},
    StatusRow{401, CoapCode::kForbidden},  // 4.01 is reserved for tickets
    StatusRow{403, CoapCode::kForbidden},
    StatusRow{404, CoapCode::kNotFound},
    StatusRow{405, CoapCode::kMethodNotAllowed},
    StatusRow{409, CoapCode::kConflict},
    StatusRow{413, CoapCode::kRequestEntityTooLarge},
    StatusRow{429, CoapCode::kTooManyRequests},
};

constexpr int kFirstServerError = 500;
constexpr int kFirstClientError = 400;
constexpr int kFirstSuccess = 200;

CoapCode ToCoapCode(CoapCode method, int http_status) {
  const auto* found = std::find_if(kStatusRows.begin(), kStatusRows.end(),
                                   [http_status](const StatusRow& row) {
                                     return row.http_status == http_status;
                                   });
  if (found != kStatusRows.end()) {
    return found->coap_code;
  }
  if (http_status >= kFirstClientError) {
    return CoapCode::kBadRequest;
  }
  if (method == CoapCode::kDelete) {
    return CoapCode::kDeleted;
  }
  return method == CoapCode::kGet ? CoapCode::kContent : CoapCode::kChanged;
}

}  // namespace

Outcome MakeServerOutcome(CoapCode method, ServerResult& result) {
  const int status = result.http_status;
  if (status < kFirstSuccess || status >= kFirstServerError) {
    return MakeErrorOutcome(ResultCode::kServerFailed, std::nullopt);
  }
  Outcome outcome;
  outcome.coap_code = ToCoapCode(method, status);
  outcome.body = BodyPtr(new Body(std::move(result.body)));
  return outcome;
}

CoapMessage MakeOutcomeReply(const CoapMessage& request,
                             const Outcome& outcome) {
  if (outcome.body == nullptr) {
    return MakeErrorReply(request, outcome.code, outcome.retry_after_s);
  }
  CoapMessage reply = MakeReply(request, outcome.coap_code);
  if (!FillBlock(*outcome.body, request.block2, reply)) {
    return MakeErrorReply(request, ResultCode::kIncompleteBody);
  }
  reply.block1 = request.block1;
  return reply;
}

}  // namespace cactuscross
