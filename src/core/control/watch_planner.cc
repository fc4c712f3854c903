#include "src/core/control/watch_planner.h"

#include <algorithm>

#include "src/core/control/control_limits.h"
#include "src/core/control/watch_set.h"

namespace cactuscross {

std::optional<std::vector<PeerAddress>> WatchPlanner::Update(TimePoint now) {
  const bool contracts_changed =
      this->store_generation != this->store.Generation();
  const bool members_changed =
      this->member_generation != this->members.Generation();
  if (now < this->next_update || (!contracts_changed && !members_changed)) {
    return std::nullopt;
  }
  this->next_update = now + kWatchSetInterval;
  this->member_generation = this->members.Generation();
  if (contracts_changed) {
    this->store_generation = this->store.Generation();
    this->CollectAgents();
  }
  return this->self.role == Role::kBalancer ? this->PlanForBalancer()
                                            : this->PlanForAgent();
}

void WatchPlanner::CollectAgents() {
  this->agents.clear();
  for (const auto& [customer, stored] : this->store.All()) {
    if (!stored.InForce()) {
      continue;
    }
    for (const ContractService& service : stored.active.contract.services) {
      for (const ContractServer& server : service.servers) {
        if (server.node != this->self.node) {
          this->agents.push_back(
              {server.node, Role::kAgent, server.zone, server.agent});
        }
      }
    }
  }
  const auto by_node = [](const PeerAddress& a, const PeerAddress& b) {
    return ToNumber(a.node) < ToNumber(b.node);
  };
  const auto same_node = [](const PeerAddress& a, const PeerAddress& b) {
    return a.node == b.node;
  };
  std::stable_sort(this->agents.begin(), this->agents.end(), by_node);
  this->agents.erase(
      std::unique(this->agents.begin(), this->agents.end(), same_node),
      this->agents.end());
}

std::vector<PeerAddress> WatchPlanner::PlanForBalancer() const {
  WatcherPool pool;
  pool.Add(this->self.node, this->self.zone);
  for (const Member* member : this->members.LiveBalancers()) {
    pool.Add(member->peer.node, member->peer.zone);
  }
  std::vector<PeerAddress> targets;
  for (const Member* member : this->members.Balancers()) {
    if (pool.IsWatcher(this->self, member->peer, kWatchersPerBalancer)) {
      targets.push_back(member->peer);
    }
  }
  const std::size_t count =
      WatcherCount(pool.Size(), this->agents.size(), kWatchedAgentsPerBalancer,
                   kMinWatchersPerAgent);
  for (const PeerAddress& agent : this->agents) {
    if (pool.IsWatcher(this->self, agent, count)) {
      targets.push_back(agent);
    }
  }
  return targets;
}

std::vector<PeerAddress> WatchPlanner::PlanForAgent() const {
  WatcherPool pool;
  pool.Add(this->self.node, this->self.zone);
  for (const PeerAddress& agent : this->agents) {
    if (this->members.StateOf(agent.node) == MemberState::kAlive) {
      pool.Add(agent.node, agent.zone);
    }
  }
  std::vector<PeerAddress> targets;
  for (const PeerAddress& agent : this->agents) {
    if (pool.IsWatcher(this->self, agent, kAgentWatchersPerAgent)) {
      targets.push_back(agent);
    }
  }
  return targets;
}

}  // namespace cactuscross
