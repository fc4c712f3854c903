#ifndef CACTUSCROSS_SRC_CORE_AGENT_REQUEST_SYSTEM_H_
#define CACTUSCROSS_SRC_CORE_AGENT_REQUEST_SYSTEM_H_

// Admits requests, queues them for a free slot of the server, dispatches them
// within their deadline, repeats safe ones elsewhere, and answers.

#include <cstdint>
#include <optional>

#include "src/core/agent/limit_system.h"
#include "src/core/agent/outcome.h"
#include "src/core/agent/request_table.h"
#include "src/core/agent/server_calls.h"
#include "src/core/agent/ticket_table.h"
#include "src/core/limits/token_bucket.h"

namespace cactuscross {

// A request that is ready to be queued.
struct AdmittedRequest {
  Origin origin;
  CoapMessage message;
  Duration budget{0};  // until the deadline
  bool idempotent = false;
  std::uint32_t ticket_sequence = 0;
  std::uint8_t hops = 0;
  bool acknowledged = false;  // the caller waits for a separate answer
  bool retried = false;       // another agent gave it up
};

class RequestSystem {
 public:
  RequestSystem(AgentContext& agent_context,
                Replier& replier,
                ServerCalls& calls,
                LimitSystem& limits,
                TicketTable& tickets,
                BodyStore& bodies);

  // Whether the agent can take work at all now; kOk or the refusal.
  ResultCode CheckServer() const;
  // Whether a new request can be admitted now; kOk or the refusal. Takes
  // nothing from the limits but, if all else allows, one request of the rate.
  ResultCode CheckNew(const CoapMessage& message);
  // Whether an admitted ticket can still be queued; kOk or the refusal.
  ResultCode CheckTicketed() const;
  // Come-back time for a refusal, seconds; none where waiting does not help.
  std::optional<std::uint32_t> RetryAfter(ResultCode code);

  void Admit(AdmittedRequest admitted);

  // Takes the result of a call; returns false if it is not of a request.
  bool HandleResult(ServerResult& result);

  // A caller repeated a request that is still in progress.
  void HandleRetransmission(Request& request);

  // Refuses overdue requests, dispatches queued ones, acknowledges slow ones.
  void Tick();

  RequestTable& Table() { return this->table; }
  const RequestTable& Table() const { return this->table; }
  // Requests admitted or about to come with a ticket just issued.
  std::size_t ExpectedInFlight() const;
  // Whether one more request fits into the share of requests in flight.
  bool HasCapacity() const {
    return this->limits.HasInFlightCapacity(this->ExpectedInFlight());
  }
  // When the last request was answered.
  TimePoint LastCompleted() const { return this->last_completed; }

 private:
  Duration EstimatedWait(std::size_t ahead) const;
  const ServiceLimits* Limits() const;

  void RefuseOverdue();
  // Whether a queued request may go on waiting; kOk or the refusal.
  ResultCode CheckQueued(const Request& request) const;
  void CancelOverdueCalls();
  void AcknowledgeSlow();
  // Sends an empty acknowledgement, once: the answer will be separate.
  void Acknowledge(Request& request);
  void Dispatch();
  void Complete(Request& request, const Outcome& outcome);
  void Answer(const Request& request, const Outcome& outcome);
  void HandleAnswered(Request& request, ServerResult& result);
  void HandleFailed(Request& request, ServerCallStatus status);
  bool RetryOnAnotherAgent(Request& request);

  AgentContext& context;
  Replier& replier;
  ServerCalls& calls;
  LimitSystem& limits;
  TicketTable& tickets;
  BodyStore& bodies;
  RequestTable table;
  TokenBucket retry_budget;
  TimePoint last_completed;
};

// Longest chain of agents that hand a request on.
inline constexpr std::uint8_t kMaxHops = 10;

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_AGENT_REQUEST_SYSTEM_H_
