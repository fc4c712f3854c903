#include "src/core/flow/common/response_timeout.h"

#include <algorithm>

namespace cactuscross {
namespace {

constexpr Duration kMinSamplePeriod{100000};
// With fewer queries, the share of answers says nothing about the link.
constexpr std::size_t kMinSamples = 8;

}  // namespace

void ResponseTimeout::NoteAnswered(TimePoint now) {
  ++this->answered;
  this->Adapt(now);
}

void ResponseTimeout::NoteUnanswered(TimePoint now) {
  ++this->unanswered;
  this->Adapt(now);
}

void ResponseTimeout::Adapt(TimePoint now) {
  // Queries that were sent under the previous timeout end within it.
  const Duration sample_period = std::max(kMinSamplePeriod, this->current);
  if (now - this->sample_started_at < sample_period) {
    return;
  }
  const std::size_t samples = this->answered + this->unanswered;
  if (samples >= kMinSamples) {
    this->current = this->unanswered > this->answered ? this->current * 2
                                                      : this->current / 2;
    this->current = std::clamp(this->current, kMin, kMax);
  }
  this->sample_started_at = now;
  this->answered = 0;
  this->unanswered = 0;
}

}  // namespace cactuscross
