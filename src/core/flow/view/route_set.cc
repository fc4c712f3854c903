#include "src/core/flow/view/route_set.h"

#include "src/core/flow/common/flow_hash.h"

namespace cactuscross {

bool ActiveRoutes::Apply(const RouteSet& routes) {
  if (this->loaded && routes.version <= this->version) {
    return false;
  }
  this->loaded = true;
  this->version = routes.version;
  this->routes.clear();
  for (const FlowRoute& route : routes.routes) {
    this->routes[route.service_address] = route;
  }
  return true;
}

const FlowRoute* ActiveRoutes::Find(const Endpoint& address) const {
  const auto found = this->routes.find(address);
  return found == this->routes.end() ? nullptr : &found->second;
}

std::vector<FlowRoute> ActiveRoutes::All() const {
  std::vector<FlowRoute> all;
  all.reserve(this->routes.size());
  for (const auto& [address, route] : this->routes) {
    all.push_back(route);
  }
  return all;
}

ServiceId ChooseService(const FlowKey& flow,
                        const std::vector<ServiceShare>& shares) {
  std::uint32_t total = 0;
  for (const ServiceShare& share : shares) {
    total += share.weight;
  }
  if (total == 0) {
    return kNoService;
  }
  std::uint32_t remaining = FlowHashBelow(flow, total);
  for (const ServiceShare& share : shares) {
    if (remaining < share.weight) {
      return share.service;
    }
    remaining -= share.weight;
  }
  return kNoService;
}

}  // namespace cactuscross
