#include "src/core/flow/agent/capacity_meter.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace cactuscross {
namespace {

// Completions before the first figure. The mean of fewer requests varies by
// more than the factor at which capacities count as uneven.
constexpr std::uint32_t kMinSamples = 20;

// The half-life of the sums in seconds of work. It covers at least 100
// requests, because with fewer a tail of long requests makes the figures of
// equal servers differ; the maximum lets slow services recover after a cold
// start.
constexpr double kMinHalfLife = 2.0;
constexpr double kMaxHalfLife = 10.0;
constexpr double kHalfLifeRequests = 100.0;

// An answer within this time, in seconds, is an error on a server whose median
// is longer by this factor.
constexpr double kFastErrorTime = 0.002;
constexpr double kFastErrorFactor = 10.0;

// Data packets of one request follow each other within this time, in seconds.
// Later ones are pipelined requests.
constexpr double kSameRequestTime = 0.005;

// Relative steps of the estimated median, for the first samples and later.
constexpr double kFirstMedianStep = 0.1;
constexpr double kMedianStep = 0.02;

}  // namespace

void CapacityMeter::SetSlots(TimePoint now, std::uint32_t slots) {
  this->Advance(now);
  this->slots = slots;
}

double CapacityMeter::NoteBegin(TimePoint now) {
  this->Advance(now);
  ++this->running;
  return this->work_clock;
}

double CapacityMeter::NoteMoreData(TimePoint now, double start) {
  this->Advance(now);
  return this->work_clock - start < kSameRequestTime ? this->work_clock : start;
}

void CapacityMeter::NoteEnd(TimePoint now, double start, RequestEnd end) {
  this->Advance(now);
  --this->running;
  const double work = this->work_clock - start;
  if (end == RequestEnd::kAbandoned) {
    this->Count(work, 0.0);
  } else if (end == RequestEnd::kAnswered && !this->IsFastError(work)) {
    this->Count(work, 1.0);
    this->UpdateMedian(work);
  }
}

void CapacityMeter::Clear() {
  this->running = 0;
  this->work = 0;
  this->completions = 0;
  this->median = 0;
  this->samples = 0;
}

double CapacityMeter::Capacity() const {
  return this->samples < kMinSamples || this->work <= 0
             ? 0.0
             : this->slots * this->completions / this->work;
}

void CapacityMeter::Advance(TimePoint now) {
  const double elapsed =
      std::chrono::duration<double>(now - this->advanced_at).count();
  this->advanced_at = now;
  if (this->running == 0) {
    return;
  }
  // Without a known number of slots no request is assumed to queue.
  const bool queued = this->slots > 0 && this->running > this->slots;
  this->work_clock += queued ? elapsed * this->slots / this->running : elapsed;
}

void CapacityMeter::Count(double work, double completions) {
  const double mean =
      this->completions > 0 ? this->work / this->completions : 0.0;
  const double half_life =
      std::clamp(kHalfLifeRequests * mean, kMinHalfLife, kMaxHalfLife);
  const double kept = std::exp2(-work / half_life);
  this->work = this->work * kept + work;
  this->completions = this->completions * kept + completions;
}

bool CapacityMeter::IsFastError(double work) const {
  return work < kFastErrorTime &&
         this->median >= kFastErrorFactor * kFastErrorTime;
}

void CapacityMeter::UpdateMedian(double work) {
  const double step =
      1.0 + (this->samples < kMinSamples ? kFirstMedianStep : kMedianStep);
  if (this->samples == 0) {
    this->median = work;
  } else {
    this->median =
        work > this->median ? this->median * step : this->median / step;
  }
  this->samples = std::min(this->samples + 1, kMinSamples);
}

}  // namespace cactuscross
