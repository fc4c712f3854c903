#ifndef CACTUSCROSS_SRC_CORE_ROUTING_RENDEZVOUS_H_
#define CACTUSCROSS_SRC_CORE_ROUTING_RENDEZVOUS_H_

// Rendezvous (highest random weight) hashing of callers to agents. When an
// agent is added or removed, only the callers that it gains or loses are
// remapped.

#include <cstdint>

#include "cactuscross/types.h"

namespace cactuscross {

std::uint64_t HashCaller(const Endpoint& caller);

// The agent with the highest weight is the first choice of `caller`.
std::uint64_t RendezvousWeight(const Endpoint& caller, NodeId node);

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_ROUTING_RENDEZVOUS_H_
