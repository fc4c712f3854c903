#include "src/core/flow/server_watch.h"

#include <utility>

namespace cactuscross {
namespace {

// A server answers an opening within a millisecond and acknowledges data; a
// longer silence is worth a connection attempt.
constexpr Duration kSilence{60000};

// Pause between connection attempts: each costs the server a little.
constexpr Duration kProbeInterval{200000};

// A server whose host does not even refuse connections is given up, with its
// flows, after so long.
constexpr Duration kSilentLost{800000};

}  // namespace

void ServerWatch::NoteSent(TimePoint now) {
  if (!this->awaiting) {
    this->awaiting = true;
    this->awaiting_since = now;
  }
}

void ServerWatch::NoteHeard(TimePoint /*now*/) {
  this->awaiting = false;
  this->down = false;
  this->lost_reported = false;
}

void ServerWatch::NoteProbe(TimePoint now, ProbeResult result) {
  if (result == ProbeResult::kNone) {
    return;
  }
  this->probing = false;
  switch (result) {
    case ProbeResult::kAccepted:
      // It listens: give it another while to answer.
      this->awaiting = false;
      this->down = false;
      this->lost_reported = false;
      break;
    case ProbeResult::kRefused:
      this->down = true;
      this->lost = !std::exchange(this->lost_reported, true);
      break;
    case ProbeResult::kSilent:
      if (this->awaiting) {
        this->down = true;
        if (this->SilentFor(now) >= kSilentLost) {
          this->lost = !std::exchange(this->lost_reported, true);
        }
      }
      break;
    case ProbeResult::kNone:
      break;
  }
}

bool ServerWatch::TakeProbe(TimePoint now) {
  const bool suspected = this->awaiting && this->SilentFor(now) >= kSilence;
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

bool ServerWatch::TakeLost() {
  return std::exchange(this->lost, false);
}

Duration ServerWatch::SilentFor(TimePoint now) const {
  return this->awaiting ? now - this->awaiting_since : Duration{0};
}

}  // namespace cactuscross
