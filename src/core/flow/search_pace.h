#ifndef CACTUSCROSS_SRC_CORE_FLOW_SEARCH_PACE_H_
#define CACTUSCROSS_SRC_CORE_FLOW_SEARCH_PACE_H_

// Bounds the bytes that searches have under way, as TCP does (RFC 5681): more
// while agents answer, half when most of those asked do not. A search costs a
// packet for each server of a service; after the loss of many flows the
// searches of a balancer on a small link would else fill it, so that no answer
// comes in time and every search begins anew.

#include <cstddef>

#include "cactuscross/types.h"

namespace cactuscross {

class SearchPace {
 public:
  // Whether `bytes` more may be sent now. One question always may.
  bool MayAsk(std::size_t bytes) const {
    return this->under_way == 0 || this->under_way + bytes <= this->window;
  }
  void NoteAsked(std::size_t bytes) { this->under_way += bytes; }
  // A question of `bytes` was answered in time.
  void NoteAnswered(std::size_t bytes);
  // The time of a step is over: of the servers `asked`, `missing` have not
  // answered, whose questions had `bytes` together.
  void NoteOverdue(TimePoint now,
                   std::size_t asked,
                   std::size_t missing,
                   std::size_t bytes);
  // Questions that nobody waits for any more.
  void Forget(std::size_t bytes);

  std::size_t Window() const { return this->window; }
  std::size_t UnderWay() const { return this->under_way; }

  // Bytes. Takes 26 ms of a link of 10 Mbit/s, the smallest one planned for,
  // and so leaves time for the answers.
  static constexpr std::size_t kFirstWindow = 32768;
  // The first step of a search with the largest packet.
  static constexpr std::size_t kLeastWindow = 4096;
  // 10 ms of a link of 1 Gbit/s.
  static constexpr std::size_t kMostWindow = 1U << 20U;

 private:
  std::size_t window = kFirstWindow;
  std::size_t threshold = kMostWindow;  // below: doubles in each round trip
  std::size_t under_way = 0;
  TimePoint halved_at{};
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_SEARCH_PACE_H_
