#ifndef CACTUSCROSS_SRC_CORE_FLOW_PLACEMENT_ROUTE_PLACEMENT_H_
#define CACTUSCROSS_SRC_CORE_FLOW_PLACEMENT_ROUTE_PLACEMENT_H_

// Selects a server for a new flow among all services of its route.
//
// Handles a service that has no free capacity or no usable server while another
// service of the route has.

#include <string_view>
#include <vector>

#include "src/core/flow/placement/placement.h"
#include "src/core/flow/placement/service_capacity.h"

namespace cactuscross {

// What placements on a route have in common.
struct PlacementContext {
  ServerTable& servers;
  ServiceCapacities& capacities;
  std::string_view own_zone;
  bool strict_weights;  // never overflow to another service
  bool keep_reserve;    // leave a part of each server's capacity free
};

struct RoutePlacement {
  Placement placement;
  bool overflow = false;  // the server is of another service than the chosen
};

// Places `flow` on a server of `chosen`. If that service cannot take it at
// once, places it on another service of `shares` with a weight above 0,
// selected in proportion to the weights. If none can take it, the status is
// that of the chosen service unless only another one may take it later.
RoutePlacement PlaceOnRoute(TimePoint now,
                            const PlacementContext& context,
                            ServiceId chosen,
                            const std::vector<ServiceShare>& shares,
                            const FlowKey& flow,
                            const std::vector<ServerKey>& excluded);

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_PLACEMENT_ROUTE_PLACEMENT_H_
