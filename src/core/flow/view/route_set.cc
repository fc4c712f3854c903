#include "src/core/flow/view/route_set.h"

#include <algorithm>
#include <unordered_set>

#include "src/core/flow/common/flow_hash.h"

namespace cactuscross {
namespace {

// Removed routes that are remembered for peers: twice the routes of the design
// size. A peer that lacks an earlier change gets all routes.
constexpr std::size_t kMaxRemoved = 8192;
// Versions of which the changes are remembered. At the design size there are
// 5,300 a day, so that a peer that lacks more has been cut off for an hour.
constexpr std::size_t kMaxKnownVersions = 256;

bool IsSame(const FlowRoute& a, const FlowRoute& b) {
  return a.time_limit == b.time_limit && a.latency_target == b.latency_target &&
         a.priority == b.priority && a.idempotent == b.idempotent &&
         std::equal(a.services.begin(), a.services.end(), b.services.begin(),
                    b.services.end(),
                    [](const ServiceShare& x, const ServiceShare& y) {
                      return x.service == y.service && x.weight == y.weight;
                    });
}

}  // namespace

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

bool ActiveRoutes::ApplyChanges(TimePoint now, const RouteChanges& changes) {
  const bool is_newer = changes.version > this->version;
  if (!this->loaded || changes.version < this->version ||
      (is_newer && changes.after != this->version)) {
    return false;
  }
  if (is_newer) {
    this->SetVersion(changes.version);
    this->warmup_limits = changes.warmup_limits;
  }
  for (const FlowRoute& route : changes.routes) {
    if (is_newer && route.removed) {
      this->Remove(route.service_address);
    } else if (is_newer) {
      this->Put(now, route);
    }
    if (!route.removed) {
      this->former.Merge(now, route);
    }
  }
  if (changes.former_known_for) {
    this->former.MergeKnownFor(now, *changes.former_known_for);
  }
  this->UpdatePriorities();
  return is_newer;
}

bool ActiveRoutes::KnowsChangesAfter(std::uint64_t version) const {
  return std::binary_search(this->known_versions.begin(),
                            this->known_versions.end(), version);
}

void ActiveRoutes::SetVersion(std::uint64_t version) {
  this->version = version;
  this->known_versions.push_back(version);
  if (this->known_versions.size() > kMaxKnownVersions) {
    this->known_versions.pop_front();
  }
}

void ActiveRoutes::Replace(TimePoint now, const RouteSet& routes) {
  this->loaded = true;
  this->SetVersion(routes.version);
  this->warmup_limits = routes.warmup_limits;
  std::unordered_set<Endpoint, EndpointHash> named;
  for (const FlowRoute& route : routes.routes) {
    named.insert(route.service_address);
    this->Put(now, route);
  }
  std::vector<Endpoint> obsolete;
  for (const auto& [address, active] : this->routes) {
    if (named.count(address) == 0) {
      obsolete.push_back(address);
    }
  }
  for (const Endpoint& address : obsolete) {
    this->Remove(address);
  }
  this->UpdatePriorities();
}

void ActiveRoutes::Put(TimePoint now, const FlowRoute& route) {
  const auto [found, is_new] = this->routes.try_emplace(route.service_address);
  ActiveRoute& active = found->second;
  if (!is_new && IsSame(active.route, route)) {
    return;
  }
  if (!is_new) {
    this->former.NoteReplaced(now, active.route, route);
  }
  active.route = route;
  active.route.former_services.clear();
  active.changed_in = this->version;
  this->removed.erase(route.service_address);
}

void ActiveRoutes::Remove(const Endpoint& address) {
  if (this->routes.erase(address) == 0) {
    return;
  }
  // The flows of a removed route are lost.
  this->former.Erase(address);
  if (this->removed.size() >= kMaxRemoved) {
    this->removed.clear();
    this->known_versions = {this->version};
    return;
  }
  this->removed[address] = this->version;
}

void ActiveRoutes::UpdatePriorities() {
  this->has_priorities = std::any_of(
      this->routes.begin(), this->routes.end(),
      [](const auto& item) { return item.second.route.priority != 0; });
}

const FlowRoute* ActiveRoutes::Find(const Endpoint& address) const {
  const auto found = this->routes.find(address);
  return found == this->routes.end() ? nullptr : &found->second.route;
}

bool ActiveRoutes::IsSelected(const RouteSelection& selection,
                              const ActiveRoute& active) const {
  return active.changed_in > selection.after ||
         (selection.with_former &&
          this->former.HasRecords(active.route.service_address));
}

std::size_t ActiveRoutes::CountFor(const RouteSelection& selection) const {
  if (selection.after == 0) {
    return this->routes.size();
  }
  const auto selected = std::count_if(
      this->routes.begin(), this->routes.end(), [&](const auto& item) {
        return this->IsSelected(selection, item.second);
      });
  const auto gone = std::count_if(
      this->removed.begin(), this->removed.end(),
      [&](const auto& item) { return item.second > selection.after; });
  return static_cast<std::size_t>(selected + gone);
}

std::vector<FlowRoute> ActiveRoutes::ForPeer(TimePoint now,
                                             const RouteSelection& selection,
                                             std::size_t first,
                                             std::size_t count) const {
  std::vector<FlowRoute> selected;
  std::size_t index = 0;
  const auto is_wanted = [&] {
    const std::size_t own = index++;
    return own >= first && own - first < count;
  };
  for (const auto& [address, active] : this->routes) {
    if (selection.after != 0 && !this->IsSelected(selection, active)) {
      continue;
    }
    if (is_wanted()) {
      selected.push_back(active.route);
      selected.back().former_services = selection.after == 0
                                            ? this->former.ForPeer(now, address)
                                            : this->former.Of(now, address);
    }
  }
  if (selection.after == 0) {
    return selected;
  }
  for (const auto& [address, removed_in] : this->removed) {
    if (removed_in > selection.after && is_wanted()) {
      FlowRoute& gone = selected.emplace_back();
      gone.service_address = address;
      gone.removed = true;
    }
  }
  return selected;
}

const WarmupLimit* ActiveRoutes::FindWarmupLimit(ServiceId service) const {
  const auto found = std::find_if(
      this->warmup_limits.begin(), this->warmup_limits.end(),
      [service](const WarmupLimit& limit) { return limit.service == service; });
  return found == this->warmup_limits.end() ? nullptr : &*found;
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

std::vector<ServiceId> ActiveRoutes::AllServices() const {
  std::vector<ServiceId> services;
  for (const auto& [address, active] : this->routes) {
    for (const ServiceShare& share : active.route.services) {
      services.push_back(share.service);
    }
  }
  this->former.AppendServices(services);
  std::sort(services.begin(), services.end());
  services.erase(std::unique(services.begin(), services.end()), services.end());
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
