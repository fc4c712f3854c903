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

bool AgentShutdown::MayExit(TimePoint now, bool idle) const {
  if (!this->IsRequested()) {
    return false;
  }
  const bool expects_request =
      this->last_opening_at &&
      now - *this->last_opening_at < kFirstRequestTimeout;
  return (idle && !expects_request) || now - *this->requested_at >= this->grace;
}

}  // namespace cactuscross
