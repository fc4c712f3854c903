#ifndef CACTUSCROSS_SRC_CORE_FLOW_FLOW_HASH_H_
#define CACTUSCROSS_SRC_CORE_FLOW_FLOW_HASH_H_

// Rendezvous order of a flow over servers: all balancers that know the same
// servers compute the same order, and it changes little as servers come and go.

#include <cstdint>

#include "cactuscross/flow_types.h"
#include "cactuscross/flow_view.h"

namespace cactuscross {

// The server with the highest weight comes first.
std::uint64_t FlowRendezvousWeight(const FlowKey& flow, ServerKey server);

// A number in [0, bound) that depends on the flow only; `bound` > 0.
std::uint32_t FlowHashBelow(const FlowKey& flow, std::uint32_t bound);

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_FLOW_HASH_H_
