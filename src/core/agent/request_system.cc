#include "src/core/agent/request_system.h"

#include <algorithm>
#include <utility>

#include "src/core/balancer/route_table.h"
#include "src/core/common/reply.h"

namespace cactuscross {
namespace {

// A confirmable request without a response for this time is acknowledged, so
// that the caller (ACK_TIMEOUT 2 s) does not retransmit it.
constexpr Duration kAcknowledgeAfter = std::chrono::seconds(1);
// A ticket just issued counts as an expected request for this time.
constexpr Duration kTicketRedemptionTime = std::chrono::milliseconds(100);
// Retry budget: retries earned per admitted request, and max saved retries.
constexpr double kRetryRatio = 0.1;
constexpr double kRetryBurst = 10;
// A call without a result is cancelled this time after its request's deadline.
constexpr Duration kResultGrace = std::chrono::seconds(1);
// Min time until the deadline for which a request is retried.
constexpr Duration kMinRetryTime = std::chrono::milliseconds(20);

std::uint32_t CeilSeconds(Duration duration) {
  const auto seconds =
      std::chrono::duration_cast<std::chrono::seconds>(duration).count();
  return static_cast<std::uint32_t>(seconds) + 1;
}

}  // namespace

RequestSystem::RequestSystem(AgentContext& agent_context,
                             Replier& agent_replier,
                             ServerCalls& server_calls,
                             LimitSystem& limit_system,
                             TicketTable& ticket_table,
                             BodyStore& body_store)
    : context(agent_context),
      replier(agent_replier),
      calls(server_calls),
      limits(limit_system),
      tickets(ticket_table),
      bodies(body_store) {
  this->retry_budget.Configure(0, kRetryBurst);
}

const ServiceLimits* RequestSystem::Limits() const {
  const ServiceView view = this->context.View();
  return view ? &view.service->limits : nullptr;
}

std::size_t RequestSystem::ExpectedInFlight() const {
  return this->table.size() +
         this->tickets.IssuedSince(this->context.now, kTicketRedemptionTime);
}

Duration RequestSystem::EstimatedWait(std::size_t ahead) const {
  const ServerMonitor& server = this->context.server;
  const std::size_t slots = std::max<std::uint32_t>(server.UsableSlots(), 1);
  const std::size_t busy = server.Running() + ahead;
  if (busy < slots) {
    return Duration{0};
  }
  const auto waiting = static_cast<std::int64_t>(busy - slots + 1);
  return server.ServiceTime() * waiting / static_cast<std::int64_t>(slots);
}

ResultCode RequestSystem::CheckServer() const {
  if (!this->context.control.ReadyForNewWork() || this->Limits() == nullptr) {
    return ResultCode::kRefusedNotReady;
  }
  if (this->context.Leaving()) {
    return ResultCode::kRefusedLeaving;
  }
  const ServerMonitor& server = this->context.server;
  if (!server.Verified() || server.IsUnavailable(this->context.now)) {
    return ResultCode::kServerNotVerified;
  }
  return this->limits.HasReachedShare() ? ResultCode::kOk
                                        : ResultCode::kRefusedNoServer;
}

ResultCode RequestSystem::CheckNew(const CoapMessage& message) {
  const ResultCode server = this->CheckServer();
  if (server != ResultCode::kOk) {
    return server;
  }
  const std::size_t body =
      std::max<std::size_t>(message.size1.value_or(0), message.payload.size());
  if (body > this->Limits()->body_bytes) {
    return ResultCode::kRefusedBodySize;
  }
  if (!this->HasCapacity()) {
    return ResultCode::kRefusedInFlight;
  }
  const std::size_t unredeemed_tickets =
      this->tickets.IssuedSince(this->context.now, kTicketRedemptionTime);
  const std::size_t ahead = this->table.Queued() + unredeemed_tickets;
  if (this->EstimatedWait(ahead) > this->Limits()->queue_time) {
    return ResultCode::kRefusedQueue;
  }
  return this->limits.TakeRequest() ? ResultCode::kOk
                                    : ResultCode::kRefusedRate;
}

ResultCode RequestSystem::CheckTicketed() const {
  if (this->Limits() == nullptr) {
    return ResultCode::kRefusedNotReady;
  }
  if (!this->context.InLeavingGrace()) {
    return ResultCode::kRefusedLeaving;
  }
  if (!this->context.server.Verified()) {
    return ResultCode::kServerNotVerified;
  }
  const bool late =
      this->EstimatedWait(this->table.Queued()) > this->Limits()->queue_time;
  return late ? ResultCode::kRefusedQueue : ResultCode::kOk;
}

std::optional<std::uint32_t> RequestSystem::RetryAfter(ResultCode code) {
  switch (code) {
    case ResultCode::kRefusedBodySize:
    case ResultCode::kIncompleteBody:
    case ResultCode::kOutcomeUnknown:
      return std::nullopt;
    case ResultCode::kRefusedQueue:
    case ResultCode::kRefusedInFlight:
      return this->context.RetryAfter(
          CeilSeconds(this->EstimatedWait(this->table.Queued())));
    default:
      return this->context.RetryAfter(1);
  }
}

void RequestSystem::Admit(AdmittedRequest admitted) {
  Request& request =
      this->table.Add(this->context.NextCallId(), admitted.origin);
  request.message = std::move(admitted.message);
  request.idempotent = admitted.idempotent;
  request.ticket_sequence = admitted.ticket_sequence;
  request.hops = admitted.hops;
  request.acknowledged = admitted.acknowledged;
  request.retried = admitted.retried;
  request.arrived = this->context.now;
  request.deadline = this->context.now + admitted.budget;
  this->retry_budget.Put(kRetryRatio);
  this->context.metrics.Count("requests_admitted_total");
}

void RequestSystem::HandleRetransmission(Request& request) {
  this->context.metrics.Count("requests_repeated_total");
  if (request.acknowledged) {
    this->replier.Send(
        request.origin,
        MakeEmptyReply(request.message, CoapType::kAcknowledgement));
  }
}

void RequestSystem::Tick() {
  this->RefuseOverdue();
  this->CancelOverdueCalls();
  this->AcknowledgeSlow();
  this->Dispatch();
}

// The queue time limits the estimated wait at admission. While the server makes
// progress, a request that waits longer stays queued: a late refusal would
// waste the time that it has waited. The oldest request has waited longest, so
// if it may stay, all others may.
void RequestSystem::RefuseOverdue() {
  while (Request* oldest = this->table.OldestQueued()) {
    const ResultCode code = this->CheckQueued(*oldest);
    if (code == ResultCode::kOk) {
      return;
    }
    if (oldest->idempotent && code == ResultCode::kRefusedQueue &&
        this->RetryOnAnotherAgent(*oldest)) {
      continue;
    }
    this->Complete(*oldest, MakeErrorOutcome(code, this->RetryAfter(code)));
  }
}

ResultCode RequestSystem::CheckQueued(const Request& request) const {
  const TimePoint now = this->context.now;
  const ServiceLimits* service_limits = this->Limits();
  if (service_limits == nullptr) {
    return ResultCode::kRefusedNotReady;
  }
  if (now >= request.deadline) {
    return ResultCode::kRefusedDeadline;
  }
  if (!this->context.InLeavingGrace() && !request.idempotent) {
    return ResultCode::kRefusedLeaving;
  }
  const TimePoint progress =
      std::max(request.arrived, this->context.server.LastAnswer());
  return now - progress > service_limits->queue_time ? ResultCode::kRefusedQueue
                                                     : ResultCode::kOk;
}

// The shell ends each call at its timeout. This handles calls whose result the
// shell has lost.
void RequestSystem::CancelOverdueCalls() {
  std::vector<CallId> overdue;
  for (const auto& [id, request] : this->table.All()) {
    if (request->state == RequestState::kDispatched &&
        this->context.now > request->deadline + kResultGrace) {
      overdue.push_back(id);
    }
  }
  for (const CallId id : overdue) {
    this->calls.Cancel(id);
    this->HandleFailed(*this->table.Find(id), ServerCallStatus::kTimedOut);
  }
}

void RequestSystem::AcknowledgeSlow() {
  for (const auto& [id, request] : this->table.All()) {
    const bool slow = this->context.now - request->arrived >= kAcknowledgeAfter;
    if (slow) {
      this->Acknowledge(*request);
    }
  }
}

void RequestSystem::Acknowledge(Request& request) {
  if (request.acknowledged || request.origin.type != CoapType::kConfirmable) {
    return;
  }
  request.acknowledged = true;
  this->replier.Send(
      request.origin,
      MakeEmptyReply(request.message, CoapType::kAcknowledgement));
}

void RequestSystem::Dispatch() {
  while (this->table.Queued() > 0 && this->context.server.HasFreeSlot() &&
         this->context.server.Verified()) {
    // The process may have been suspended since the queue was checked, so the
    // deadline is checked again.
    Request* oldest = this->table.OldestQueued();
    if (this->context.now >= oldest->deadline) {
      this->Complete(
          *oldest,
          MakeErrorOutcome(ResultCode::kRefusedDeadline,
                           this->RetryAfter(ResultCode::kRefusedDeadline)));
      continue;
    }
    Request& request = this->table.PopQueued();
    request.dispatched = this->context.now;
    const Duration left = request.deadline - this->context.now;
    ServerCall call;
    call.id = request.id;
    call.method = request.message.code;
    call.path = request.message.uri_path;
    call.query = request.message.uri_query;
    call.body = request.message.payload;
    // An idempotent request reserves half of its remaining time for a retry on
    // another agent.
    call.timeout = request.idempotent && !request.retried ? left / 2 : left;
    call.new_connection = !request.idempotent;
    this->context.Record(request.origin.caller, request.origin.service_address,
                         request.origin.token, "dispatched", ResultCode::kOk,
                         this->context.Self(), "a slot of the server is free");
    this->calls.Start(std::move(call));
  }
}

bool RequestSystem::HandleResult(ServerResult& result) {
  Request* request = this->table.Find(result.id);
  if (request == nullptr) {
    return false;
  }
  const ServerCallStatus status = result.status;
  if (status == ServerCallStatus::kAnswered) {
    this->HandleAnswered(*request, result);
  } else {
    this->HandleFailed(*request, status);
  }
  return true;
}

void RequestSystem::HandleAnswered(Request& request, ServerResult& result) {
  if (result.not_run) {
    if (request.idempotent && this->RetryOnAnotherAgent(request)) {
      return;
    }
    const std::uint32_t retry_after = this->context.RetryAfter(
        std::max<std::uint32_t>(result.retry_after_s, 1));
    this->Complete(request,
                   MakeErrorOutcome(ResultCode::kRefusedServer, retry_after));
    return;
  }
  const ServiceLimits* service_limits = this->Limits();
  const bool over_limit = service_limits != nullptr &&
                          result.body.size() > service_limits->body_bytes;
  if (result.truncated || over_limit) {
    this->Complete(request, MakeErrorOutcome(ResultCode::kServerAnswerTooLarge,
                                             std::nullopt));
    return;
  }
  this->Complete(request, MakeServerOutcome(request.message.code, result));
}

void RequestSystem::HandleFailed(Request& request, ServerCallStatus status) {
  if (request.idempotent && this->RetryOnAnotherAgent(request)) {
    return;
  }
  ResultCode code = ResultCode::kOutcomeUnknown;
  if (status == ServerCallStatus::kWrongService) {
    code = ResultCode::kServerNotVerified;
  } else if (status == ServerCallStatus::kNotSent) {
    code = ResultCode::kRefusedServer;
  } else if (request.idempotent) {
    code = ResultCode::kDeadlineExceeded;
  }
  this->Complete(request, MakeErrorOutcome(code, this->RetryAfter(code)));
}

bool RequestSystem::RetryOnAnotherAgent(Request& request) {
  const ServiceView view = this->context.View();
  const Duration left = request.deadline - this->context.now;
  if (!view || left < kMinRetryTime || request.hops >= kMaxHops) {
    return false;
  }
  const ContractServer* target = nullptr;
  const auto& servers = view.service->servers;
  const std::size_t offset =
      this->context.RandomBelow(static_cast<std::uint32_t>(servers.size()));
  for (std::size_t i = 0; i < servers.size(); ++i) {
    const ContractServer& server = servers[(offset + i) % servers.size()];
    if (server.node != this->context.Self() &&
        server.state == ServerState::kServing) {
      target = &server;
      break;
    }
  }
  if (target == nullptr || !this->retry_budget.Take(this->context.now, 1)) {
    return false;
  }
  this->Acknowledge(request);
  ForwardedRequest forwarded;
  forwarded.caller = request.origin.caller;
  forwarded.service_address = request.origin.service_address;
  forwarded.service = this->context.service;
  forwarded.contract_version = view.active->version;
  forwarded.contract_fingerprint = view.active->fingerprint;
  forwarded.balancer = request.origin.balancer;
  forwarded.kind = ForwardKind::kRetry;
  forwarded.hops = static_cast<std::uint8_t>(request.hops + 1);
  forwarded.budget = left;
  forwarded.message = std::move(request.message);
  this->context.metrics.Count("retries_total");
  this->context.Record(request.origin.caller, request.origin.service_address,
                       request.origin.token, "retried", ResultCode::kOk,
                       target->node, "idempotent and within the retry budget");
  this->context.Send(AgentAddress(*target), std::move(forwarded));
  this->table.Erase(request);
  return true;
}

void RequestSystem::Complete(Request& request, const Outcome& outcome) {
  this->last_completed = this->context.now;
  TicketRecord* record = this->tickets.Find(request.ticket_sequence);
  const bool not_run = GetRow(outcome.code).not_run;
  if (record != nullptr) {
    record->outcome = outcome;
    this->tickets.SetState(
        *record, not_run ? TicketState::kInvalidated : TicketState::kDone,
        this->context.now + kOutcomeLifetime);
  }
  const std::chrono::duration<double> took =
      this->context.now - request.arrived;
  this->context.metrics.Observe("request_seconds", took.count());
  this->context.metrics.Count("requests_ended_total", "code",
                              GetRow(outcome.code).name);
  this->Answer(request, outcome);
  this->table.Erase(request);
}

void RequestSystem::Answer(const Request& request, const Outcome& outcome) {
  const Origin& origin = request.origin;
  this->context.Record(origin.caller, origin.service_address, origin.token,
                       outcome.code == ResultCode::kOk ? "answered" : "ended",
                       outcome.code, this->context.Self(),
                       GetRow(outcome.code).text);
  CoapMessage reply = MakeOutcomeReply(request.message, outcome);
  if (reply.block2 && reply.block2->more) {
    this->bodies.Store(this->context.now, origin.caller, request.message,
                       outcome.body);
  }
  if (request.acknowledged) {
    this->replier.SendConfirmable(origin, std::move(reply));
  } else {
    this->replier.Send(origin, std::move(reply));
  }
}

}  // namespace cactuscross
