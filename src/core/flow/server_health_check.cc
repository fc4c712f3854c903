#include "src/core/flow/server_health_check.h"

#include <utility>

namespace cactuscross {
namespace {

// A server answers an opening within a millisecond and acknowledges data; a
// longer silence is worth a connection attempt.
constexpr Duration kSuspicionTimeout{60000};

// Pause between connection attempts: each costs the server a little.
constexpr Duration kProbeInterval{200000};

// A server whose host does not even refuse connections is given up, with its
// flows, after so long.
constexpr Duration kDeadTimeout{800000};

}  // namespace

void ServerHealthCheck::NoteSent(TimePoint now) {
  if (!this->awaiting_answer) {
    this->awaiting_answer = true;
    this->awaiting_since = now;
  }
}

void ServerHealthCheck::NoteReceived(TimePoint /*now*/) {
  this->awaiting_answer = false;
  this->down = false;
  this->lost_reported = false;
}

void ServerHealthCheck::NoteProbe(TimePoint now, ProbeResult result) {
  if (result == ProbeResult::kNone) {
    return;
  }
  this->probing = false;
  switch (result) {
    case ProbeResult::kAccepted:
      // It listens: give it another while to answer.
      this->awaiting_answer = false;
      this->down = false;
      this->lost_reported = false;
      break;
    case ProbeResult::kRefused:
      this->down = true;
      this->flows_lost = !std::exchange(this->lost_reported, true);
      break;
    case ProbeResult::kTimedOut:
      if (this->awaiting_answer) {
        this->down = true;
        if (this->UnansweredFor(now) >= kDeadTimeout) {
          this->flows_lost = !std::exchange(this->lost_reported, true);
        }
      }
      break;
    case ProbeResult::kNone:
      break;
  }
}

bool ServerHealthCheck::StartProbeIfDue(TimePoint now) {
  const bool suspected =
      this->awaiting_answer && this->UnansweredFor(now) >= kSuspicionTimeout;
  // The first attempt, at the start, tells whether the server was there before.
  const bool due =
      !this->ever_probed ||
      ((suspected || this->down) && now - this->probed_at >= kProbeInterval);
  if (this->probing || !due) {
    return false;
  }
  this->probing = true;
  this->ever_probed = true;
  this->probed_at = now;
  return true;
}

bool ServerHealthCheck::TakeFlowsLost() {
  return std::exchange(this->flows_lost, false);
}

Duration ServerHealthCheck::UnansweredFor(TimePoint now) const {
  return this->awaiting_answer ? now - this->awaiting_since : Duration{0};
}

}  // namespace cactuscross
