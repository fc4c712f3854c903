#ifndef CACTUSCROSS_FLOW_AGENT_H_
#define CACTUSCROSS_FLOW_AGENT_H_

// Agent of the flow path: runs on the host of one backend server and forwards
// every packet to and from it. A pure state machine driven by Tick().

#include <cstdint>
#include <memory>
#include <vector>

#include "cactuscross/flow_balancer.h"
#include "cactuscross/flow_event.h"
#include "cactuscross/flow_message.h"
#include "cactuscross/flow_settings.h"
#include "cactuscross/flow_types.h"
#include "cactuscross/observation.h"

namespace cactuscross {

// Outcome of a health check, which is a TCP connection attempt to the server.
enum class ProbeResult : std::uint8_t {
  kNone,      // no attempt has ended since the last tick
  kAccepted,  // the connection was established
  kRefused,   // nothing listens on the port
  kTimedOut,  // no answer within the timeout
};

struct FlowAgentInbox {
  std::vector<FlowPacket> from_balancers;
  std::vector<FlowPacket> from_server;
  std::vector<FlowNotice> notices;  // from balancers: kQuery, kLookup, kRelay
  ProbeResult probe = ProbeResult::kNone;
  bool stop_requested = false;
};

struct FlowAgentOutbox {
  std::vector<FlowForward> to_server;
  std::vector<FlowForward> to_clients;
  std::vector<FlowForward> to_agents;  // relayed for balancers
  std::vector<FlowReset> resets;
  std::vector<OutgoingNotice> notices;
  std::vector<FlowEvent> events;
  bool probe = false;     // start a connection attempt to the server
  bool may_exit = false;  // shutdown is complete
};

class FlowAgent {
 public:
  explicit FlowAgent(const FlowAgentSettings& settings);
  ~FlowAgent();
  FlowAgent(const FlowAgent&) = delete;
  FlowAgent& operator=(const FlowAgent&) = delete;

  FlowAgentOutbox Tick(TimePoint now, const FlowAgentInbox& inbox);

  std::vector<MetricSample> Metrics() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_FLOW_AGENT_H_
