#ifndef CACTUSCROSS_SRC_CORE_FLOW_PLACEMENT_PLACEMENT_H_
#define CACTUSCROSS_SRC_CORE_FLOW_PLACEMENT_PLACEMENT_H_

// Selects a server for a new flow: the least loaded of the first few candidates
// in the flow's rendezvous order (power of d choices).

#include <string_view>
#include <vector>

#include "src/core/flow/view/server_table.h"

namespace cactuscross {

// All servers of `service` that may hold its flows, in the rendezvous order of
// `flow`.
std::vector<ServerKey> OrderServers(const ServerTable& servers,
                                    ServiceId service,
                                    const FlowKey& flow);

// Load of a server per slot, by which candidates are compared. Lower is better.
double LoadScore(TimePoint now,
                 const ServerEntry& entry,
                 std::string_view own_zone);

// Number of requests in progress at which a server gets no new flows.
std::uint32_t MaxRunning(const ServerEntry& entry);

// True if another request would wait on the server for longer than roughly one
// service time. With `keep_reserve`, a part of its capacity does not count.
bool IsSaturated(const ServerEntry& entry, bool keep_reserve = false);

enum class PlacementStatus : std::uint8_t {
  kPlaced,
  kSaturated,  // all eligible servers are saturated
  kNoServer,   // no server is eligible
};

struct Placement {
  PlacementStatus status = PlacementStatus::kNoServer;
  ServerKey server = kNoServer;
};

// Selects a server for `flow` that accepts new flows and is not in `excluded`.
// Suspected servers are used only if there is no other one. With
// `keep_reserve`, servers are saturated before they reach MaxRunning(): a
// quarter of their slots is left to other flows.
Placement PlaceFlow(TimePoint now,
                    ServerTable& servers,
                    ServiceId service,
                    const FlowKey& flow,
                    std::string_view own_zone,
                    const std::vector<ServerKey>& excluded,
                    bool keep_reserve = false);

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_PLACEMENT_PLACEMENT_H_
