#ifndef CACTUSCROSS_SRC_CORE_AGENT_REQUEST_SYSTEM_H_
#define CACTUSCROSS_SRC_CORE_AGENT_REQUEST_SYSTEM_H_

// Admits requests, queues them for a free slot of the server, dispatches them
// within their deadline, retries idempotent ones on another agent, and sends
// the responses.

#include <cstdint>
#include <optional>

#include "src/core/agent/limit_system.h"
#include "src/core/agent/outcome.h"
#include "src/core/agent/request_table.h"
#include "src/core/agent/server_calls.h"
#include "src/core/agent/ticket_table.h"
#include "src/core/limits/token_bucket.h"

namespace cactuscross {

// A request that passed admission control and can be queued.
struct AdmittedRequest {
  Origin origin;
  CoapMessage message;
  Duration budget{0};  // time left until the deadline
  bool idempotent = false;
  std::uint32_t ticket_sequence = 0;
  std::uint8_t hops = 0;
  bool acknowledged = false;  // the caller expects a separate response
  bool retried = false;       // another agent forwarded it as a retry
};

class RequestSystem {
 public:
  RequestSystem(AgentContext& agent_context,
                Replier& replier,
                ServerCalls& calls,
                LimitSystem& limits,
                TicketTable& tickets,
                BodyStore& bodies);

  // Returns kOk if the agent accepts work at all, or else the refusal.
  ResultCode CheckServer() const;
  // Returns kOk if a new request can be admitted now, or else the refusal. If
  // all other checks pass, takes one request from the rate limit.
  ResultCode CheckNew(const CoapMessage& message);
  // Returns kOk if a request with a valid ticket can be queued, or else the
  // refusal.
  ResultCode CheckTicketed() const;
  // Returns the Retry-After for a refusal, in seconds, or none where waiting
  // does not help.
  std::optional<std::uint32_t> RetryAfter(ResultCode code);

  void Admit(AdmittedRequest admitted);

  // Handles the result of a call. Returns false if the call is not for a
  // request.
  bool HandleResult(ServerResult& result);

  // Handles the retransmission of a request that is still in progress.
  void HandleRetransmission(Request& request);

  // Refuses overdue requests, cancels overdue calls, acknowledges slow requests
  // and dispatches queued ones.
  void Tick();

  RequestTable& Table() { return this->table; }
  const RequestTable& Table() const { return this->table; }
  // Returns the number of admitted requests, plus those expected for tickets
  // that were just issued.
  std::size_t ExpectedInFlight() const;
  // Whether one more request fits into this agent's share of the limit on
  // requests in flight.
  bool HasCapacity() const {
    return this->limits.HasInFlightCapacity(this->ExpectedInFlight());
  }
  // Time at which the last request was completed.
  TimePoint LastCompleted() const { return this->last_completed; }

 private:
  Duration EstimatedWait(std::size_t ahead) const;
  const ServiceLimits* Limits() const;

  void RefuseOverdue();
  // Returns kOk if a queued request may remain in the queue, or else the
  // refusal.
  ResultCode CheckQueued(const Request& request) const;
  void CancelOverdueCalls();
  void AcknowledgeSlow();
  // Sends an empty acknowledgement, once. The response will be separate.
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

// Max number of times that agents forward a request.
inline constexpr std::uint8_t kMaxHops = 10;

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_AGENT_REQUEST_SYSTEM_H_
