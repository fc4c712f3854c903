#ifndef CACTUSCROSS_SRC_CORE_FLOW_VIEW_ROUTE_SET_H_
#define CACTUSCROSS_SRC_CORE_FLOW_VIEW_ROUTE_SET_H_

// The routes in force, which map service addresses to services.

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "cactuscross/flow_types.h"
#include "cactuscross/flow_view.h"
#include "src/core/flow/view/former_services.h"

namespace cactuscross {

class ActiveRoutes {
 public:
  // `flow_max_age`: maximum lifetime of a flow.
  explicit ActiveRoutes(Duration flow_max_age) : former(flow_max_age) {}

  // Replaces the routes if the version of `routes` is newer; returns whether it
  // is. At the same version, the former services that a peer knows are merged.
  bool Apply(TimePoint now, const RouteSet& routes);
  // Drops former services whose flows have ended.
  void Expire(TimePoint now) { this->former.Expire(now); }

  bool IsLoaded() const { return this->loaded; }
  std::uint64_t Version() const { return this->version; }
  std::size_t Size() const { return this->routes.size(); }
  // True if a route has another priority than the highest.
  bool HasPriorities() const { return this->has_priorities; }
  // All routes with their former services, for a peer.
  std::vector<FlowRoute> All(TimePoint now) const;
  const std::vector<WarmupLimit>& WarmupLimits() const {
    return this->warmup_limits;
  }
  // Limit of the servers of `service` while they warm up; null if there is
  // none. Valid until the next Apply().
  const WarmupLimit* FindWarmupLimit(ServiceId service) const;

  // Route for `address`; null if there is none. Valid until the next Apply().
  const FlowRoute* Find(const Endpoint& address) const;

  // Services whose servers may hold flows of the route of `address`: those that
  // it names, then its former ones. Empty if there is no route.
  std::vector<ServiceId> ServicesOfFlows(TimePoint now,
                                         const Endpoint& address) const;
  // True if ServicesOfFlows() can't lack a former service.
  bool KnowsFormerServices(TimePoint now) const {
    return this->former.IsComplete(now);
  }

 private:
  void Replace(TimePoint now, const RouteSet& routes);

  bool loaded = false;
  bool has_priorities = false;
  std::uint64_t version = 0;
  std::unordered_map<Endpoint, FlowRoute, EndpointHash> routes;
  FormerServices former;
  std::vector<WarmupLimit> warmup_limits;
};

// Selects the service of a new flow in proportion to the weights. The result is
// the same for each transmission of the opening packet.
ServiceId ChooseService(const FlowKey& flow,
                        const std::vector<ServiceShare>& shares);

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_VIEW_ROUTE_SET_H_
