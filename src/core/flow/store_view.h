#ifndef CACTUSCROSS_SRC_CORE_FLOW_STORE_VIEW_H_
#define CACTUSCROSS_SRC_CORE_FLOW_STORE_VIEW_H_

// What a balancer reads from the store: routes and servers, kept up to date.

#include <vector>

#include "cactuscross/flow_balancer.h"
#include "cactuscross/flow_gossip.h"
#include "src/core/flow/route_set.h"
#include "src/core/flow/server_table.h"
#include "src/core/flow/store_reader.h"

namespace cactuscross {

class StoreView {
 public:
  // `flow_max_age`: servers that left the list are asked for their flows for as
  // long as a flow may live.
  StoreView(std::uint64_t seed, Duration flow_max_age);

  // Applies answers, and asks for the next calls.
  void Tick(TimePoint now,
            const std::vector<StoreAnswer>& answers,
            FlowBalancerOutbox& outbox);

  // Whether this process reads the store; else it lives by its peers.
  void SetReading(bool reading);

  // Takes over routes if they are newer. `source`: for the log.
  void ApplyRoutes(const RouteSet& routes,
                   std::string_view source,
                   std::vector<FlowEvent>& events);
  // Takes over what a peer knows: all changes after `after_revision` up to
  // `revision`, or everything if `after_revision` is 0.
  void ApplyPeerServers(TimePoint now,
                        const std::vector<ServerChange>& changes,
                        std::uint64_t after_revision,
                        std::uint64_t revision,
                        std::vector<FlowEvent>& events);

  // True once both subjects are known whole.
  bool IsLoaded() const { return this->Version().loaded; }
  // How much is known.
  ViewVersion Version() const;
  // Last time that the store confirmed both subjects to this process.
  TimePoint ConfirmedAt() const;

  const ActiveRoutes& Routes() const { return this->routes; }
  ServerTable& Servers() { return this->servers; }
  const ServerTable& Servers() const { return this->servers; }

 private:
  StoreReader& ReaderOf(StoreSubject subject);
  void Apply(TimePoint now,
             const StoreAnswer& answer,
             std::vector<FlowEvent>& events);
  void ApplyServers(TimePoint now,
                    const StoreAnswer& answer,
                    std::vector<FlowEvent>& events);

  const Duration flow_max_age;
  ActiveRoutes routes;
  ServerTable servers;
  StoreReader route_reader;
  StoreReader server_reader;
  std::vector<ServerKey> listed;  // by the list that is being read
  bool reading = true;
  std::uint64_t peer_revision = 0;  // servers are known up to it from peers
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_STORE_VIEW_H_
