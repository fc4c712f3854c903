#ifndef CACTUSCROSS_SRC_CORE_FLOW_SEARCH_SEARCH_CONGESTION_WINDOW_H_
#define CACTUSCROSS_SRC_CORE_FLOW_SEARCH_SEARCH_CONGESTION_WINDOW_H_

// Congestion window for the queries of searches, in bytes in flight, as in TCP
// (RFC 5681): it grows while agents answer and is halved when most queried
// agents don't. A search costs one packet per server of a service. After the
// loss of many flows, unlimited searches of a balancer on a slow link would
// congest it, so that no answer arrives in time and every search starts again.

#include <cstddef>

#include "cactuscross/types.h"

namespace cactuscross {

class SearchCongestionWindow {
 public:
  // Returns whether `bytes` more may be sent now. A batch may always be sent
  // while nothing is in flight.
  bool MaySend(std::size_t bytes) const {
    return this->bytes_in_flight == 0 ||
           this->bytes_in_flight + bytes <= this->window;
  }
  void NoteSent(std::size_t bytes) { this->bytes_in_flight += bytes; }
  // A query of `bytes` was answered in time.
  void NoteAnswered(std::size_t bytes);
  // A batch of queries timed out: `unanswered` of its `queried` servers have
  // not answered. `bytes` is the total size of the unanswered queries.
  void NoteTimeout(TimePoint now,
                   std::size_t queried,
                   std::size_t unanswered,
                   std::size_t bytes);
  // Subtracts queries whose answers are no longer awaited from the bytes in
  // flight.
  void ReleaseBytes(std::size_t bytes);

  std::size_t Window() const { return this->window; }
  std::size_t BytesInFlight() const { return this->bytes_in_flight; }

  // Bytes. Takes 26 ms on a link of 10 Mbit/s, the slowest that is planned for,
  // and so leaves time for the answers.
  static constexpr std::size_t kInitialWindow = 32768;
  // Bytes. Fits the first batch of a search with the largest packet.
  static constexpr std::size_t kMinWindow = 4096;
  // Bytes. About 10 ms on a link of 1 Gbit/s.
  static constexpr std::size_t kMaxWindow = 1U << 20U;

 private:
  std::size_t window = kInitialWindow;
  // Below it the window doubles in each round trip (slow start).
  std::size_t slow_start_threshold = kMaxWindow;
  std::size_t bytes_in_flight = 0;
  TimePoint halved_at{};
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_SEARCH_SEARCH_CONGESTION_WINDOW_H_
