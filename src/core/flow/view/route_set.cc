#include "src/core/flow/view/route_set.h"

#include <algorithm>

#include "src/core/flow/common/flow_hash.h"

namespace cactuscross {

bool ActiveRoutes::Apply(const RouteSet& routes) {
  if (this->loaded && routes.version <= this->version) {
    // A peer of a version without limits may have supplied these routes.
    if (routes.version == this->version && this->warmup_limits.empty()) {
      this->warmup_limits = routes.warmup_limits;
    }
    return false;
  }
  this->loaded = true;
  this->version = routes.version;
  this->warmup_limits = routes.warmup_limits;
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

const WarmupLimit* ActiveRoutes::FindWarmupLimit(ServiceId service) const {
  const auto found = std::find_if(
      this->warmup_limits.begin(), this->warmup_limits.end(),
      [service](const WarmupLimit& limit) { return limit.service == service; });
  return found == this->warmup_limits.end() ? nullptr : &*found;
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
