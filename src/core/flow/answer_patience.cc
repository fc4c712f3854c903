#include "src/core/flow/answer_patience.h"

#include <algorithm>

namespace cactuscross {
namespace {

// Shortest time of counting.
constexpr Duration kLeastCounting{100000};
// Fewer questions say nothing of the link.
constexpr std::size_t kLeastQuestions = 8;

}  // namespace

void AnswerPatience::NoteAnswered(TimePoint now) {
  ++this->answered;
  this->Adapt(now);
}

void AnswerPatience::NoteUnanswered(TimePoint now) {
  ++this->unanswered;
  this->Adapt(now);
}

void AnswerPatience::Adapt(TimePoint now) {
  // Questions that were asked with the former wait end within it.
  const Duration counting = std::max(kLeastCounting, this->current);
  if (now - this->counted_since < counting) {
    return;
  }
  const std::size_t questions = this->answered + this->unanswered;
  if (questions >= kLeastQuestions) {
    this->current = this->unanswered > this->answered ? this->current * 2
                                                      : this->current / 2;
    this->current = std::clamp(this->current, kLeast, kMost);
  }
  this->counted_since = now;
  this->answered = 0;
  this->unanswered = 0;
}

}  // namespace cactuscross
