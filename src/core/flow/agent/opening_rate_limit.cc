#include "src/core/flow/agent/opening_rate_limit.h"

#include <algorithm>
#include <cstddef>

namespace cactuscross {
namespace {

// One second, and 20 ms by which the times of arrival at the server may differ
// from those at the agent.
constexpr Duration kWindow{1020000};

// Time after a start in which balancers may not know the server's new entry
// yet, and still take the server for a warm one. Covers a failed read of the
// store, and gossip.
constexpr Duration kEntryDelay{2000000};

// Bounds the memory of the window while no limit is known. The design size has
// 17 openings per second and server.
constexpr std::size_t kMaxCounted = 4096;

}  // namespace

void OpeningRateLimit::NoteServerStart(TimePoint now) {
  this->rate_known = false;
  this->ends_at = now + kEntryDelay;
}

void OpeningRateLimit::NoteRate(TimePoint now,
                                double rate,
                                Duration remaining) {
  this->rate_known = true;
  if (rate > 0) {
    this->rate = rate;
    this->ends_at = std::max(this->ends_at, now + remaining);
  }
}

std::optional<double> OpeningRateLimit::Limit(TimePoint now) const {
  if (this->overshoot <= 0 && this->slack <= 0) {
    return std::nullopt;
  }
  if (!this->rate_known) {
    // A bound without slack leaves the server to the balancers' limit.
    return this->slack > 0 ? std::optional(this->slack) : std::nullopt;
  }
  return this->rate > 0 && now < this->ends_at
             ? std::optional(this->rate * this->overshoot + this->slack)
             : std::nullopt;
}

bool OpeningRateLimit::IsReached(TimePoint now) {
  while (!this->forwarded.empty() && now - this->forwarded.front() > kWindow) {
    this->forwarded.pop_front();
  }
  const std::optional<double> limit = this->Limit(now);
  return limit && static_cast<double>(this->forwarded.size() + 1) > *limit;
}

void OpeningRateLimit::NoteForwarded(TimePoint now) {
  this->forwarded.push_back(now);
  if (this->forwarded.size() > kMaxCounted) {
    this->forwarded.pop_front();
  }
}

}  // namespace cactuscross
