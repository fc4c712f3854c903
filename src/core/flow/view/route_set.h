#ifndef CACTUSCROSS_SRC_CORE_FLOW_VIEW_ROUTE_SET_H_
#define CACTUSCROSS_SRC_CORE_FLOW_VIEW_ROUTE_SET_H_

// The routes in force, which map service addresses to services.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include "cactuscross/flow_types.h"
#include "cactuscross/flow_view.h"
#include "src/core/flow/view/former_services.h"

namespace cactuscross {

// Which routes a peer lacks.
struct RouteSelection {
  std::uint64_t after = 0;  // those that changed after this version; 0: all
  // Also those with former services. All routes include them anyway.
  bool with_former = false;
};

class ActiveRoutes {
 public:
  // `flow_max_age`: maximum lifetime of a flow.
  explicit ActiveRoutes(Duration flow_max_age) : former(flow_max_age) {}

  // Replaces the routes if the version of `routes` is newer; returns whether it
  // is. At the same version, the former services that a peer knows are merged.
  bool Apply(TimePoint now, const RouteSet& routes);
  // Applies the changes that a peer knows; returns whether they lead to a newer
  // version. Changes after another version than the one in force are ignored.
  bool ApplyChanges(TimePoint now, const RouteChanges& changes);
  // Drops former services whose flows have ended.
  void Expire(TimePoint now) { this->former.Expire(now); }

  bool IsLoaded() const { return this->loaded; }
  std::uint64_t Version() const { return this->version; }
  std::size_t Size() const { return this->routes.size(); }
  // True if a route has another priority than the highest.
  bool HasPriorities() const { return this->has_priorities; }

  // True if it is known what has changed after `version`, because it was in
  // force here: of other versions it is not known which routes they had.
  bool KnowsChangesAfter(std::uint64_t version) const;
  std::size_t CountFor(const RouteSelection& selection) const;
  // At most `count` of the selected routes, from the one with index `first` on,
  // with their former services, for a peer. The order stays the same until the
  // next Apply().
  std::vector<FlowRoute> ForPeer(TimePoint now,
                                 const RouteSelection& selection,
                                 std::size_t first,
                                 std::size_t count) const;
  // All routes with their former services, for a peer.
  std::vector<FlowRoute> All(TimePoint now) const {
    return this->ForPeer(now, RouteSelection(), 0, this->routes.size());
  }
  // For how long this process has known all former services.
  Duration FormerKnownFor(TimePoint now) const {
    return this->former.KnownFor(now);
  }

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
  // Services that routes name, and former ones, in ascending order.
  std::vector<ServiceId> AllServices() const;
  // True if ServicesOfFlows() can't lack a former service.
  bool KnowsFormerServices(TimePoint now) const {
    return this->former.IsComplete(now);
  }

 private:
  struct ActiveRoute {
    FlowRoute route;
    std::uint64_t changed_in = 0;  // version, or a later one
  };

  void SetVersion(std::uint64_t version);
  void Replace(TimePoint now, const RouteSet& routes);
  void Put(TimePoint now, const FlowRoute& route);
  void Remove(const Endpoint& address);
  void UpdatePriorities();
  bool IsSelected(const RouteSelection& selection,
                  const ActiveRoute& active) const;

  bool loaded = false;
  bool has_priorities = false;
  std::uint64_t version = 0;
  std::unordered_map<Endpoint, ActiveRoute, EndpointHash> routes;
  // Routes that were removed, and the version in which they were, for peers
  // that lack the change.
  std::unordered_map<Endpoint, std::uint64_t, EndpointHash> removed;
  // Versions that were in force and after which all changes are known, oldest
  // first, with the current one.
  std::deque<std::uint64_t> known_versions;
  FormerServices former;
  std::vector<WarmupLimit> warmup_limits;
};

// Selects the service of a new flow in proportion to the weights. The result is
// the same for each transmission of the opening packet.
ServiceId ChooseService(const FlowKey& flow,
                        const std::vector<ServiceShare>& shares);

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_VIEW_ROUTE_SET_H_
