#ifndef CACTUSCROSS_FLOW_BALANCER_H_
#define CACTUSCROSS_FLOW_BALANCER_H_

// The flow path's balancer: a pure state machine, driven by Tick().

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

// A notice and the host that it goes to.
struct OutgoingNotice {
  std::uint32_t host = 0;
  FlowNotice notice;
};

struct FlowBalancerOutbox {
  std::vector<FlowForward> forwards;  // to agents
  std::vector<FlowReset> resets;      // to clients
  std::vector<OutgoingNotice> notices;
  std::vector<StoreCall> store_calls;
  std::vector<OutgoingGossip> gossip;  // to other balancers
  std::vector<FlowEvent> events;
  bool ready = false;     // takes traffic
  bool may_exit = false;  // after a stop: nothing is left to do
};

class FlowBalancer {
 public:
  FlowBalancer(const FlowBalancerSettings& settings, std::uint64_t seed);
  ~FlowBalancer();
  FlowBalancer(const FlowBalancer&) = delete;
  FlowBalancer& operator=(const FlowBalancer&) = delete;

  FlowBalancerOutbox Tick(TimePoint now, const FlowBalancerInbox& inbox);

  // Takes over what may change in the settings while running: the seeds.
  void SetSeeds(const std::vector<Endpoint>& seeds);

  std::vector<MetricSample> Metrics() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_FLOW_BALANCER_H_
