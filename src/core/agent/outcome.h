#ifndef CACTUSCROSS_SRC_CORE_AGENT_OUTCOME_H_
#define CACTUSCROSS_SRC_CORE_AGENT_OUTCOME_H_

// The outcome of a request, in a form from which the response can be built
// again for a retransmission of the request.

#include <cstdint>
#include <optional>

#include "cactuscross/result_code.h"
#include "cactuscross/server_message.h"
#include "src/core/agent/body_store.h"

namespace cactuscross {

struct Outcome {
  ResultCode code = ResultCode::kOk;
  CoapCode coap_code = CoapCode::kContent;
  BodyPtr body;  // null for an error: an error response is sent
  std::optional<std::uint32_t> retry_after_s;
};

// Makes an outcome for a request without a response of the server.
inline Outcome MakeErrorOutcome(ResultCode code,
                                std::optional<std::uint32_t> retry_after_s) {
  return {code, GetRow(code).coap_code, nullptr, retry_after_s};
}

// Makes the outcome of a request with `method` from the HTTP response `result`.
// Moves the body out of `result`.
Outcome MakeServerOutcome(CoapCode method, ServerResult& result);

// Makes the piggybacked response to `request`, with the requested block.
CoapMessage MakeOutcomeReply(const CoapMessage& request,
                             const Outcome& outcome);

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_AGENT_OUTCOME_H_
