#include "src/core/flow/admission/newest_first.h"

namespace cactuscross {

void NewestFirst::Tick(TimePoint now, AdmissionActions& actions) {
  for (const FlowKey& flow : this->openings.WaitTimedOut(now)) {
    actions.Refuse(*this->openings.Find(flow), {"saturated", std::nullopt, ""});
  }
  for (const FlowKey& flow : this->openings.WaitingFlows()) {
    actions.Place(*this->openings.Find(flow), false);
  }
}

}  // namespace cactuscross
