#include "src/core/flow/view/store_reader.h"

#include <algorithm>

namespace cactuscross {
namespace {

// Long-poll time of a watch. Each answer confirms the view. A connection that
// no longer delivers answers is detected soon after this time, well within the
// 3 s in which new routes must be in force.
constexpr Duration kLongPollWait{1000000};
// A slow store takes about 300 ms for an answer.
constexpr Duration kAnswerTimeout{1500000};
// Delay after a complete answer, so that one call reads several changes in
// quick succession.
constexpr Duration kWatchBatchDelay{200000};
// Backoff after a failed call, doubled up to the maximum. The store's return
// must be noticed within a fraction of a second.
constexpr Duration kInitialBackoff{100000};
constexpr Duration kMaxBackoff{400000};
// Interval and maximum number of parallel calls. A store that doesn't answer
// gets six calls within kAnswerTimeout (1.5 s).
constexpr Duration kHedgeInterval{250000};
constexpr std::uint32_t kMaxCallsInFlight = 6;
// More doublings would exceed kMaxBackoff.
constexpr std::uint32_t kMaxDoublings = 2;

// xorshift64, for the jitter that spreads the retries of processes whose calls
// failed at the same time.
std::uint64_t NextRandom(std::uint64_t& state) {
  state ^= state << 13U;
  state ^= state >> 7U;
  state ^= state << 17U;
  return state;
}

}  // namespace

StoreReader::StoreReader(StoreSubject subject, std::uint64_t seed)
    : subject(subject), random_state(seed | 1U) {}

bool StoreReader::ExpectsImmediateAnswer() const {
  return this->listing || this->failures > 0;
}

bool StoreReader::MayCall(TimePoint now) const {
  if (now < this->next_call_at) {
    return false;
  }
  // A connection attempt made while the store was unresponsive is not answered
  // promptly after the store's return, but a new one is.
  return this->calls_in_flight == 0 ||
         (this->ExpectsImmediateAnswer() &&
          this->calls_in_flight < kMaxCallsInFlight &&
          now - this->called_at >= kHedgeInterval * this->retry_factor);
}

std::optional<StoreCall> StoreReader::NextCall(TimePoint now) {
  if (!this->MayCall(now)) {
    return std::nullopt;
  }
  ++this->calls_in_flight;
  this->called_at = now;
  StoreCall call;
  call.subject = this->subject;
  call.generation = this->generation;
  if (this->listing) {
    call.kind = StoreCallKind::kList;
    call.page_after = this->page_after;
    call.timeout = kAnswerTimeout;
  } else {
    call.kind = StoreCallKind::kWatch;
    call.after_revision = this->watch_revision;
    call.wait = this->ExpectsImmediateAnswer() ? Duration{0} : kLongPollWait;
    call.timeout = call.wait + kAnswerTimeout;
  }
  return call;
}

bool StoreReader::RecordAnswer(TimePoint now, const StoreAnswer& answer) {
  if (answer.generation != this->generation) {
    return false;
  }
  this->calls_in_flight -= this->calls_in_flight > 0 ? 1 : 0;
  this->finished_list = false;
  if (answer.status == StoreStatus::kHistoryLost) {
    this->InvalidateOpenCalls();
    this->listing = true;
    this->page_after.clear();
    this->next_call_at = now;
    return true;
  }
  if (answer.status != StoreStatus::kOk) {
    this->NoteFailure(now, answer);
    return true;
  }
  this->InvalidateOpenCalls();
  this->failures = 0;
  if (!this->listing) {
    this->confirmed_at = now;
    this->watch_revision = std::max(this->watch_revision, answer.revision);
    this->next_call_at = now + kWatchBatchDelay;
    return true;
  }
  if (this->page_after.empty()) {
    this->list_revision = answer.revision;
  }
  this->next_call_at = now;
  if (answer.more && !answer.last_key.empty()) {
    this->page_after = answer.last_key;
    return true;
  }
  // The pages are not a consistent snapshot: watch from the first page's
  // revision to read what changed since.
  this->watch_revision = this->list_revision;
  // By then a process that has just started knows whether it is a reader.
  this->next_call_at = now + kWatchBatchDelay;
  this->page_after.clear();
  this->listing = false;
  this->loaded = true;
  this->finished_list = true;
  this->confirmed_at = now;
  return true;
}

void StoreReader::StartOver() {
  this->InvalidateOpenCalls();
  this->next_call_at = TimePoint();
  this->listing = true;
  this->page_after.clear();
}

void StoreReader::InvalidateOpenCalls() {
  ++this->generation;
  this->calls_in_flight = 0;
}

void StoreReader::NoteFailure(TimePoint now, const StoreAnswer& answer) {
  const std::uint32_t doublings = std::min(this->failures, kMaxDoublings);
  const Duration backoff =
      std::min(kInitialBackoff * (1U << doublings), kMaxBackoff) *
      this->retry_factor;
  const auto jitter = static_cast<Duration::rep>(
      NextRandom(this->random_state) % (backoff.count() / 2 + 1));
  this->next_call_at = now + backoff / 2 + Duration(jitter);
  ++this->failures;
  if (answer.status == StoreStatus::kMalformed) {
    this->listing = true;
    this->page_after.clear();
  }
}

}  // namespace cactuscross
