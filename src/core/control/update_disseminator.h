#ifndef CACTUSCROSS_SRC_CORE_CONTROL_UPDATE_DISSEMINATOR_H_
#define CACTUSCROSS_SRC_CORE_CONTROL_UPDATE_DISSEMINATOR_H_

// Sends new membership updates in notices to a few random processes. Probes
// spread the updates further.

#include <vector>

#include "cactuscross/types.h"
#include "src/core/control/control_random.h"
#include "src/core/control/member_table.h"
#include "src/core/control/outbound.h"

namespace cactuscross {

class UpdateDisseminator {
 public:
  UpdateDisseminator(MemberTable& members,
                     Outbound& outbound,
                     ControlRandom& random)
      : members(members), outbound(outbound), random(random) {}

  // `customer_agents`: agents of the same customer, which receive notices as
  // balancers do; empty at a balancer.
  void Tick(TimePoint now, const std::vector<PeerAddress>& customer_agents);

 private:
  MemberTable& members;
  Outbound& outbound;
  ControlRandom& random;
  TimePoint next_notice{};
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_CONTROL_UPDATE_DISSEMINATOR_H_
