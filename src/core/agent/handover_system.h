#ifndef CACTUSCROSS_SRC_CORE_AGENT_HANDOVER_SYSTEM_H_
#define CACTUSCROSS_SRC_CORE_AGENT_HANDOVER_SYSTEM_H_

// Moves open sessions from an agent that leaves, or whose server is lost, to
// other agents of the service. An offered session is frozen here until it is
// accepted or declined, so that one agent at a time notifies the caller.

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

  // Offers sessions, repeats offers, turns to another agent after silence.
  void Tick();

 private:
  bool MustHandOver() const;
  const ContractServer* ChooseTarget(const Session& session) const;
  void Offer(Session& session);
  void WithdrawFromFormerTargets(const Session& session);
  void HandleWithdrawal(Session& session, const SessionOfferReply& reply);
  void TryNextTarget(Session& session);
  void Resume(Session& session);

  AgentContext& context;
  RequestSystem& requests;
  SessionSystem& sessions;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_AGENT_HANDOVER_SYSTEM_H_
