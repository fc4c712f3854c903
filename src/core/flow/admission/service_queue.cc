#include "src/core/flow/admission/service_queue.h"

namespace cactuscross {
namespace {

// A summary counts no more openings than agents can offer places to at once, as
// it is made in each tick.
constexpr std::uint32_t kMaxCount = 64;

}  // namespace

void ServiceQueue::Add(TimePoint now, Opening& opening) {
  Level& level = this->levels[PriorityLevel(opening)];
  opening.queued_at = now;
  if (now <= opening.place_by_for_target) {
    level.in_time.insert(opening);
  } else {
    level.late.insert(opening);
  }
  level.arrivals.push_back(opening);
}

void ServiceQueue::Remove(Opening& opening) {
  opening.OpeningOrderHook::unlink();
  opening.OpeningArrivalHook::unlink();
}

bool ServiceQueue::IsEmpty() const {
  return this->HighestLevel() == kPriorityLevels;
}

void ServiceQueue::MoveLate(TimePoint now) {
  for (Level& level : this->levels) {
    while (!level.in_time.empty() &&
           level.in_time.begin()->place_by_for_target < now) {
      Opening& opening = *level.in_time.begin();
      level.in_time.erase(level.in_time.begin());
      level.late.insert(opening);
    }
  }
}

std::optional<TimePoint> ServiceQueue::LastQueuedInTime(
    TimePoint now,
    std::size_t level) const {
  const Level& entry = this->levels[level];
  if (entry.in_time.empty()) {
    return std::nullopt;
  }
  // Those that joined last have the most time left, so that few are skipped.
  const auto found =
      std::find_if(entry.arrivals.rbegin(), entry.arrivals.rend(),
                   [now](const Opening& opening) {
                     return now <= opening.place_by_for_target;
                   });
  return found == entry.arrivals.rend() ? std::nullopt
                                        : std::optional(found->queued_at);
}

WaitingOpenings ServiceQueue::Summary() const {
  WaitingOpenings summary;
  std::size_t rank = 2 * kPriorityLevels;
  for (std::size_t i = 0; i < kPriorityLevels; ++i) {
    const Level& level = this->levels[i];
    if (!level.in_time.empty()) {
      rank = std::min(rank, i);
    } else if (!level.late.empty()) {
      rank = std::min(rank, kPriorityLevels + i);
    }
    for (auto opening = level.arrivals.begin();
         opening != level.arrivals.end() && summary.count < kMaxCount;
         ++opening) {
      ++summary.count;
    }
  }
  summary.rank = static_cast<std::uint32_t>(rank);
  return summary;
}

std::size_t ServiceQueue::HighestLevel() const {
  const auto found =
      std::find_if(this->levels.begin(), this->levels.end(),
                   [](const Level& level) { return !level.arrivals.empty(); });
  return static_cast<std::size_t>(found - this->levels.begin());
}

Opening* ServiceQueue::NextBelowHighest(TimePoint now) {
  for (std::size_t i = this->HighestLevel() + 1; i < kPriorityLevels; ++i) {
    if (!this->levels[i].in_time.empty()) {
      return &*this->levels[i].in_time.begin();
    }
  }
  Opening* longest = nullptr;
  for (std::size_t i = this->HighestLevel() + 1; i < kPriorityLevels; ++i) {
    ArrivalList& arrivals = this->levels[i].arrivals;
    const auto found = std::find_if(arrivals.begin(), arrivals.end(),
                                    [now](const Opening& opening) {
                                      return now <= opening.place_by_for_limit;
                                    });
    if (found != arrivals.end() &&
        (longest == nullptr || found->queued_at < longest->queued_at)) {
      longest = &*found;
    }
  }
  return longest;
}

bool ServiceQueue::HasLowerLevels() const {
  const std::size_t highest = this->HighestLevel();
  return highest != kPriorityLevels &&
         std::any_of(
             this->levels.begin() + static_cast<std::ptrdiff_t>(highest) + 1,
             this->levels.end(),
             [](const Level& level) { return !level.arrivals.empty(); });
}

}  // namespace cactuscross
