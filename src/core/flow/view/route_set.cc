#include "src/core/flow/view/route_set.h"

#include <algorithm>
#include <utility>

#include "src/core/flow/common/flow_hash.h"

namespace cactuscross {

bool ActiveRoutes::Apply(TimePoint now, const RouteSet& routes) {
  if (this->loaded && routes.version < this->version) {
    return false;
  }
  const bool is_newer = !this->loaded || routes.version > this->version;
  if (!this->loaded) {
    this->former.Begin(now);
  }
  if (is_newer) {
    this->Replace(now, routes);
  } else if (this->warmup_limits.empty()) {
    // A peer of a version without limits may have supplied these routes.
    this->warmup_limits = routes.warmup_limits;
  }
  for (const FlowRoute& route : routes.routes) {
    this->former.Merge(now, route);
  }
  return is_newer;
}

void ActiveRoutes::Replace(TimePoint now, const RouteSet& routes) {
  this->loaded = true;
  this->version = routes.version;
  this->warmup_limits = routes.warmup_limits;
  this->has_priorities =
      std::any_of(routes.routes.begin(), routes.routes.end(),
                  [](const FlowRoute& route) { return route.priority != 0; });
  const auto previous = std::exchange(this->routes, {});
  for (const FlowRoute& route : routes.routes) {
    FlowRoute& added = this->routes[route.service_address];
    added = route;
    added.former_services.clear();
  }
  for (const auto& [address, before] : previous) {
    if (const FlowRoute* route = this->Find(address)) {
      this->former.NoteReplaced(now, before, *route);
    } else {
      // The flows of a removed route are lost.
      this->former.Erase(address);
    }
  }
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

std::vector<FlowRoute> ActiveRoutes::All(TimePoint now) const {
  std::vector<FlowRoute> all;
  all.reserve(this->routes.size());
  for (const auto& [address, route] : this->routes) {
    all.push_back(route);
    all.back().former_services = this->former.ForPeer(now, address);
  }
  return all;
}

std::vector<ServiceId> ActiveRoutes::ServicesOfFlows(
    TimePoint now,
    const Endpoint& address) const {
  std::vector<ServiceId> services;
  const FlowRoute* route = this->Find(address);
  if (route == nullptr) {
    return services;
  }
  for (const ServiceShare& share : route->services) {
    services.push_back(share.service);
  }
  for (const FormerService& former : this->former.Of(now, address)) {
    services.push_back(former.service);
  }
  return services;
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
