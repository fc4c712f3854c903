#ifndef CACTUSCROSS_SRC_CORE_FLOW_PLACEMENT_H_
#define CACTUSCROSS_SRC_CORE_FLOW_PLACEMENT_H_

// Choice of a server for a new flow: the least loaded of the first few in the
// flow's rendezvous order.

#include <string_view>
#include <vector>

#include "src/core/flow/server_table.h"

namespace cactuscross {

// Servers of `service` in the order of `flow`, all that may hold its flows.
std::vector<ServerKey> OrderServers(const ServerTable& servers,
                                    ServiceId service,
                                    const FlowKey& flow);

// Load of a server per slot; the lower the better.
double LoadScore(TimePoint now,
                 const ServerEntry& entry,
                 std::string_view own_zone);

// Requests in progress from which on a server gets no new flows.
std::uint32_t MaxRunning(const ServerEntry& entry);

// True if a further request would wait on the server for longer than about the
// time that one takes.
bool IsSaturated(const ServerEntry& entry);

enum class PlacementStatus : std::uint8_t {
  kPlaced,
  kSaturated,  // servers may get the flow, but not now
  kNoServer,   // no server may get the flow
};

struct Placement {
  PlacementStatus status = PlacementStatus::kNoServer;
  ServerKey server = kNoServer;
};

// Chooses a server that may get `flow` and is not in `excluded`. Servers whose
// agents leave openings unanswered come last.
Placement PlaceFlow(TimePoint now,
                    ServerTable& servers,
                    ServiceId service,
                    const FlowKey& flow,
                    std::string_view own_zone,
                    const std::vector<ServerKey>& excluded);

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_PLACEMENT_H_
