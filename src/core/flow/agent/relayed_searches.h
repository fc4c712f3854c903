#ifndef CACTUSCROSS_SRC_CORE_FLOW_AGENT_RELAYED_SEARCHES_H_
#define CACTUSCROSS_SRC_CORE_FLOW_AGENT_RELAYED_SEARCHES_H_

// Answers of other agents to packets that this agent has relayed for a
// balancer, collected into one notice. Load: all clients hold lost flows, and
// agents that started after their servers need a packet of each. If every agent
// answers the balancer itself, the answers saturate the link of a small host.

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "cactuscross/flow_agent.h"

namespace cactuscross {

class RelayedSearches {
 public:
  // The packet of `flow` is relayed to `hosts` for `balancer`. Returns false if
  // too many searches are in progress: the agents then have to answer the
  // balancer themselves.
  bool Begin(TimePoint now,
             std::uint32_t balancer,
             const FlowKey& flow,
             const std::vector<std::uint32_t>& hosts);

  // The agent on `host` answered. Does nothing unless its answer is awaited.
  void NoteAnswer(std::uint32_t host, const FlowKey& flow, LookupResult result);

  // Replies that are due: a server that holds the flow is reported at once,
  // denials when all agents have answered or after kMaxCollectTime.
  std::vector<OutgoingNotice> TakeReplies(TimePoint now);

  std::size_t Size() const { return this->searches.size(); }

 private:
  struct Search {
    std::uint32_t balancer = 0;
    TimePoint begun_at;
    std::vector<std::uint32_t> awaited;
    std::vector<std::uint32_t> denied;  // not reported yet
    std::uint32_t holder = 0;           // not reported yet; 0: none
  };

  std::unordered_map<FlowKey, Search, FlowKeyHash> searches;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_AGENT_RELAYED_SEARCHES_H_
