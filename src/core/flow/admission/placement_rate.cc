#include "src/core/flow/admission/placement_rate.h"

#include <algorithm>
#include <cmath>

namespace cactuscross {
namespace {

// Half-life of the sums. A burst lasts 3 to 7 s, and the rate has to follow
// servers that start or stop meanwhile.
constexpr double kHalfLifeSeconds = 1.0;

// Openings must have waited for this time before the rate is used: about ten
// load reports of the agents, which arrive every 20 to 100 ms.
constexpr double kMinBusySeconds = 0.2;

// The rate is taken higher than measured by one standard deviation of the count
// (Poisson) and by this many openings, since a low estimate refuses openings
// that could have been served. If none was placed, the upper limit of the count
// is 3 with a confidence of 95 %.
constexpr double kMarginOpenings = 3.0;

// Weight of a new value in the moving average, as in TCP's (RFC 6298).
constexpr int kLatencyWeightDivisor = 8;

double ToSeconds(Duration time) {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

void PlacementRate::Advance(TimePoint now, bool has_waiting) {
  const double elapsed = ToSeconds(now - this->advanced_to);
  if (elapsed <= 0) {
    return;
  }
  const double decay = std::exp2(-elapsed / kHalfLifeSeconds);
  this->placed *= decay;
  this->busy_seconds *= decay;
  if (has_waiting) {
    this->busy_seconds += elapsed;
  }
  this->advanced_to = now;
}

void PlacementRate::NoteReturned() {
  this->placed = std::max(this->placed - 1, 0.0);
}

void PlacementRate::NoteAccepted(Duration latency) {
  this->latency += (latency - this->latency) / kLatencyWeightDivisor;
}

std::optional<Duration> PlacementRate::ExpectedWait(std::size_t ahead) const {
  if (this->busy_seconds < kMinBusySeconds) {
    return std::nullopt;
  }
  const double upper_count =
      this->placed + std::sqrt(this->placed) + kMarginOpenings;
  const double seconds =
      static_cast<double>(ahead) * this->busy_seconds / upper_count;
  return this->latency + std::chrono::duration_cast<Duration>(
                             std::chrono::duration<double>(seconds));
}

}  // namespace cactuscross
