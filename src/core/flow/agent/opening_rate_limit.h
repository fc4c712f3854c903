#ifndef CACTUSCROSS_SRC_CORE_FLOW_AGENT_OPENING_RATE_LIMIT_H_
#define CACTUSCROSS_SRC_CORE_FLOW_AGENT_OPENING_RATE_LIMIT_H_

// Limit of the openings that a server gets while it warms up, in a sliding
// window of one second. Load: all balancers send new flows to a server that has
// just started because it is idle. Only its agent sees all of them.

#include <deque>
#include <optional>

#include "cactuscross/types.h"

namespace cactuscross {

class OpeningRateLimit {
 public:
  // A server with a rate of r openings per second gets at most
  // r * `overshoot` + `slack` openings in any second. 0 and 0: no limit.
  OpeningRateLimit(double overshoot, double slack)
      : overshoot(overshoot), slack(slack) {}

  // The server, or this agent, has started. Until a balancer tells the rate,
  // the server gets `slack` openings per second.
  void NoteServerStart(TimePoint now);
  // A balancer told the rate of a server that warms up, in openings per second
  // (0: its service has no limit), and the time left until the server is warm.
  // Of two balancers that disagree, the one with the longer time counts.
  void NoteRate(TimePoint now, double rate, Duration remaining);

  // Returns whether another opening would exceed the limit.
  bool IsReached(TimePoint now);
  // An opening packet was forwarded to the server.
  void NoteForwarded(TimePoint now);

 private:
  // Openings per second; nullopt: no limit.
  std::optional<double> Limit(TimePoint now) const;

  const double overshoot;
  const double slack;
  bool rate_known = false;
  double rate = 0;
  TimePoint ends_at;
  std::deque<TimePoint> forwarded;  // within the window
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_AGENT_OPENING_RATE_LIMIT_H_
