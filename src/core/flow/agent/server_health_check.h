#ifndef CACTUSCROSS_SRC_CORE_FLOW_AGENT_SERVER_HEALTH_CHECK_H_
#define CACTUSCROSS_SRC_CORE_FLOW_AGENT_SERVER_HEALTH_CHECK_H_

// Health check of an agent's server. Forwarded packets serve as passive checks;
// if the server leaves some unanswered, it is probed with a connection attempt.

#include "cactuscross/flow_agent.h"

namespace cactuscross {

class ServerHealthCheck {
 public:
  // Records that a packet was sent to the server, which it should answer
  // immediately.
  void NoteSent(TimePoint now);
  // Records that the server sent a packet.
  void NoteReceived(TimePoint now);
  void NoteProbe(TimePoint now, ProbeResult result);

  // Makes a connection attempt due.
  void RequestProbe() { this->requested = true; }
  // Returns true if a connection attempt is due, and records its start.
  bool StartProbeIfDue(TimePoint now);

  bool IsDown() const { return this->down; }
  // Returns true once each time that the server is found to have lost its
  // flows.
  bool TakeFlowsLost();
  // How long the server has left a packet unanswered; 0 if it has not.
  Duration UnansweredFor(TimePoint now) const;

 private:
  bool awaiting_answer = false;
  TimePoint awaiting_since;
  bool probing = false;
  bool ever_probed = false;
  bool requested = false;
  TimePoint probed_at;
  bool down = false;
  bool lost_reported = false;  // the current outage has been reported
  bool flows_lost = false;     // next result of TakeFlowsLost()
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_AGENT_SERVER_HEALTH_CHECK_H_
