#include "src/core/agent/agent_context.h"

#include <utility>

#include <boost/random/uniform_int_distribution.hpp>

namespace cactuscross {

AgentContext::AgentContext(const AgentSettings& agent_settings,
                           const CoreDependencies& dependencies)
    : settings(agent_settings),
      service(MakeServiceId(agent_settings.service)),
      policy(FindRoutingPolicy(dependencies.policy)),
      incarnation(dependencies.incarnation),
      ticket_key(dependencies.ticket_key),
      random(dependencies.seed),
      control(agent_settings.node, dependencies),
      server(agent_settings.service) {
  const std::string& name = this->settings.service;
  this->control.SubscribeTo(name.substr(0, name.find('/')));
}

void AgentContext::Begin(TimePoint time, bool stop_requested) {
  this->now = time;
  if (!this->started) {
    this->started = time;
  }
  this->outbox = {};
  this->stopping = this->stopping || stop_requested;
  this->live_balancers = this->control.LiveBalancers(time);
  const ContractServer* own = this->OwnServer();
  if (own != nullptr) {
    this->server.SetSlots(own->slots);
  }
  const bool by_contract =
      own != nullptr && own->state == ServerState::kLeaving;
  const bool removed = own == nullptr && static_cast<bool>(this->View());
  const bool now_leaving =
      this->stopping || by_contract || removed || this->server.Draining();
  if (now_leaving && !this->leaving) {
    this->leaving_since = time;
  }
  this->leaving = now_leaving;
}

const ContractServer* AgentContext::FindServer(NodeId node) const {
  const ServiceView view = this->View();
  if (!view) {
    return nullptr;
  }
  for (const ContractServer& candidate : view.service->servers) {
    if (candidate.node == node) {
      return &candidate;
    }
  }
  return nullptr;
}

PeerAddress AgentContext::OwnAddress() const {
  const NodeSettings& node = this->settings.node;
  return {node.node, Role::kAgent, node.zone, node.listen};
}

void AgentContext::Send(const PeerAddress& to, PeerMessage body) {
  this->outbox.peer_envelopes.push_back(
      {this->OwnAddress(), this->incarnation, to, std::move(body)});
}

std::uint32_t AgentContext::RandomBelow(std::uint32_t bound) {
  if (bound <= 1) {
    return 0;
  }
  boost::random::uniform_int_distribution<std::uint32_t> pick(0, bound - 1);
  return pick(this->random);
}

std::uint32_t AgentContext::RetryAfter(std::uint32_t base) {
  return base + this->RandomBelow(base + 1);
}

void AgentContext::Record(const Endpoint& caller,
                          const Endpoint& service_address,
                          ByteView token,
                          std::string_view event,
                          ResultCode code,
                          NodeId chosen,
                          std::string_view reason) {
  this->decisions.Add({this->now, caller, service_address, ToHex(token),
                       std::string(event), code, chosen, std::string(reason)});
}

}  // namespace cactuscross
