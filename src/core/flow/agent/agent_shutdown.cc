#include "src/core/flow/agent/agent_shutdown.h"

#include <algorithm>

namespace cactuscross {
namespace {

// Maximum time for which an agent waits for answers. Service times are tens of
// milliseconds, with a tail of some hundreds.
constexpr Duration kMaxGrace{2500000};

// The request of a flow that was just opened arrives within this time: a round
// trip between server and client, or the client's first retransmission.
constexpr Duration kFirstRequestTimeout{300000};

// A server that runs accepts a connection from its own host within a
// millisecond, and a host without a listener refuses it at once.
constexpr Duration kProbeTimeout{200000};

// Announcements of the server's end, and the time between two of them. All are
// lost with a probability of 5e-5 if 3.6 % of the datagrams are.
constexpr std::uint32_t kAnnouncements = 3;
constexpr Duration kAnnouncementInterval{20000};

}  // namespace

AgentShutdown::AgentShutdown(Duration max_stop_time)
    : grace(std::min(kMaxGrace, max_stop_time / 2)) {}

bool AgentShutdown::Request(TimePoint now) {
  if (this->IsRequested()) {
    return false;
  }
  this->requested_at = now;
  return true;
}

void AgentShutdown::NoteProbe(TimePoint now, ProbeResult result) {
  if (!this->probe_started || this->probe_answered ||
      result == ProbeResult::kNone) {
    return;
  }
  this->probe_answered = true;
  if (result == ProbeResult::kRefused) {
    this->ended_at = now;
  }
}

bool AgentShutdown::TakeAnnouncement(TimePoint now) {
  const bool due =
      this->ServerHasEnded() && this->announcements < kAnnouncements &&
      now - *this->ended_at >= kAnnouncementInterval * this->announcements;
  this->announcements += due ? 1 : 0;
  return due;
}

bool AgentShutdown::MayExit(TimePoint now, bool idle) const {
  if (!this->IsRequested()) {
    return false;
  }
  const Duration since_request = now - *this->requested_at;
  if (since_request >= this->grace) {
    return true;
  }
  if (this->ServerHasEnded()) {
    return this->announcements >= kAnnouncements;
  }
  const bool awaits_probe =
      !this->probe_answered && since_request < kProbeTimeout;
  const bool expects_request =
      this->last_opening_at &&
      now - *this->last_opening_at < kFirstRequestTimeout;
  return idle && !expects_request && !awaits_probe;
}

}  // namespace cactuscross
