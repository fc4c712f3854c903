#ifndef CACTUSCROSS_SRC_CORE_FLOW_SERVER_HEALTH_CHECK_H_
#define CACTUSCROSS_SRC_CORE_FLOW_SERVER_HEALTH_CHECK_H_

// Whether an agent's server answers. Packets that pass are the evidence; a
// connection attempt settles a silence.

#include "cactuscross/flow_agent.h"

namespace cactuscross {

class ServerHealthCheck {
 public:
  // A packet that the server answers at once was sent to it.
  void NoteSent(TimePoint now);
  void NoteReceived(TimePoint now);
  void NoteProbe(TimePoint now, ProbeResult result);

  // True if a connection attempt should begin now; notes that it does.
  bool StartProbeIfDue(TimePoint now);

  bool IsDown() const { return this->down; }
  // True once for each time that the server was found to have lost its flows.
  bool TakeFlowsLost();
  // How long the server has left packets unanswered.
  Duration UnansweredFor(TimePoint now) const;

 private:
  bool awaiting_answer = false;
  TimePoint awaiting_since;
  bool probing = false;
  bool ever_probed = false;
  TimePoint probed_at;
  bool down = false;
  bool lost_reported = false;
  bool flows_lost = false;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_SERVER_HEALTH_CHECK_H_
