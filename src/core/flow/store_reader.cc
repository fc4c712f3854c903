#include "src/core/flow/store_reader.h"

#include <algorithm>

namespace cactuscross {
namespace {

// Longest wait of a watch. A connection that has gone silent is noticed after
// it, well within the bounds on new routes (3 s) and unstable stores (4 s).
constexpr Duration kWatchWait{4000000};
// A slow store takes some 300 ms for an answer.
constexpr Duration kAnswerTimeout{1500000};
// Changes that come in quick succession are read by one call.
constexpr Duration kGatherPause{200000};
// Pause after a failed call, doubled up to the most. The store's return must be
// noticed within a fraction of a second.
constexpr Duration kFirstRetry{100000};
constexpr Duration kMostRetry{800000};
// Steps of the backoff; more would pass kMostRetry.
constexpr std::uint32_t kMaxDoublings = 3;

// xorshift64: spreads the retries of processes that failed together.
std::uint64_t NextRandom(std::uint64_t& state) {
  state ^= state << 13U;
  state ^= state >> 7U;
  state ^= state << 17U;
  return state;
}

}  // namespace

StoreReader::StoreReader(StoreSubject subject, std::uint64_t seed)
    : subject(subject), random_state(seed | 1U) {}

std::optional<StoreCall> StoreReader::NextCall(TimePoint now) {
  if (this->call_open || now < this->next_call_at) {
    return std::nullopt;
  }
  this->call_open = true;
  StoreCall call;
  call.subject = this->subject;
  if (this->listing) {
    call.kind = StoreCallKind::kList;
    call.page_after = this->page_after;
    call.timeout = kAnswerTimeout;
  } else {
    call.kind = StoreCallKind::kWatch;
    call.after_revision = this->watch_revision;
    call.wait = kWatchWait;
    call.timeout = kWatchWait + kAnswerTimeout;
  }
  return call;
}

void StoreReader::NoteAnswer(TimePoint now, const StoreAnswer& answer) {
  this->call_open = false;
  this->finished_list = false;
  if (answer.status == StoreStatus::kHistoryLost) {
    this->listing = true;
    this->page_after.clear();
    this->next_call_at = now;
    this->answered_at = now;
    return;
  }
  if (answer.status != StoreStatus::kOk) {
    this->Fail(now, answer);
    return;
  }
  this->failures = 0;
  this->answered_at = now;
  if (!this->listing) {
    this->watch_revision = std::max(this->watch_revision, answer.revision);
    this->next_call_at = now + kGatherPause;
    return;
  }
  if (this->page_after.empty()) {
    this->list_revision = answer.revision;
  }
  this->next_call_at = now;
  if (answer.more && !answer.last_key.empty()) {
    this->page_after = answer.last_key;
    return;
  }
  // Pages are no snapshot: what changed since the first one is watched.
  this->watch_revision = this->list_revision;
  this->page_after.clear();
  this->listing = false;
  this->loaded = true;
  this->finished_list = true;
}

void StoreReader::Fail(TimePoint now, const StoreAnswer& answer) {
  const std::uint32_t doublings = std::min(this->failures, kMaxDoublings);
  const Duration pause = std::min(kFirstRetry * (1U << doublings), kMostRetry);
  const auto jitter = static_cast<Duration::rep>(
      NextRandom(this->random_state) % (pause.count() / 2 + 1));
  this->next_call_at = now + pause / 2 + Duration(jitter);
  ++this->failures;
  if (answer.status == StoreStatus::kMalformed) {
    this->listing = true;
    this->page_after.clear();
  }
}

}  // namespace cactuscross
