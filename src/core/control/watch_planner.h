#ifndef CACTUSCROSS_SRC_CORE_CONTROL_WATCH_PLANNER_H_
#define CACTUSCROSS_SRC_CORE_CONTROL_WATCH_PLANNER_H_

// Keeps the list of processes that this one is to probe in step with the
// contracts in force and the live balancers.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cactuscross/types.h"
#include "src/core/control/contract_store.h"
#include "src/core/control/member_table.h"

namespace cactuscross {

class WatchPlanner {
 public:
  WatchPlanner(PeerAddress self,
               const ContractStore& store,
               const MemberTable& members)
      : self(std::move(self)), store(store), members(members) {}

  // Returns the new watch set if it is time for one.
  std::optional<std::vector<PeerAddress>> Update(TimePoint now);

  // Agents in the contracts in force, without this process, ordered by node.
  // Of an agent: the agents of its customer.
  const std::vector<PeerAddress>& Agents() const { return this->agents; }

 private:
  void CollectAgents();
  std::vector<PeerAddress> PlanForBalancer() const;
  std::vector<PeerAddress> PlanForAgent() const;

  PeerAddress self;
  const ContractStore& store;
  const MemberTable& members;
  std::vector<PeerAddress> agents;
  TimePoint next_update{};
  std::optional<std::uint64_t> store_generation;
  std::uint64_t member_generation = 0;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_CONTROL_WATCH_PLANNER_H_
