#ifndef CACTUSCROSS_SRC_CORE_FLOW_ADMISSION_SERVICE_QUEUE_H_
#define CACTUSCROSS_SRC_CORE_FLOW_ADMISSION_SERVICE_QUEUE_H_

// Openings that wait for one service, in the order in which they are placed:
// 1. those that can still meet their latency target, by priority and then by
//    the time left for it;
// 2. the others, by priority and then by the time left to their time limit.
//    Behind those of the same priority come all openings of callers that have
//    got their fair share.
// The queue is ordered as openings join it, at a logarithmic cost. A tick does
// not sort it.

#include <algorithm>
#include <array>
#include <cstddef>
#include <optional>
#include <vector>

#include <boost/intrusive/list.hpp>
#include <boost/intrusive/set.hpp>

#include "cactuscross/flow_message.h"
#include "src/core/flow/admission/opening_table.h"

namespace cactuscross {

// Priorities from this one on are treated as the same.
inline constexpr std::size_t kPriorityLevels = 8;

inline std::size_t PriorityLevel(const Opening& opening) {
  return std::min<std::size_t>(opening.priority, kPriorityLevels - 1);
}

class ServiceQueue {
 public:
  void Add(TimePoint now, Opening& opening);
  // Removes the opening from the queue that it is in, if any.
  static void Remove(Opening& opening);
  bool IsEmpty() const;
  // Reorders the openings that can no longer meet their target.
  void MoveLate(TimePoint now);

  // Number of openings, up to a limit, and the rank of the most urgent one.
  // Ranks openings that can meet their target before the others, and each of
  // the two by priority.
  WaitingOpenings Summary() const;

  // Calls `visit(Opening&)` for each opening in order until it returns false.
  // `visit` may remove the opening it is called with, but no other.
  // `has_share(const Opening&)` tells whether the caller has got its share.
  template <typename HasReachedShare, typename Visit>
  void VisitInOrder(HasReachedShare has_share, Visit visit);
  // The same in order of joining the queue.
  template <typename Visit>
  void VisitByArrival(std::size_t level, Visit visit);

  // When the last opening of `level` joined that can still meet its target;
  // nullopt if there is none.
  std::optional<TimePoint> LastQueuedInTime(TimePoint now,
                                            std::size_t level) const;
  // Highest priority level with a waiting opening; kPriorityLevels if there is
  // none.
  std::size_t HighestLevel() const;
  // The opening below the highest waiting priority that is placed next for the
  // minimum share: the first that can still meet its target, else the one that
  // has waited longest of those that can be answered within their limit; null
  // if there is none.
  Opening* NextBelowHighest(TimePoint now);
  // True if openings below the highest waiting priority wait.
  bool HasLowerLevels() const;

 private:
  struct ByTarget {
    bool operator()(const Opening& a, const Opening& b) const {
      return a.place_by_for_target < b.place_by_for_target;
    }
  };
  struct ByLimit {
    bool operator()(const Opening& a, const Opening& b) const {
      return a.place_by_for_limit < b.place_by_for_limit;
    }
  };
  template <typename Order>
  using OrderedSet =
      boost::intrusive::multiset<Opening,
                                 boost::intrusive::base_hook<OpeningOrderHook>,
                                 boost::intrusive::compare<Order>,
                                 boost::intrusive::constant_time_size<false>>;
  using ArrivalList =
      boost::intrusive::list<Opening,
                             boost::intrusive::base_hook<OpeningArrivalHook>,
                             boost::intrusive::constant_time_size<false>>;
  struct Level {
    OrderedSet<ByTarget> in_time;
    OrderedSet<ByLimit> late;
    ArrivalList arrivals;
  };

  // Visits the openings of callers without their share; collects the others.
  template <typename Set, typename HasReachedShare, typename Visit>
  static bool VisitWithoutShare(Set& set,
                                HasReachedShare has_share,
                                Visit visit,
                                std::vector<Opening*>& with_share);

  std::array<Level, kPriorityLevels> levels;
};

template <typename Set, typename HasReachedShare, typename Visit>
bool ServiceQueue::VisitWithoutShare(Set& set,
                                     HasReachedShare has_share,
                                     Visit visit,
                                     std::vector<Opening*>& with_share) {
  for (auto next = set.begin(); next != set.end();) {
    Opening& opening = *next;
    ++next;
    if (has_share(opening)) {
      with_share.push_back(&opening);
    } else if (!visit(opening)) {
      return false;
    }
  }
  return true;
}

template <typename HasReachedShare, typename Visit>
void ServiceQueue::VisitInOrder(HasReachedShare has_share, Visit visit) {
  std::array<std::vector<Opening*>, kPriorityLevels> with_share;
  for (std::size_t i = 0; i < kPriorityLevels; ++i) {
    if (!VisitWithoutShare(this->levels[i].in_time, has_share, visit,
                           with_share[i])) {
      return;
    }
  }
  for (std::size_t i = 0; i < kPriorityLevels; ++i) {
    if (!VisitWithoutShare(this->levels[i].late, has_share, visit,
                           with_share[i])) {
      return;
    }
    for (Opening* opening : with_share[i]) {
      if (!visit(*opening)) {
        return;
      }
    }
  }
}

template <typename Visit>
void ServiceQueue::VisitByArrival(std::size_t level, Visit visit) {
  for (Opening& opening : this->levels[level].arrivals) {
    visit(opening);
  }
}

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_ADMISSION_SERVICE_QUEUE_H_
