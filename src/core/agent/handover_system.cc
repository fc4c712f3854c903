#include "src/core/agent/handover_system.h"

#include <utility>

#include "src/core/balancer/route_table.h"
#include "src/core/routing/rendezvous.h"

namespace cactuscross {
namespace {

constexpr Duration kOfferInterval = std::chrono::milliseconds(250);
// Max unanswered offers to one agent before another one is selected.
constexpr int kMaxOffers = 6;
// Max new offers per tick, so that handing over all sessions causes no burst.
constexpr int kMaxOffersPerTick = 20;
// Delay before agents that declined receive offers again.
constexpr Duration kDeclinedRetryDelay = std::chrono::seconds(1);

}  // namespace

bool HandoverSystem::MustHandOver() const {
  return this->context.Leaving() ||
         this->context.server.IsUnavailable(this->context.now);
}

// Returns the alive and serving agent with the highest rendezvous weight for
// the caller. The caller's packets are routed there once this agent has left.
const ContractServer* HandoverSystem::ChooseTarget(
    const Session& session) const {
  const ServiceView view = this->context.View();
  if (!view) {
    return nullptr;
  }
  const ContractServer* best = nullptr;
  std::uint64_t best_weight = 0;
  for (const ContractServer& server : view.service->servers) {
    const MemberState state = this->context.control.StateOf(server.node);
    const bool usable = server.node != this->context.Self() &&
                        server.state == ServerState::kServing &&
                        (state == MemberState::kAlive) &&
                        session.declined.count(server.node) == 0;
    if (!usable) {
      continue;
    }
    const std::uint64_t weight =
        RendezvousWeight(session.key.first, server.node);
    if (best == nullptr || weight > best_weight) {
      best = &server;
      best_weight = weight;
    }
  }
  return best;
}

void HandoverSystem::Tick() {
  const bool must_hand_over = this->MustHandOver();
  int started = 0;
  for (auto& [key, session] : this->sessions.Table().All()) {
    if (!session.handover) {
      if (must_hand_over && started < kMaxOffersPerTick) {
        ++started;
        this->TryNextTarget(session);
      }
      continue;
    }
    Handover& handover = *session.handover;
    if (this->context.now < handover.next_attempt) {
      continue;
    }
    if (handover.target == kNoNode) {
      // No agent accepted the session. Continue to serve it, and offer it to
      // all agents again.
      session.declined.clear();
      this->Resume(session);
    } else if (handover.attempts >= kMaxOffers) {
      session.declined.insert(handover.target);
      this->TryNextTarget(session);
    } else {
      this->Offer(session);
    }
  }
}

void HandoverSystem::Resume(Session& session) {
  session.handover.reset();
  session.last_notified = TimePoint{};
}

void HandoverSystem::TryNextTarget(Session& session) {
  this->sessions.CancelPendingNotification(session);
  const ContractServer* target = this->ChooseTarget(session);
  session.handover = Handover{};
  if (target == nullptr) {
    session.handover->next_attempt = this->context.now + kDeclinedRetryDelay;
    return;
  }
  // A former target may have accepted the session although its reply was lost.
  // The higher epoch supersedes that acceptance.
  ++session.epoch;
  session.handover->target = target->node;
  this->Offer(session);
}

void HandoverSystem::Offer(Session& session) {
  const ContractServer* target =
      this->context.FindServer(session.handover->target);
  if (target == nullptr) {
    session.handover->attempts = kMaxOffers;
    return;
  }
  ++session.handover->attempts;
  session.handover->next_attempt = this->context.now + kOfferInterval;
  SessionOffer offer;
  offer.caller = session.key.first;
  offer.service_address = session.origin.service_address;
  offer.service = this->context.service;
  offer.token = session.key.second;
  offer.uri_path = session.resource->key.first;
  offer.uri_query = session.resource->key.second;
  offer.epoch = session.epoch;
  offer.observe_sequence = session.sequence;
  this->context.Send(AgentAddress(*target), std::move(offer));
  this->WithdrawFromFormerTargets(session);
}

// A former target that did not reply may nevertheless have accepted the
// session.
void HandoverSystem::WithdrawFromFormerTargets(const Session& session) {
  for (const NodeId node : session.declined) {
    const ContractServer* former = this->context.FindServer(node);
    if (former != nullptr) {
      this->context.Send(
          AgentAddress(*former),
          SessionOfferReply{session.key.first, session.key.second,
                            session.epoch, false});
    }
  }
}

void HandoverSystem::HandleWithdrawal(Session& session,
                                      const SessionOfferReply& reply) {
  if (!reply.accepted && session.epoch > 0 && session.epoch < reply.epoch) {
    this->context.metrics.Count("sessions_withdrawn_total");
    this->sessions.Cancel(reply.caller, reply.token);
  }
}

void HandoverSystem::HandleOffer(const PeerEnvelope& envelope,
                                 const SessionOffer& offer) {
  SessionOfferReply reply{offer.caller, offer.token, offer.epoch, false};
  const Session* own = this->sessions.Table().Find({offer.caller, offer.token});
  if (offer.service != this->context.service) {
    this->context.metrics.Count("dropped_total", "reason", "wrong_service");
    return;
  }
  if (own != nullptr && own->epoch >= offer.epoch) {
    reply.accepted = true;
  } else {
    // A handover may exceed this agent's share of the session limit, because it
    // does not change the total of the service.
    const ContractServer* server = this->context.OwnServer();
    const bool has_capacity =
        server != nullptr &&
        this->sessions.Table().size() < server->connections;
    reply.accepted =
        has_capacity && this->requests.CheckServer() == ResultCode::kOk;
    if (reply.accepted) {
      const auto& live = this->context.live_balancers;
      const PeerAddress balancer = live.empty() ? PeerAddress{} : live.front();
      this->sessions.TakeOver(balancer, offer);
    }
  }
  this->context.Send(envelope.from, std::move(reply));
}

void HandoverSystem::HandleReply(const PeerEnvelope& envelope,
                                 const SessionOfferReply& reply) {
  Session* session = this->sessions.Table().Find({reply.caller, reply.token});
  if (session == nullptr) {
    return;
  }
  if (!session->handover) {
    this->HandleWithdrawal(*session, reply);
    return;
  }
  if (session->handover->target != envelope.from.node ||
      session->epoch != reply.epoch) {
    return;
  }
  if (!reply.accepted) {
    session->declined.insert(envelope.from.node);
    this->TryNextTarget(*session);
    return;
  }
  this->context.Record(
      reply.caller, session->origin.service_address, reply.token,
      "session_moved", ResultCode::kOk, envelope.from.node,
      "handed over; this agent leaves or its server is unavailable");
  this->context.metrics.Count("sessions_moved_total");
  this->sessions.Cancel(reply.caller, reply.token);
}

}  // namespace cactuscross
