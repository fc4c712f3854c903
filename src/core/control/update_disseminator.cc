#include "src/core/control/update_disseminator.h"

#include <utility>

#include "src/core/control/control_limits.h"

namespace cactuscross {

void UpdateDisseminator::Tick(TimePoint now,
                              const std::vector<PeerAddress>& customer_agents) {
  if (now < this->next_notice || !this->members.HasNoticeUpdates()) {
    return;
  }
  std::vector<const Member*> balancers = this->members.LiveBalancers();
  if (balancers.empty() && customer_agents.empty()) {
    return;
  }
  this->next_notice = now + kNoticeInterval;
  Probe notice;  // sequence 0: no reply
  notice.updates = this->members.TakeNoticeUpdates(kUpdatesPerNotice);
  this->random.Sample(balancers, kNoticeFanOut);
  for (const Member* balancer : balancers) {
    this->outbound.Send(balancer->peer, notice);
  }
  std::vector<PeerAddress> agents = customer_agents;
  this->random.Sample(agents, kNoticeFanOut);
  for (const PeerAddress& agent : agents) {
    this->outbound.Send(agent, notice);
  }
}

}  // namespace cactuscross
