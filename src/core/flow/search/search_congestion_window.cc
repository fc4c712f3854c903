#include "src/core/flow/search/search_congestion_window.h"

#include <algorithm>

namespace cactuscross {
namespace {

// Queries that were sent before the window was halved may still time out and
// must not halve it again. A few round trips on a congested link.
constexpr Duration kMinHalvingInterval{120000};

}  // namespace

void SearchCongestionWindow::ReleaseBytes(std::size_t bytes) {
  this->bytes_in_flight -= std::min(bytes, this->bytes_in_flight);
}

void SearchCongestionWindow::NoteAnswered(std::size_t bytes) {
  this->ReleaseBytes(bytes);
  const std::size_t growth = this->window < this->slow_start_threshold
                                 ? bytes
                                 : bytes * bytes / this->window + 1;
  this->window = std::min(this->window + growth, kMaxWindow);
}

void SearchCongestionWindow::NoteTimeout(TimePoint now,
                                         std::size_t queried,
                                         std::size_t unanswered,
                                         std::size_t bytes) {
  this->ReleaseBytes(bytes);
  // If only a few servers don't answer, they are down rather than behind a
  // congested link.
  const bool congested = unanswered * 2 > queried;
  if (!congested || now - this->halved_at < kMinHalvingInterval) {
    return;
  }
  this->halved_at = now;
  this->window = std::max(this->window / 2, kMinWindow);
  this->slow_start_threshold = this->window;
}

}  // namespace cactuscross
