#include "src/core/flow/agent/server_health_check.h"

#include <utility>

namespace cactuscross {
namespace {

// A server answers an opening packet within a millisecond and acknowledges
// data. If it doesn't answer for this time, it is probed.
constexpr Duration kSuspicionTimeout{60000};

// Minimum time between probes, since each costs the server some work.
constexpr Duration kProbeInterval{200000};

// A server whose host doesn't even refuse connections is considered dead, and
// its flows lost, after this time without an answer.
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
      // The server listens: allow it another kSuspicionTimeout to answer.
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
  // The first probe, at startup, shows whether the server was running before
  // the agent.
  const bool due =
      !this->ever_probed || this->requested ||
      ((suspected || this->down) && now - this->probed_at >= kProbeInterval);
  if (this->probing || !due) {
    return false;
  }
  this->probing = true;
  this->requested = false;
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
