#ifndef CACTUSCROSS_SRC_CORE_FLOW_AGENT_AGENT_SHUTDOWN_H_
#define CACTUSCROSS_SRC_CORE_FLOW_AGENT_AGENT_SHUTDOWN_H_

// Planned stop of an agent. All packets of its server pass it, so it continues
// to forward until the requests in progress have been answered, for a limited
// time. New flows go to other servers meanwhile.

#include <optional>

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

  // True if the process may exit. `idle`: no request is in progress.
  bool MayExit(TimePoint now, bool idle) const;

 private:
  Duration grace;
  std::optional<TimePoint> requested_at;
  std::optional<TimePoint> last_opening_at;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_AGENT_AGENT_SHUTDOWN_H_
