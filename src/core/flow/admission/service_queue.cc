#include "src/core/flow/admission/service_queue.h"

namespace cactuscross {

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

const Opening* ServiceQueue::NewestOf(std::size_t level) const {
  const ArrivalList& arrivals = this->levels[level].arrivals;
  return arrivals.empty() ? nullptr : &*arrivals.rbegin();
}

std::size_t ServiceQueue::HighestLevel() const {
  const auto found =
      std::find_if(this->levels.begin(), this->levels.end(),
                   [](const Level& level) { return !level.arrivals.empty(); });
  return static_cast<std::size_t>(found - this->levels.begin());
}

Opening* ServiceQueue::LongestWaitingBelowHighest(TimePoint now) {
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
