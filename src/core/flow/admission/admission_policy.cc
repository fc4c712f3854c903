#include "src/core/flow/admission/admission_policy.h"

#include "src/core/flow/admission/newest_first.h"
#include "src/core/flow/admission/priority_admission.h"

namespace cactuscross {

std::unique_ptr<AdmissionPolicy> MakeAdmissionPolicy(bool by_priority,
                                                     OpeningTable& openings,
                                                     MetricSet& metrics) {
  if (by_priority) {
    return std::make_unique<PriorityAdmission>(metrics);
  }
  return std::make_unique<NewestFirst>(openings);
}

}  // namespace cactuscross
