#include "src/core/flow/agent/flow_lookup.h"

namespace cactuscross {

LookupResult LookUpFlow(const ServerFlow* flow, bool is_complete) {
  if (flow == nullptr) {
    return is_complete ? LookupResult::kNotHeld : LookupResult::kUnknown;
  }
  if (flow->ambiguous) {
    return LookupResult::kUnknown;
  }
  switch (flow->state) {
    case ServerFlowState::kRequested:
    case ServerFlowState::kAccepted:
      // Another server may have accepted the same opening. The client's
      // acknowledgement tells which of the two holds the flow.
      return LookupResult::kUnknown;
    default:
      return LookupResult::kHeld;
  }
}

}  // namespace cactuscross
