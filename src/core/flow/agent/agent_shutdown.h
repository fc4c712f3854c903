#ifndef CACTUSCROSS_SRC_CORE_FLOW_AGENT_AGENT_SHUTDOWN_H_
#define CACTUSCROSS_SRC_CORE_FLOW_AGENT_AGENT_SHUTDOWN_H_

// Planned stop of an agent. All packets of its server pass it, so it continues
// to forward until the requests in progress have been answered, for a limited
// time. New flows go to other servers meanwhile.
//
// An agent that stops because its host is released probes its server. If the
// server no longer runs, the agent tells the balancers so before it exits.
// Load: a release replaces a server each second while balancers search for
// flows that were lost. Without the announcement each search waits for the
// agents of all servers that have just left.

#include <cstdint>
#include <optional>

#include "cactuscross/flow_agent.h"
#include "cactuscross/types.h"

namespace cactuscross {

class AgentShutdown {
 public:
  // `max_stop_time`: time from the request to stop until the process is killed.
  explicit AgentShutdown(Duration max_stop_time);

  // Returns true for the first request to stop.
  bool Request(TimePoint now);
  bool IsRequested() const { return this->requested_at.has_value(); }

  // An opening was forwarded to the server. The client's request follows.
  void NoteOpening(TimePoint now) { this->last_opening_at = now; }

  // True until a probe of the server was started after the request to stop.
  bool WantsProbe() const {
    return this->IsRequested() && !this->probe_started;
  }
  void NoteProbeStarted() { this->probe_started = this->IsRequested(); }
  // Result of a probe. One that was started before the request to stop does not
  // count.
  void NoteProbe(TimePoint now, ProbeResult result);
  // True if the server was found not to be running after the request to stop.
  bool ServerHasEnded() const { return this->ended_at.has_value(); }
  // True if the end of the server has to be announced now. Each announcement is
  // repeated, as a datagram may be lost.
  bool TakeAnnouncement(TimePoint now);

  // True if the process may exit. `idle`: no request is in progress.
  bool MayExit(TimePoint now, bool idle) const;

 private:
  Duration grace;
  std::optional<TimePoint> requested_at;
  std::optional<TimePoint> last_opening_at;
  bool probe_started = false;
  bool probe_answered = false;
  std::optional<TimePoint> ended_at;
  std::uint32_t announcements = 0;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_AGENT_AGENT_SHUTDOWN_H_
