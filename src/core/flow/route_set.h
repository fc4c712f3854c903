#ifndef CACTUSCROSS_SRC_CORE_FLOW_ROUTE_SET_H_
#define CACTUSCROSS_SRC_CORE_FLOW_ROUTE_SET_H_

// The routes in force: service address to services.

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "cactuscross/flow_types.h"
#include "cactuscross/flow_view.h"

namespace cactuscross {

class ActiveRoutes {
 public:
  // Takes over `routes` if its version is newer; returns whether it did.
  bool Apply(const RouteSet& routes);

  bool IsLoaded() const { return this->loaded; }
  std::uint64_t Version() const { return this->version; }
  std::size_t Size() const { return this->routes.size(); }
  std::vector<FlowRoute> All() const;

  // Services of the route at `address`; null if there is no such route.
  const std::vector<ServiceShare>* Find(const Endpoint& address) const;

 private:
  bool loaded = false;
  std::uint64_t version = 0;
  std::unordered_map<Endpoint, std::vector<ServiceShare>, EndpointHash> routes;
};

// The service of a new flow: drawn by weight, the same for each copy of its
// opening packet.
ServiceId ChooseService(const FlowKey& flow,
                        const std::vector<ServiceShare>& shares);

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_ROUTE_SET_H_
