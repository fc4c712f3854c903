#ifndef CACTUSCROSS_SRC_CORE_AGENT_HANDOVER_SYSTEM_H_
#define CACTUSCROSS_SRC_CORE_AGENT_HANDOVER_SYSTEM_H_

// Hands open sessions over from an agent that leaves, or whose server is
// unavailable, to other agents of the service. This agent sends no
// notifications for an offered session until the offer is accepted or declined,
// so that only one agent at a time notifies the caller.

#include "src/core/agent/session_system.h"

namespace cactuscross {

class HandoverSystem {
 public:
  HandoverSystem(AgentContext& agent_context,
                 RequestSystem& request_system,
                 SessionSystem& session_system)
      : context(agent_context),
        requests(request_system),
        sessions(session_system) {}

  void HandleOffer(const PeerEnvelope& envelope, const SessionOffer& offer);
  void HandleReply(const PeerEnvelope& envelope,
                   const SessionOfferReply& reply);

  // Offers sessions, retransmits offers, and selects another agent if the
  // target does not answer.
  void Tick();

 private:
  bool MustHandOver() const;
  const ContractServer* ChooseTarget(const Session& session) const;
  void Offer(Session& session);
  void WithdrawFromFormerTargets(const Session& session);
  void HandleWithdrawal(Session& session, const SessionOfferReply& reply);
  void TryNextTarget(Session& session);
  // Serves a session again that no other agent accepted.
  void Resume(Session& session);

  AgentContext& context;
  RequestSystem& requests;
  SessionSystem& sessions;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_AGENT_HANDOVER_SYSTEM_H_
