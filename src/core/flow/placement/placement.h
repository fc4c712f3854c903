#ifndef CACTUSCROSS_SRC_CORE_FLOW_PLACEMENT_PLACEMENT_H_
#define CACTUSCROSS_SRC_CORE_FLOW_PLACEMENT_PLACEMENT_H_

// Selects a server for a new flow: the least loaded of the first few candidates
// in the flow's rendezvous order (power of d choices). Where the servers of the
// service have uneven capacities, the order is weighted by capacity and the
// candidates are compared by expected completion.

#include <string_view>
#include <vector>

#include "src/core/flow/placement/service_capacity.h"
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

// Time until `entry` would have completed another request, in seconds, by which
// candidates are compared where `service` is uneven.
double ExpectedCompletion(TimePoint now,
                          const ServerEntry& entry,
                          std::string_view own_zone,
                          const ServiceCapacity& service);

// Number of requests in progress at which a server gets no new flows; at least
// one for each slot.
std::uint32_t MaxRunning(TimePoint now,
                         const ServerEntry& entry,
                         const ServiceCapacity& service = {});

// True if another request would wait on the server for longer than roughly one
// service time. With `keep_reserve`, a part of its capacity does not count.
bool IsSaturated(TimePoint now,
                 const ServerEntry& entry,
                 const ServiceCapacity& service = {},
                 bool keep_reserve = false);

enum class PlacementStatus : std::uint8_t {
  kPlaced,
  kSaturated,  // all eligible servers are saturated
  kNoServer,   // no server is eligible
};

struct Placement {
  PlacementStatus status = PlacementStatus::kNoServer;
  ServerKey server = kNoServer;
  bool suspected = false;  // `server` is, and there is no other one
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
                    const ServiceCapacity& capacity = {},
                    bool keep_reserve = false);

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_PLACEMENT_PLACEMENT_H_
