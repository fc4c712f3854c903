#ifndef CACTUSCROSS_SRC_CORE_FLOW_SERVER_WATCH_H_
#define CACTUSCROSS_SRC_CORE_FLOW_SERVER_WATCH_H_

// Whether an agent's server answers. Packets that pass are the evidence; a
// connection attempt settles a silence.

#include "cactuscross/flow_agent.h"

namespace cactuscross {

class ServerWatch {
 public:
  // A packet that the server answers at once was sent to it.
  void NoteSent(TimePoint now);
  void NoteHeard(TimePoint now);
  void NoteProbe(TimePoint now, ProbeResult result);

  // True if a connection attempt should begin now; notes that it does.
  bool TakeProbe(TimePoint now);

  bool IsDown() const { return this->down; }
  // True once for each time that the server was found to have lost its flows.
  bool TakeLost();
  // How long the server has left packets unanswered.
  Duration SilentFor(TimePoint now) const;

 private:
  bool awaiting = false;
  TimePoint awaiting_since;
  bool probing = false;
  bool ever_probed = false;
  TimePoint probed_at;
  bool down = false;
  bool lost_reported = false;
  bool lost = false;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_SERVER_WATCH_H_
