#ifndef CACTUSCROSS_SRC_CORE_FLOW_VIEW_STORE_VIEW_H_
#define CACTUSCROSS_SRC_CORE_FLOW_VIEW_STORE_VIEW_H_

// A balancer's view of routes and servers, kept up to date from the store or
// from peers.

#include <vector>

#include "cactuscross/flow_balancer.h"
#include "cactuscross/flow_gossip.h"
#include "src/core/flow/view/route_set.h"
#include "src/core/flow/view/server_table.h"
#include "src/core/flow/view/store_reader.h"
#include "src/core/flow/view/zone_orders.h"

namespace cactuscross {

class StoreView {
 public:
  // `flow_max_age`: maximum lifetime of a flow. Unlisted servers are retained,
  // and queried by searches, for this time. `uses_zone_orders`: orders to
  // evacuate zones are in the answers for routes, and are in force.
  StoreView(std::uint64_t seed,
            Duration flow_max_age,
            bool uses_zone_orders = false);

  // Applies answers and requests the next calls.
  void Tick(TimePoint now,
            const std::vector<StoreAnswer>& answers,
            FlowBalancerOutbox& outbox);

  // Sets whether this process reads the store. Otherwise it relies on its
  // peers. `retry_factor` multiplies the time between two attempts while the
  // store does not answer.
  void SetReading(bool reading, std::uint32_t retry_factor);

  // Applies routes if they are newer, and merges the former services that a
  // peer knows. `source` is logged.
  void ApplyRoutes(TimePoint now,
                   const RouteSet& routes,
                   std::string_view source,
                   std::vector<FlowEvent>& events);
  // The same with the changes that a peer knows.
  void ApplyRouteChanges(TimePoint now,
                         const RouteChanges& changes,
                         std::vector<FlowEvent>& events);
  // Applies servers received from a peer: all changes after `after` up to
  // `position`, or all servers if the revision of `after` is 0.
  void ApplyPeerServers(TimePoint now,
                        const std::vector<ServerChange>& changes,
                        const StorePosition& after,
                        const StorePosition& position,
                        std::vector<FlowEvent>& events);

  // Applies the orders to evacuate zones that a peer knows.
  void ApplyPeerZoneOrders(TimePoint now,
                           const std::vector<ZoneOrder>& orders,
                           std::vector<FlowEvent>& events);

  // True once routes and servers are both completely loaded.
  bool IsLoaded() const { return this->Version().loaded; }
  // Version of the view, for comparison with peers.
  ViewVersion Version() const;
  // Last time at which the store had confirmed both subjects to this process;
  // the epoch: never.
  TimePoint ConfirmedAt() const;

  const ZoneOrders& Orders() const { return this->zone_orders; }
  // Position up to which this process has read all orders to evacuate zones;
  // revision 0: none.
  StorePosition OrdersReadPosition() const;

  const ActiveRoutes& Routes() const { return this->routes; }
  ServerTable& Servers() { return this->servers; }
  const ServerTable& Servers() const { return this->servers; }

 private:
  StoreReader& ReaderOf(StoreSubject subject);
  // Position up to which this process has read all servers.
  StorePosition ReadPosition() const;
  // Starts a new era if the answer is the first one of it: both subjects are
  // listed again, and the view stays in use until the lists are complete.
  // Returns false if the answer is from an earlier era and must not be applied.
  bool CheckEra(const StoreAnswer& answer, std::vector<FlowEvent>& events);
  void Apply(TimePoint now,
             const StoreAnswer& received,
             std::vector<FlowEvent>& events);
  void ApplyServers(TimePoint now,
                    const StoreAnswer& answer,
                    std::vector<FlowEvent>& events);
  void ApplyZoneOrders(TimePoint now,
                       const StoreAnswer& answer,
                       std::vector<FlowEvent>& events);
  // Applies changed orders to the servers of their zones.
  void UpdateEvacuatedZones(TimePoint now);
  // Forgets the entries of the lists being read, because they are read again.
  void ClearListed();

  const Duration flow_max_age;
  const bool uses_zone_orders;
  ActiveRoutes routes;
  ServerTable servers;
  StoreReader route_reader;
  StoreReader server_reader;
  ZoneOrders zone_orders;
  std::uint64_t applied_orders = 0;  // change count of the orders at servers
  std::vector<ServerKey> listed;     // entries of the list being read
  std::vector<std::string> listed_zones;  // orders of the list being read
  bool reading = true;
  // Position of the store up to which peers have supplied the servers.
  StorePosition peer_position;
  std::uint64_t era = 0;          // highest known era of the store; 0: unknown
  std::uint64_t servers_era = 0;  // of the last complete list of servers
  std::uint64_t routes_era = 0;   // of the last complete list of routes
  bool era_missing = false;       // in the last answer
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_VIEW_STORE_VIEW_H_
