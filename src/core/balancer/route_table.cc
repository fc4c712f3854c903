#include "src/core/balancer/route_table.h"

#include <iterator>

namespace cactuscross {

PeerAddress AgentAddress(const ContractServer& server) {
  return {server.node, Role::kAgent, server.zone, server.agent};
}

void RouteTable::Update(TimePoint now,
                        const ContractService& service,
                        ContractVersion version) {
  ContractVersion& known = this->versions[service.id];
  if (known == version) {
    return;
  }
  for (auto& [id, entry] : this->agents) {
    if (id.first == service.id && entry.version == known) {
      entry.last_listed = now;
    }
  }
  known = version;
  for (const ContractServer& server : service.servers) {
    this->agents[{service.id, server.node}] = {AgentAddress(server), version,
                                               now};
  }
  this->EraseExpired(now);
}

void RouteTable::EraseExpired(TimePoint now) {
  for (auto it = this->agents.begin(); it != this->agents.end();) {
    const bool former = it->second.version != this->versions[it->first.first];
    const bool expired = now - it->second.last_listed > kFormerAgentLifetime;
    it = former && expired ? this->agents.erase(it) : std::next(it);
  }
}

std::optional<PeerAddress> RouteTable::Find(TimePoint now,
                                            ServiceId service,
                                            NodeId agent) const {
  const auto found = this->agents.find({service, agent});
  if (found == this->agents.end()) {
    return std::nullopt;
  }
  const auto listed = this->versions.find(service);
  const bool current =
      listed != this->versions.end() && listed->second == found->second.version;
  if (!current && now - found->second.last_listed > kFormerAgentLifetime) {
    return std::nullopt;
  }
  return found->second.peer;
}

void RouteTable::NoteLoad(TimePoint now, NodeId agent, const LoadReport& load) {
  this->loads[agent] = {load, now};
}

std::optional<LoadReport> RouteTable::LoadOf(TimePoint now,
                                             NodeId agent) const {
  const auto found = this->loads.find(agent);
  if (found == this->loads.end() ||
      now - found->second.second > kLoadLifetime) {
    return std::nullopt;
  }
  return found->second.first;
}

}  // namespace cactuscross
