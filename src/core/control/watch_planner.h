#ifndef CACTUSCROSS_SRC_CORE_CONTROL_WATCH_PLANNER_H_
#define CACTUSCROSS_SRC_CORE_CONTROL_WATCH_PLANNER_H_

// Computes the set of processes that this one probes, and updates it with the
// contracts in force and the alive balancers.

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

  // Returns a new watch set if contracts or members changed, at most once per
  // kWatchSetInterval.
  std::optional<std::vector<PeerAddress>> Update(TimePoint now);

  // Returns the agents in the contracts in force except this process, ordered
  // by node. An agent has only its own customer's contract and hence the agents
  // of that customer.
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
