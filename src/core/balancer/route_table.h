#ifndef CACTUSCROSS_SRC_CORE_BALANCER_ROUTE_TABLE_H_
#define CACTUSCROSS_SRC_CORE_BALANCER_ROUTE_TABLE_H_

// Addresses and loads of the agents of each service, including former agents
// that a newer contract no longer lists: tickets may still name them.

#include <map>
#include <optional>
#include <utility>

#include "cactuscross/contract.h"
#include "cactuscross/peer_message.h"
#include "cactuscross/types.h"

namespace cactuscross {

// How long a ticket can still be routed to a former agent: longer than the
// lifetime of a ticket plus the time for which its outcome is kept.
inline constexpr Duration kFormerAgentLifetime = std::chrono::seconds(300);

class RouteTable {
 public:
  // Stores the agents of `service` at `version`. Returns early if the version
  // is unchanged.
  void Update(TimePoint now,
              const ContractService& service,
              ContractVersion version);

  // Returns the address of `agent` if it serves `service`, or did so within
  // kFormerAgentLifetime.
  std::optional<PeerAddress> Find(TimePoint now,
                                  ServiceId service,
                                  NodeId agent) const;

  // Stores the load that `agent` reported.
  void NoteLoad(TimePoint now, NodeId agent, const LoadReport& load);

  // Returns the last reported load of `agent`, unless it is older than
  // kLoadLifetime.
  std::optional<LoadReport> LoadOf(TimePoint now, NodeId agent) const;

  std::size_t size() const { return this->agents.size(); }

 private:
  void EraseExpired(TimePoint now);

  struct Entry {
    PeerAddress peer;
    ContractVersion version = 0;  // last one that listed the agent
    TimePoint last_listed;
  };
  // Former agents are included until kFormerAgentLifetime has passed.
  std::map<std::pair<ServiceId, NodeId>, Entry> agents;
  std::map<ServiceId, ContractVersion> versions;  // of the last Update()
  // Last load report of each agent, with its time of arrival.
  std::map<NodeId, std::pair<LoadReport, TimePoint>> loads;
};

// How long a load report is used for routing.
inline constexpr Duration kLoadLifetime = std::chrono::seconds(2);

PeerAddress AgentAddress(const ContractServer& server);

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_BALANCER_ROUTE_TABLE_H_
