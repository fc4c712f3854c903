#ifndef CACTUSCROSS_SRC_CORE_AGENT_SESSION_SYSTEM_H_
#define CACTUSCROSS_SRC_CORE_AGENT_SESSION_SYSTEM_H_

// Serves open sessions: registration, polling of the observed resources, and
// notifications, at least twice in each Max-Age.

#include "src/core/agent/request_system.h"
#include "src/core/agent/session_table.h"

namespace cactuscross {

class SessionSystem {
 public:
  SessionSystem(AgentContext& agent_context,
                Replier& agent_replier,
                ServerCalls& server_calls,
                LimitSystem& limit_system,
                BodyStore& body_store)
      : context(agent_context),
        replier(agent_replier),
        calls(server_calls),
        limits(limit_system),
        bodies(body_store) {}

  // Returns kOk if another session can be opened here, or else the refusal.
  ResultCode CheckNew(ResultCode server_check) const;

  // Opens a session and answers its registration.
  void Register(const ForwardedRequest& request);
  // Handles a registration for a session that is open here. Returns false if
  // there is none.
  bool Refresh(const ForwardedRequest& request);
  // Ends the session of this caller and token, if there is one.
  bool Cancel(const Endpoint& caller, ByteView token);

  // Handles an acknowledgement or a reset from a caller. Returns false if it
  // matches no message of this agent.
  bool HandleAcknowledgement(const ConfirmableKey& key);
  bool HandleReset(const ConfirmableKey& key);
  // Ends the session whose confirmable notification was never acknowledged. The
  // caller is considered unreachable.
  void HandleUnacknowledged(const ConfirmableKey& key);

  // Handles the result of a poll. Returns false if the call was not a poll.
  bool HandleResult(ServerResult& result);

  void Tick();

  // Takes over a session that another agent offers.
  void TakeOver(const PeerAddress& balancer, const SessionOffer& offer);
  // Stops retransmitting a notification that awaits its acknowledgement.
  void CancelPendingNotification(Session& session);

  SessionTable& Table() { return this->table; }
  const SessionTable& Table() const { return this->table; }

 private:
  std::uint32_t MaxAge() const;
  Duration PollInterval() const;
  void Poll(Resource& resource);
  void Notify(Session& session, bool confirmable);
  void Answer(Session& session);
  void NotifyIfDue(Session& session);
  void AcknowledgeIfSlow(Session& session);
  void End(Session& session, const Outcome& outcome);
  void NotifyAfterPoll(Session& session, bool changed);
  void EndAll(Resource& resource, const Outcome& outcome);
  CoapMessage MakeNotification(Session& session);
  std::uint32_t NextSequence(const Session& session) const;

  AgentContext& context;
  Replier& replier;
  ServerCalls& calls;
  LimitSystem& limits;
  BodyStore& bodies;
  SessionTable table;
  std::map<CallId, ResourceKey> polls;
  TimePoint next_scan;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_AGENT_SESSION_SYSTEM_H_
