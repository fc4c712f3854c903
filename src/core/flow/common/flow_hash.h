#ifndef CACTUSCROSS_SRC_CORE_FLOW_COMMON_FLOW_HASH_H_
#define CACTUSCROSS_SRC_CORE_FLOW_COMMON_FLOW_HASH_H_

// Rendezvous (highest random weight) hashing of flows. All balancers that know
// the same servers compute the same order of servers for a flow, and adding or
// removing a server leaves the order of the others unchanged.

#include <cstdint>

#include "cactuscross/flow_types.h"
#include "cactuscross/flow_view.h"

namespace cactuscross {

// Weight of `server` for `flow`; the server with the highest weight comes
// first.
std::uint64_t FlowRendezvousWeight(const FlowKey& flow, ServerKey server);

// Returns a number in [0, bound) that depends on the flow only; `bound` > 0.
std::uint32_t FlowHashBelow(const FlowKey& flow, std::uint32_t bound);

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_COMMON_FLOW_HASH_H_
