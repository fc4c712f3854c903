#ifndef CACTUSCROSS_FLOW_BALANCER_H_
#define CACTUSCROSS_FLOW_BALANCER_H_

// Balancer of the flow path: forwards packets of clients to the agents of
// backend servers. A pure state machine driven by Tick().

#include <memory>
#include <vector>

#include "cactuscross/flow_event.h"
#include "cactuscross/flow_gossip.h"
#include "cactuscross/flow_message.h"
#include "cactuscross/flow_settings.h"
#include "cactuscross/flow_types.h"
#include "cactuscross/flow_view.h"
#include "cactuscross/observation.h"

namespace cactuscross {

struct FlowBalancerInbox {
  std::vector<FlowPacket> packets;  // from clients
  std::vector<FlowNotice> notices;  // from agents
  std::vector<StoreAnswer> store_answers;
  std::vector<GossipMessage> gossip;  // from other balancers
  bool stop_requested = false;
};

// A notice and the host that it is sent to.
struct OutgoingNotice {
  std::uint32_t host = 0;  // IPv4 address
  FlowNotice notice;
};

struct FlowBalancerOutbox {
  std::vector<FlowForward> forwards;  // to agents
  std::vector<FlowReset> resets;      // to clients
  std::vector<OutgoingNotice> notices;
  std::vector<StoreCall> store_calls;
  std::vector<OutgoingGossip> gossip;  // to other balancers
  std::vector<FlowEvent> events;
  bool ready = false;     // the readiness check succeeds
  bool may_exit = false;  // a requested shutdown is complete
};

class FlowBalancer {
 public:
  FlowBalancer(const FlowBalancerSettings& settings, std::uint64_t seed);
  ~FlowBalancer();
  FlowBalancer(const FlowBalancer&) = delete;
  FlowBalancer& operator=(const FlowBalancer&) = delete;

  FlowBalancerOutbox Tick(TimePoint now, const FlowBalancerInbox& inbox);

  // Replaces the seeds, the only setting that can change at run time.
  void SetSeeds(const std::vector<Endpoint>& seeds);

  std::vector<MetricSample> Metrics() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_FLOW_BALANCER_H_
