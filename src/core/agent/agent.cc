#include "cactuscross/agent.h"

#include <algorithm>
#include <deque>
#include <iterator>
#include <utility>

#include "src/core/agent/handover_system.h"
#include "src/core/agent/request_system.h"
#include "src/core/agent/sampling_system.h"
#include "src/core/agent/session_system.h"
#include "src/core/agent/ticket_system.h"
#include "src/core/common/reply.h"

namespace cactuscross {
namespace {

// A stopping agent keeps running at least this long, so that all balancers
// learn of it and stop choosing it.
constexpr Duration kMinStopTime = std::chrono::seconds(5);
// A stopping agent keeps running this long after its last response: a caller
// that missed the response sends its first retransmission within ACK_TIMEOUT *
// ACK_RANDOM_FACTOR = 3 s.
constexpr Duration kFirstRetransmissionTime = std::chrono::seconds(3);
// A starting agent buffers requests until it has its contract and its server is
// verified, for at most this time and up to this number.
constexpr Duration kMaxBufferTime = std::chrono::milliseconds(1500);
constexpr std::size_t kMaxBufferedRequests = 1024;
// Min interval between two contract mismatch messages to one peer.
constexpr Duration kMismatchInterval = std::chrono::milliseconds(500);
// Max sessions listed in a dump.
constexpr std::size_t kMaxDumpedSessions = 2000;
// Observe value of a registration (RFC 7641, 2).
constexpr std::uint32_t kObserveRegister = 0;

}  // namespace

class Agent::Impl {
 public:
  Impl(const AgentSettings& settings, const CoreDependencies& dependencies)
      : context(settings, dependencies),
        replier(this->context, [this] { return this->OwnLoad(); }),
        calls(this->context),
        limits(this->context),
        requests(this->context,
                 this->replier,
                 this->calls,
                 this->limits,
                 this->tickets,
                 this->bodies),
        ticketing(this->context, this->replier, this->requests, this->tickets),
        sessions(this->context,
                 this->replier,
                 this->calls,
                 this->limits,
                 this->bodies),
        handover(this->context, this->requests, this->sessions),
        sampling(this->context) {}

  AgentOutbox Tick(TimePoint now, AgentInbox inbox);

  // The steps of Tick(), in order. Tick() runs the systems between them.
  void ReceiveFromPlatform(const AgentInbox& inbox);
  void ReceiveFromServer(AgentInbox& inbox);
  void ReceiveFromPeers(AgentInbox& inbox);
  void RunReplies();
  void RunControl();
  void RunStop();

  bool BufferWhileStarting(PeerEnvelope& envelope);
  void ReceiveBuffered();
  void ReceivePeer(PeerEnvelope& envelope);
  void Receive(const PeerEnvelope& envelope, ForwardedRequest& request);
  bool IsForThisService(const PeerEnvelope& envelope,
                        const ForwardedRequest& request);
  void NotifyMismatch(const PeerAddress& peer, ResultCode reason);
  void ReceiveEmpty(ForwardedRequest& request);
  void ReceiveRequest(ForwardedRequest& request);
  void ReceiveRegistration(ForwardedRequest& request);
  void ReceiveTicketed(ForwardedRequest& request, const Ticket& ticket);
  void ReceiveUnticketed(ForwardedRequest& request);
  void ReceivePlain(ForwardedRequest& request);
  bool ServeLaterBlock(const ForwardedRequest& request);
  bool IsForThisAgent(const ForwardedRequest& request) const;
  SamplingStep PlaceRequest(ForwardedRequest& request, bool sample_all);
  void AdmitPlain(ForwardedRequest& request);
  void Refuse(const ForwardedRequest& request, ResultCode code);

  LoadReport OwnLoad() const;
  nlohmann::json Dump() const;

  AgentContext context;
  Replier replier;
  ServerCalls calls;
  LimitSystem limits;
  TicketTable tickets;
  BodyStore bodies;
  RequestSystem requests;
  TicketSystem ticketing;
  SessionSystem sessions;
  HandoverSystem handover;
  SamplingSystem sampling;
  std::map<NodeId, TimePoint> mismatch_sent;
  std::optional<TimePoint> stop_began;
  std::deque<std::pair<TimePoint, PeerEnvelope>> buffered;
};

AgentOutbox Agent::Impl::Tick(TimePoint now, AgentInbox inbox) {
  this->context.Begin(now, inbox.stop_requested);
  // New contracts and results are processed first, so that new requests are
  // checked against the current limits and free slots.
  this->ReceiveFromPlatform(inbox);
  this->ReceiveFromServer(inbox);
  this->limits.Tick(this->requests.ExpectedInFlight());
  this->ReceiveBuffered();
  this->ReceiveFromPeers(inbox);
  this->requests.Tick();
  this->sessions.Tick();
  this->handover.Tick();
  this->ticketing.Tick();
  this->bodies.Expire(now);
  this->RunReplies();
  this->RunControl();
  this->RunStop();
  this->context.outbox.health_check = this->context.server.HealthCheckDue(now);
  return std::move(this->context.outbox);
}

void Agent::Impl::ReceiveFromPlatform(const AgentInbox& inbox) {
  for (const PlatformResult& result : inbox.platform_results) {
    this->context.control.HandlePlatform(this->context.now, result);
  }
}

void Agent::Impl::ReceiveFromServer(AgentInbox& inbox) {
  for (const ServerHealth& health : inbox.server_health) {
    this->context.server.HandleHealth(this->context.now, health);
  }
  for (ServerResult& result : inbox.server_results) {
    if (!this->calls.Finish(result)) {
      this->context.metrics.Count("unexpected_server_results_total");
      continue;
    }
    if (!this->requests.HandleResult(result)) {
      this->sessions.HandleResult(result);
    }
  }
}

void Agent::Impl::ReceiveFromPeers(AgentInbox& inbox) {
  for (PeerEnvelope& envelope : inbox.peer_envelopes) {
    this->context.control.NoteTraffic(this->context.now, envelope);
    if (!this->BufferWhileStarting(envelope)) {
      this->ReceivePeer(envelope);
    }
  }
}

bool Agent::Impl::BufferWhileStarting(PeerEnvelope& envelope) {
  const auto* request = std::get_if<ForwardedRequest>(&envelope.body);
  const bool starting =
      !this->context.View() || !this->context.control.ReadyForNewWork();
  if (request == nullptr || !starting || this->context.stopping ||
      this->buffered.size() >= kMaxBufferedRequests) {
    return false;
  }
  // The sender has the contract that this agent does not have yet.
  const std::string& name = this->context.settings.service;
  this->context.control.NoteVersion(this->context.now, envelope.from,
                                    name.substr(0, name.find('/')),
                                    request->contract_version);
  this->buffered.emplace_back(this->context.now, std::move(envelope));
  return true;
}

void Agent::Impl::ReceiveBuffered() {
  const bool ready = this->context.View() &&
                     this->context.control.ReadyForNewWork() &&
                     this->context.server.Verified();
  while (!this->buffered.empty()) {
    auto& [arrived, envelope] = this->buffered.front();
    if (!ready && this->context.now - arrived < kMaxBufferTime) {
      return;
    }
    PeerEnvelope next = std::move(envelope);
    this->buffered.pop_front();
    this->ReceivePeer(next);
  }
}

void Agent::Impl::ReceivePeer(PeerEnvelope& envelope) {
  PeerMessage& body = envelope.body;
  if (auto* request = std::get_if<ForwardedRequest>(&body)) {
    this->Receive(envelope, *request);
  } else if (const auto* offer = std::get_if<SessionOffer>(&body)) {
    this->handover.HandleOffer(envelope, *offer);
  } else if (const auto* answer = std::get_if<SessionOfferReply>(&body)) {
    this->handover.HandleReply(envelope, *answer);
  } else if (const auto* loan = std::get_if<LoanRequest>(&body)) {
    this->limits.HandleLoanRequest(envelope, *loan);
  } else if (const auto* grant = std::get_if<LoanGrant>(&body)) {
    this->limits.HandleLoanGrant(*grant);
  } else if (const auto* mismatch = std::get_if<ContractMismatch>(&body)) {
    this->context.control.NoteVersion(this->context.now, envelope.from,
                                      mismatch->customer, mismatch->version);
  } else if (!this->context.control.Handle(this->context.now, envelope,
                                           this->OwnLoad())) {
    this->context.metrics.Count("unexpected_peer_messages_total");
  }
}

void Agent::Impl::RunReplies() {
  for (const ConfirmableKey& key : this->replier.Tick()) {
    this->sessions.HandleUnacknowledged(key);
  }
}

void Agent::Impl::RunControl() {
  ControlOutbox control_outbox;
  this->context.control.Tick(this->context.now, control_outbox);
  AgentOutbox& outbox = this->context.outbox;
  std::move(control_outbox.peer_envelopes.begin(),
            control_outbox.peer_envelopes.end(),
            std::back_inserter(outbox.peer_envelopes));
  outbox.platform_reads = std::move(control_outbox.platform_reads);
  outbox.renewed_paths = std::move(control_outbox.renewed_paths);
}

// The process ends only after every issued ticket has its outcome or has
// expired: afterwards the outcome could only be reported as unknown.
void Agent::Impl::RunStop() {
  if (!this->context.stopping) {
    return;
  }
  if (!this->stop_began) {
    this->stop_began = this->context.now;
    this->context.control.Leave(this->context.now);
  }
  this->context.outbox.may_exit =
      this->context.now - *this->stop_began >= kMinStopTime &&
      this->context.now - this->requests.LastCompleted() >=
          kFirstRetransmissionTime &&
      this->requests.Table().empty() && this->sessions.Table().empty() &&
      this->tickets.Open() == 0 && this->replier.PendingCount() == 0;
}

LoadReport Agent::Impl::OwnLoad() const {
  LoadReport load;
  load.in_flight = this->context.server.Running();
  load.queued = static_cast<std::uint32_t>(this->requests.Table().Queued());
  load.slots = this->context.server.UsableSlots();
  load.sessions = static_cast<std::uint32_t>(this->sessions.Table().size());
  const ContractServer* own = this->context.OwnServer();
  load.connections = own == nullptr ? 0 : own->connections;
  load.service_time_us =
      static_cast<std::uint32_t>(this->context.server.ServiceTime().count());
  load.accepts_work = this->requests.CheckServer() == ResultCode::kOk;
  load.has_capacity = this->requests.HasCapacity();
  return load;
}

void Agent::Impl::Receive(const PeerEnvelope& envelope,
                          ForwardedRequest& request) {
  this->context.metrics.Count("requests_received_total");
  if (!this->IsForThisService(envelope, request)) {
    return;
  }
  if (IsEmpty(request.message)) {
    this->ReceiveEmpty(request);
  } else if (IsRequest(request.message)) {
    this->ReceiveRequest(request);
  } else {
    this->context.metrics.Count("dropped_total", "reason", "no_request");
  }
}

// Hosts, ports and addresses are reused, so a message for another service may
// arrive from a sender with an outdated contract. It is never delivered.
bool Agent::Impl::IsForThisService(const PeerEnvelope& envelope,
                                   const ForwardedRequest& request) {
  const ServiceView view = this->context.View();
  if (request.service != this->context.service) {
    this->context.metrics.Count("dropped_total", "reason", "wrong_service");
    this->context.Record(request.caller, request.service_address,
                         request.message.token, "dropped",
                         ResultCode::kWrongService, this->context.Self(),
                         GetRow(ResultCode::kWrongService).text);
    this->NotifyMismatch(envelope.from, ResultCode::kWrongService);
    return false;
  }
  if (!view) {
    return true;
  }
  if (request.contract_version < view.active->version) {
    this->NotifyMismatch(envelope.from, ResultCode::kStaleContract);
  } else if (request.contract_version > view.active->version) {
    this->context.control.NoteVersion(this->context.now, envelope.from,
                                      view.active->contract.customer,
                                      request.contract_version);
  }
  const auto& addresses = view.service->addresses;
  const bool listed = std::find(addresses.begin(), addresses.end(),
                                request.service_address) != addresses.end();
  const bool newer = request.contract_version > view.active->version;
  if (!listed && !newer) {
    this->context.metrics.Count("dropped_total", "reason", "wrong_address");
  }
  return listed || newer;
}

void Agent::Impl::NotifyMismatch(const PeerAddress& peer, ResultCode reason) {
  const ServiceView view = this->context.View();
  TimePoint& last_sent = this->mismatch_sent[peer.node];
  const bool recently = last_sent != TimePoint{} &&
                        this->context.now - last_sent < kMismatchInterval;
  if (recently || !view) {
    return;
  }
  last_sent = this->context.now;
  this->context.Send(peer, ContractMismatch{view.active->contract.customer,
                                            this->context.service,
                                            view.active->version, reason});
}

void Agent::Impl::ReceiveEmpty(ForwardedRequest& request) {
  const ConfirmableKey key{request.caller, request.message.message_id};
  bool found = false;
  switch (request.message.type) {
    case CoapType::kAcknowledgement:
      found = this->sessions.HandleAcknowledgement(key);
      break;
    case CoapType::kReset:
      found = this->sessions.HandleReset(key);
      break;
    case CoapType::kConfirmable:  // a ping
      this->replier.Send(MakeOrigin(request),
                         MakeEmptyReply(request.message, CoapType::kReset));
      return;
    case CoapType::kNonConfirmable:
      return;
  }
  if (!found) {
    this->sampling.ForwardToNext(request, this->OwnLoad());
  }
}

void Agent::Impl::ReceiveRequest(ForwardedRequest& request) {
  const CoapMessage& message = request.message;
  if (static_cast<int>(message.code) > static_cast<int>(CoapCode::kDelete)) {
    this->Refuse(request, ResultCode::kUnsupportedMethod);
    return;
  }
  Request* running =
      this->requests.Table().Find(MakeExchangeKey(MakeOrigin(request)));
  if (running != nullptr) {
    this->requests.HandleRetransmission(*running);
    return;
  }
  if (message.code == CoapCode::kGet) {
    if (message.observe == kObserveRegister) {
      this->ReceiveRegistration(request);
      return;
    }
    const bool cancels = message.observe.has_value();
    if (cancels && !this->sessions.Cancel(request.caller, message.token) &&
        this->sampling.ForwardToNext(request, this->OwnLoad())) {
      return;
    }
  }
  if (this->ServeLaterBlock(request)) {
    return;
  }
  if (!this->ticketing.RequiresTicket(message)) {
    this->ReceivePlain(request);
    return;
  }
  if (message.echo) {
    if (const auto ticket = PeekTicket(*message.echo)) {
      this->ReceiveTicketed(request, *ticket);
      return;
    }
  }
  this->ReceiveUnticketed(request);
}

void Agent::Impl::ReceiveRegistration(ForwardedRequest& request) {
  if (this->sessions.Refresh(request)) {
    return;
  }
  const Session* moving =
      this->sessions.Table().Find({request.caller, request.message.token});
  if (moving != nullptr && moving->handover &&
      this->sampling.SendTo(moving->handover->target, request,
                            ForwardKind::kPlaced)) {
    return;
  }
  if (request.kind != ForwardKind::kPlaced) {
    const SamplingStep step = this->sampling.Place(
        request, this->OwnLoad(),
        {&SessionCost, this->context.policy.session_samples, true, false});
    if (step == SamplingStep::kForwarded) {
      return;
    }
    if (step == SamplingStep::kNoAgent) {
      this->Refuse(request, ResultCode::kRefusedNoServer);
      return;
    }
  }
  const ResultCode code = this->sessions.CheckNew(this->requests.CheckServer());
  if (code != ResultCode::kOk) {
    this->Refuse(request, code);
    return;
  }
  this->sessions.Register(request);
}

void Agent::Impl::ReceiveTicketed(ForwardedRequest& request,
                                  const Ticket& ticket) {
  if (ticket.agent != this->context.Self()) {
    if (!this->sampling.SendTo(ticket.agent, request, ForwardKind::kRouted)) {
      this->Refuse(request, ResultCode::kOutcomeUnknown);
    }
    return;
  }
  if (this->ticketing.Redeem(request, ticket)) {
    return;
  }
  request.message.echo.reset();
  this->ReceiveUnticketed(request);
}

// Receives a request that needs a ticket but has no valid one.
void Agent::Impl::ReceiveUnticketed(ForwardedRequest& request) {
  if (this->ticketing.ResendTicket(request)) {
    return;
  }
  const auto& block = request.message.block1;
  const bool later_block = block && block->number > 0;
  if (!this->IsForThisAgent(request) || later_block) {
    const SamplingStep step = this->PlaceRequest(request, later_block);
    if (step == SamplingStep::kForwarded) {
      return;
    }
    if (step == SamplingStep::kNoAgent) {
      this->Refuse(request, ResultCode::kRefusedNoServer);
      return;
    }
  }
  if (later_block) {
    this->Refuse(request, ResultCode::kIncompleteBody);
    return;
  }
  this->ticketing.Issue(request);
}

// Receives a request that needs no ticket.
void Agent::Impl::ReceivePlain(ForwardedRequest& request) {
  if (!this->IsForThisAgent(request)) {
    const auto& block = request.message.block2;
    const bool later_block = block && block->number > 0;
    const SamplingStep step = this->PlaceRequest(request, later_block);
    if (step == SamplingStep::kForwarded) {
      return;
    }
    if (step == SamplingStep::kNoAgent) {
      this->Refuse(request, ResultCode::kRefusedNoServer);
      return;
    }
  }
  this->AdmitPlain(request);
}

// Returns true if this agent must serve the request without further sampling.
// An agent is chosen by its load when it was sampled, and other requests may
// have used its capacity since. Sampling then continues, because the request
// would otherwise be refused while another agent has capacity for it.
bool Agent::Impl::IsForThisAgent(const ForwardedRequest& request) const {
  return request.kind == ForwardKind::kRetry ||
         (request.kind == ForwardKind::kPlaced && this->requests.HasCapacity());
}

SamplingStep Agent::Impl::PlaceRequest(ForwardedRequest& request,
                                       bool sample_all) {
  const LoadReport own = this->OwnLoad();
  // For an idle agent its own sample is sufficient.
  const bool idle = own.accepts_work && own.in_flight + own.queued == 0;
  const std::size_t samples = idle ? 1 : this->context.policy.request_samples;
  return this->sampling.Place(request, own,
                              {&RequestCost, samples, sample_all, true});
}

void Agent::Impl::AdmitPlain(ForwardedRequest& request) {
  const ResultCode code = this->requests.CheckNew(request.message);
  if (code != ResultCode::kOk) {
    this->Refuse(request, code);
    return;
  }
  AdmittedRequest admitted;
  admitted.origin = MakeOrigin(request);
  admitted.budget = request.budget;
  admitted.idempotent = true;
  admitted.hops = request.hops;
  admitted.retried = request.kind == ForwardKind::kRetry;
  // The agent that forwarded the retry has acknowledged the request.
  admitted.acknowledged =
      admitted.retried && request.message.type == CoapType::kConfirmable;
  admitted.message = std::move(request.message);
  this->requests.Admit(std::move(admitted));
}

// Serves a later block of a response from the body of its first block.
bool Agent::Impl::ServeLaterBlock(const ForwardedRequest& request) {
  const CoapMessage& message = request.message;
  if (!message.block2 || message.block2->number == 0) {
    return false;
  }
  const BodyPtr body =
      this->bodies.Find(this->context.now, request.caller, message);
  if (body == nullptr) {
    return false;
  }
  if (!this->bodies.RecordAnswer(this->context.now, request.caller, message)) {
    this->context.metrics.Count("requests_repeated_total");
    return true;
  }
  Outcome outcome;
  outcome.body = body;
  this->replier.Send(MakeOrigin(request), MakeOutcomeReply(message, outcome));
  return true;
}

void Agent::Impl::Refuse(const ForwardedRequest& request, ResultCode code) {
  this->replier.Refuse(MakeOrigin(request), request.message, code,
                       this->requests.RetryAfter(code));
}

nlohmann::json Agent::Impl::Dump() const {
  nlohmann::json listed = nlohmann::json::array();
  for (const auto& [key, session] : this->sessions.Table().All()) {
    if (listed.size() >= kMaxDumpedSessions) {
      break;
    }
    listed.push_back({{"caller", ToString(key.first)},
                      {"token", ToHex(key.second)},
                      {"path", session.resource->key.first},
                      {"query", session.resource->key.second},
                      {"epoch", session.epoch},
                      {"moving", session.handover.has_value()}});
  }
  const LoadReport load = this->OwnLoad();
  return {
      {"role", "agent"},
      {"node", ToNumber(this->context.Self())},
      {"zone", this->context.settings.node.zone},
      {"service", this->context.settings.service},
      {"incarnation", ToNumber(this->context.incarnation)},
      {"policy", std::string(this->context.policy.name)},
      {"stopping", this->context.stopping},
      {"leaving", this->context.leaving},
      {"accepts_work", load.accepts_work},
      {"queued", load.queued},
      {"in_flight", load.in_flight},
      {"tickets",
       {{"remembered", this->tickets.size()}, {"open", this->tickets.Open()}}},
      {"bodies",
       {{"kept", this->bodies.size()}, {"bytes", this->bodies.Bytes()}}},
      {"confirmables_waiting", this->replier.PendingCount()},
      {"limits", this->limits.Dump()},
      {"server", this->context.server.Dump()},
      {"sessions",
       {{"open", this->sessions.Table().size()},
        {"listed", std::move(listed)}}},
      {"control", this->context.control.Dump()}};
}

Agent::Agent(const AgentSettings& settings,
             const CoreDependencies& dependencies)
    : impl(std::make_unique<Impl>(settings, dependencies)) {}

Agent::~Agent() = default;

AgentOutbox Agent::Tick(TimePoint now, AgentInbox inbox) {
  return this->impl->Tick(now, std::move(inbox));
}

nlohmann::json Agent::Dump() const {
  return this->impl->Dump();
}

std::vector<MetricSample> Agent::Metrics() const {
  std::vector<MetricSample> samples = this->impl->context.control.Metrics();
  this->impl->context.metrics.AppendTo(samples);
  const LoadReport load = this->impl->OwnLoad();
  const auto gauge = [&samples](std::string name, double value) {
    samples.push_back({std::move(name), MetricKind::kGauge, "", value});
  };
  gauge("in_flight_requests", load.in_flight);
  gauge("queued_requests", load.queued);
  gauge("open_sessions", load.sessions);
  gauge("remembered_tickets", static_cast<double>(this->impl->tickets.size()));
  gauge("server_service_time_seconds",
        std::chrono::duration<double>(this->impl->context.server.ServiceTime())
            .count());
  return samples;
}

std::vector<Decision> Agent::Explain(const DecisionQuery& query) const {
  return this->impl->context.decisions.Find(query);
}

}  // namespace cactuscross
