#include "src/core/flow/placement/route_placement.h"

#include <algorithm>

#include "src/core/flow/view/route_set.h"

namespace cactuscross {
namespace {

void RemoveService(std::vector<ServiceShare>& shares, ServiceId service) {
  shares.erase(std::remove_if(shares.begin(), shares.end(),
                              [service](const ServiceShare& share) {
                                return share.service == service;
                              }),
               shares.end());
}

}  // namespace

RoutePlacement PlaceOnRoute(TimePoint now,
                            const PlacementContext& context,
                            ServiceId chosen,
                            const std::vector<ServiceShare>& shares,
                            const FlowKey& flow,
                            const std::vector<ServerKey>& excluded) {
  const auto place = [&](ServiceId service) {
    return PlaceFlow(now, context.servers, service, flow, context.own_zone,
                     excluded,
                     context.capacities.Get(now, context.servers, service),
                     context.keep_reserve);
  };
  RoutePlacement result{place(chosen), false};
  const auto is_usable = [](const Placement& placement) {
    return placement.status == PlacementStatus::kPlaced && !placement.suspected;
  };
  if (context.strict_weights || shares.size() < 2 ||
      is_usable(result.placement)) {
    return result;
  }
  std::vector<ServiceShare> others = shares;
  RemoveService(others, chosen);
  for (ServiceId service = ChooseService(flow, others); service != kNoService;
       service = ChooseService(flow, others)) {
    const Placement placement = place(service);
    if (is_usable(placement)) {
      return {placement, true};
    }
    // The opening waits if another service may take it later.
    if (result.placement.status == PlacementStatus::kNoServer) {
      result = {placement, true};
    }
    RemoveService(others, service);
  }
  return result;
}

}  // namespace cactuscross
