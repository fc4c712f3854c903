#ifndef CACTUSCROSS_SRC_CORE_FLOW_STORE_VIEW_H_
#define CACTUSCROSS_SRC_CORE_FLOW_STORE_VIEW_H_

// What a balancer reads from the store: routes and servers, kept up to date.

#include <vector>

#include "cactuscross/flow_balancer.h"
#include "src/core/flow/route_set.h"
#include "src/core/flow/server_table.h"
#include "src/core/flow/store_reader.h"

namespace cactuscross {

class StoreView {
 public:
  explicit StoreView(std::uint64_t seed);

  // Applies answers, and asks for the next calls.
  void Tick(TimePoint now,
            const std::vector<StoreAnswer>& answers,
            FlowBalancerOutbox& outbox);

  // True once both subjects were read whole.
  bool IsLoaded() const;
  // True while the store answers both subjects.
  bool IsReachable() const;

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

  ActiveRoutes routes;
  ServerTable servers;
  StoreReader route_reader;
  StoreReader server_reader;
  std::vector<ServerKey> listed;  // by the list that is being read
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_STORE_VIEW_H_
