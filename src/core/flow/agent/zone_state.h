#ifndef CACTUSCROSS_SRC_CORE_FLOW_AGENT_ZONE_STATE_H_
#define CACTUSCROSS_SRC_CORE_FLOW_AGENT_ZONE_STATE_H_

// The operator's order for the zone of an agent, as balancers told it.

#include "cactuscross/flow_message.h"

namespace cactuscross {

class ZoneState {
 public:
  // Applies what a balancer told. The newest position counts if balancers
  // disagree. Returns whether the zone was evacuated or returned.
  bool Apply(const AgentOrders& orders) {
    if (orders.evacuation_position <= this->position) {
      return false;
    }
    const bool changed = orders.evacuated != this->evacuated;
    this->evacuated = orders.evacuated;
    this->position = orders.evacuation_position;
    return changed;
  }

  bool IsEvacuated() const { return this->evacuated; }
  const StorePosition& Position() const { return this->position; }

 private:
  bool evacuated = false;
  StorePosition position;  // revision 0: no order is known
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_AGENT_ZONE_STATE_H_
