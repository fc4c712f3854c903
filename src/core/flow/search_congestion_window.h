#ifndef CACTUSCROSS_SRC_CORE_FLOW_SEARCH_CONGESTION_WINDOW_H_
#define CACTUSCROSS_SRC_CORE_FLOW_SEARCH_CONGESTION_WINDOW_H_

// Bounds the bytes that searches have under way, as TCP does (RFC 5681): more
// while agents answer, half when most of those asked do not. A search costs a
// packet for each server of a service; after the loss of many flows the
// searches of a balancer on a small link would else fill it, so that no answer
// comes in time and every search begins anew.

#include <cstddef>

#include "cactuscross/types.h"

namespace cactuscross {

class SearchCongestionWindow {
 public:
  // Whether `bytes` more may be sent now. One question always may.
  bool MaySend(std::size_t bytes) const {
    return this->bytes_in_flight == 0 ||
           this->bytes_in_flight + bytes <= this->window;
  }
  void NoteSent(std::size_t bytes) { this->bytes_in_flight += bytes; }
  // A question of `bytes` was answered in time.
  void NoteAnswered(std::size_t bytes);
  // The time of a step is over: of the servers `queried`, `unanswered` have not
  // answered, whose questions had `bytes` together.
  void NoteTimeout(TimePoint now,
                   std::size_t queried,
                   std::size_t unanswered,
                   std::size_t bytes);
  // Questions that nobody waits for any more.
  void ReleaseBytes(std::size_t bytes);

  std::size_t Window() const { return this->window; }
  std::size_t BytesInFlight() const { return this->bytes_in_flight; }

  // Bytes. Takes 26 ms of a link of 10 Mbit/s, the smallest one planned for,
  // and so leaves time for the answers.
  static constexpr std::size_t kInitialWindow = 32768;
  // The first step of a search with the largest packet.
  static constexpr std::size_t kMinWindow = 4096;
  // 10 ms of a link of 1 Gbit/s.
  static constexpr std::size_t kMaxWindow = 1U << 20U;

 private:
  std::size_t window = kInitialWindow;
  std::size_t slow_start_threshold =
      kMaxWindow;  // below: doubles in each round trip
  std::size_t bytes_in_flight = 0;
  TimePoint halved_at{};
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_SEARCH_CONGESTION_WINDOW_H_
