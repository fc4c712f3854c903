#include "src/core/flow/search_pace.h"

#include <algorithm>

namespace cactuscross {
namespace {

// What was sent before the window was halved may go unanswered yet; it does not
// halve it again. A few round trips on a full link.
constexpr Duration kBetweenHalvings{120000};

}  // namespace

void SearchPace::Forget(std::size_t bytes) {
  this->under_way -= std::min(bytes, this->under_way);
}

void SearchPace::NoteAnswered(std::size_t bytes) {
  this->Forget(bytes);
  const std::size_t growth =
      this->window < this->threshold ? bytes : bytes * bytes / this->window + 1;
  this->window = std::min(this->window + growth, kMostWindow);
}

void SearchPace::NoteOverdue(TimePoint now,
                             std::size_t asked,
                             std::size_t missing,
                             std::size_t bytes) {
  this->Forget(bytes);
  // A few servers that say nothing are down, rather than behind a full link.
  const bool congested = missing * 2 > asked;
  if (!congested || now - this->halved_at < kBetweenHalvings) {
    return;
  }
  this->halved_at = now;
  this->window = std::max(this->window / 2, kLeastWindow);
  this->threshold = this->window;
}

}  // namespace cactuscross
