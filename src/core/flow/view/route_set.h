#ifndef CACTUSCROSS_SRC_CORE_FLOW_VIEW_ROUTE_SET_H_
#define CACTUSCROSS_SRC_CORE_FLOW_VIEW_ROUTE_SET_H_

// The routes in force, which map service addresses to services.

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "cactuscross/flow_types.h"
#include "cactuscross/flow_view.h"

namespace cactuscross {

class ActiveRoutes {
 public:
  // Replaces the routes if the version of `routes` is newer; returns whether it
  // is.
  bool Apply(const RouteSet& routes);

  bool IsLoaded() const { return this->loaded; }
  std::uint64_t Version() const { return this->version; }
  std::size_t Size() const { return this->routes.size(); }
  std::vector<FlowRoute> All() const;
  const std::vector<WarmupLimit>& WarmupLimits() const {
    return this->warmup_limits;
  }
  // Limit of the servers of `service` while they warm up; null if there is
  // none. Valid until the next Apply().
  const WarmupLimit* FindWarmupLimit(ServiceId service) const;

  // Route for `address`; null if there is none. Valid until the next Apply().
  const FlowRoute* Find(const Endpoint& address) const;

 private:
  bool loaded = false;
  std::uint64_t version = 0;
  std::unordered_map<Endpoint, FlowRoute, EndpointHash> routes;
  std::vector<WarmupLimit> warmup_limits;
};

// Selects the service of a new flow in proportion to the weights. The result is
// the same for each transmission of the opening packet.
ServiceId ChooseService(const FlowKey& flow,
                        const std::vector<ServiceShare>& shares);

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_VIEW_ROUTE_SET_H_
