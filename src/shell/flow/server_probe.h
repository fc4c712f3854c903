#ifndef CACTUSCROSS_SRC_SHELL_FLOW_SERVER_PROBE_H_
#define CACTUSCROSS_SRC_SHELL_FLOW_SERVER_PROBE_H_

// Health check by a TCP connection attempt to the backend server. Distinguishes
// a dead server from a slow one.

#include <poll.h>

#include <vector>

#include "cactuscross/flow_agent.h"
#include "src/shell/system.h"

namespace cactuscross {

class ServerProbe {
 public:
  explicit ServerProbe(const Endpoint& server) : server(server) {}

  // Starts an attempt. One that fails on this host, for example for lack of
  // descriptors or ports, says nothing about the server and is repeated.
  void Begin(TimePoint now);
  void AppendPollEntries(std::vector<pollfd>& entries) const;
  ProbeResult Continue(TimePoint now);

 private:
  const Endpoint server;
  FileDescriptor socket;
  TimePoint started_at;
  ProbeResult immediate_result = ProbeResult::kNone;
  bool failed = false;  // the attempt could not be made
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_SHELL_FLOW_SERVER_PROBE_H_
