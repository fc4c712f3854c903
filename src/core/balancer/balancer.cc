#include "cactuscross/balancer.h"

#include <algorithm>
#include <deque>
#include <utility>

#include <boost/random/mersenne_twister.hpp>

#include "cactuscross/policy.h"
#include "src/core/balancer/route_table.h"
#include "src/core/common/decision_log.h"
#include "src/core/common/metric_set.h"
#include "src/core/common/reply.h"
#include "src/core/common/ticket.h"
#include "src/core/control/control_plane.h"

namespace cactuscross {
namespace {

// Max candidate agents listed in one message.
constexpr std::size_t kMaxCandidates = 8;
// A stopping balancer keeps running until it has no traffic for this time.
constexpr Duration kStopQuietTime = std::chrono::seconds(1);
// A starting balancer buffers datagrams until it has the contract, for at most
// this time and up to this number.
constexpr Duration kMaxBufferTime = std::chrono::milliseconds(1500);
constexpr std::size_t kMaxBufferedDatagrams = 4096;
// For this time after startup, a confirmable message that cannot be routed is
// dropped without a response: the network fabric may deliver the caller's
// retransmission to another balancer.
constexpr Duration kStartupTime = std::chrono::seconds(10);
// Retry-After for callers of an address that the balancer cannot route,
// seconds.
constexpr std::uint32_t kNotReadyRetryAfterS = 2;
// Retry-After if no agent can accept new work, seconds.
constexpr std::uint32_t kNoServerRetryAfterS = 2;

}  // namespace

class Balancer::Impl {
 public:
  Impl(const BalancerSettings& balancer_settings,
       const CoreDependencies& dependencies)
      : settings(balancer_settings),
        policy(FindRoutingPolicy(dependencies.policy)),
        incarnation(dependencies.incarnation),
        random(dependencies.seed),
        control(balancer_settings.node, dependencies) {}

  BalancerOutbox Tick(TimePoint time, BalancerInbox inbox);

  // The steps of Tick(), in order.
  void ReceiveFromPlatform(const BalancerInbox& inbox);
  void ReceiveFromPeers(BalancerInbox& inbox);
  void RouteFromCallers(BalancerInbox& inbox);
  void RunControl();
  void RunStop(bool stop_requested);

  bool CannotRouteYet(const CallerDatagram& datagram) const;
  void RouteBuffered();
  void Route(CallerDatagram& datagram);
  void RefuseUnknownAddress(const CallerDatagram& datagram);
  void RouteByTicket(CallerDatagram& datagram,
                     const ServiceView& view,
                     const Ticket& ticket);
  void RouteByPolicy(CallerDatagram& datagram, const ServiceView& view);
  bool CanSample(NodeId agent) const;
  std::vector<SamplingCandidate> ChooseCandidates(
      const CallerDatagram& datagram,
      const ServiceView& view);
  void Forward(CallerDatagram& datagram,
               const ServiceView& view,
               const PeerAddress& agent,
               std::vector<SamplingCandidate> candidates);
  void ForwardReply(const PeerEnvelope& envelope, ForwardedReply& reply);
  void Refuse(const CallerDatagram& datagram,
              ResultCode code,
              std::optional<std::uint32_t> retry_after_s);
  void Record(const CallerDatagram& datagram,
              std::string_view event,
              ResultCode code,
              NodeId chosen,
              std::string_view reason);

  BalancerSettings settings;
  const RoutingPolicy& policy;
  Incarnation incarnation;
  boost::random::mt19937_64 random;
  ControlPlane control;
  RouteTable routes;
  DecisionLog decisions;
  MetricSet metrics;
  TimePoint now;
  TimePoint last_traffic;
  std::optional<TimePoint> started;
  std::deque<std::pair<TimePoint, CallerDatagram>> buffered;
  bool stopping = false;
  BalancerOutbox outbox;
};

BalancerOutbox Balancer::Impl::Tick(TimePoint time, BalancerInbox inbox) {
  this->now = time;
  this->started = this->started.value_or(time);
  this->outbox = {};
  // New contracts are processed first, so that the traffic of this tick is
  // routed by them.
  this->ReceiveFromPlatform(inbox);
  this->ReceiveFromPeers(inbox);
  this->RouteBuffered();
  this->RouteFromCallers(inbox);
  this->RunControl();
  this->RunStop(inbox.stop_requested);
  return std::move(this->outbox);
}

void Balancer::Impl::ReceiveFromPlatform(const BalancerInbox& inbox) {
  for (const PlatformResult& result : inbox.platform_results) {
    this->control.HandlePlatform(this->now, result);
  }
}

void Balancer::Impl::ReceiveFromPeers(BalancerInbox& inbox) {
  for (PeerEnvelope& envelope : inbox.peer_envelopes) {
    this->control.NoteTraffic(this->now, envelope);
    if (auto* reply = std::get_if<ForwardedReply>(&envelope.body)) {
      this->ForwardReply(envelope, *reply);
    } else if (const auto* mismatch =
                   std::get_if<ContractMismatch>(&envelope.body)) {
      this->metrics.Count("contract_mismatches_total", "reason",
                          GetRow(mismatch->reason).name);
      this->control.NoteVersion(this->now, envelope.from, mismatch->customer,
                                mismatch->version);
    } else if (!this->control.Handle(this->now, envelope, std::nullopt)) {
      this->metrics.Count("unexpected_peer_messages_total");
    }
    if (const auto* probe = std::get_if<ProbeReply>(&envelope.body)) {
      if (probe->load) {
        this->routes.NoteLoad(this->now, envelope.from.node, *probe->load);
      }
    }
  }
}

bool Balancer::Impl::CannotRouteYet(const CallerDatagram& datagram) const {
  return !this->control.ReadyForNewWork() &&
         !this->control.FindByAddress(datagram.service_address);
}

void Balancer::Impl::RouteBuffered() {
  while (!this->buffered.empty()) {
    auto& [arrived, datagram] = this->buffered.front();
    const bool expired = this->now - arrived >= kMaxBufferTime;
    if (!expired && this->CannotRouteYet(datagram)) {
      return;
    }
    CallerDatagram next = std::move(datagram);
    this->buffered.pop_front();
    this->Route(next);
  }
}

void Balancer::Impl::RouteFromCallers(BalancerInbox& inbox) {
  for (CallerDatagram& datagram : inbox.caller_datagrams) {
    this->last_traffic = this->now;
    if (this->buffered.size() < kMaxBufferedDatagrams &&
        this->CannotRouteYet(datagram)) {
      this->buffered.emplace_back(this->now, std::move(datagram));
    } else {
      this->Route(datagram);
    }
  }
}

void Balancer::Impl::RunControl() {
  ControlOutbox control_outbox;
  this->control.Tick(this->now, control_outbox);
  auto& envelopes = this->outbox.peer_envelopes;
  std::move(control_outbox.peer_envelopes.begin(),
            control_outbox.peer_envelopes.end(), std::back_inserter(envelopes));
  this->outbox.platform_reads = std::move(control_outbox.platform_reads);
  this->outbox.renewed_paths = std::move(control_outbox.renewed_paths);
}

// The network fabric and the agents use this balancer until they learn that it
// is leaving, so it keeps forwarding until it has had no traffic for
// kStopQuietTime.
void Balancer::Impl::RunStop(bool stop_requested) {
  if (!stop_requested) {
    return;
  }
  if (!this->stopping) {
    this->stopping = true;
    this->last_traffic = this->now;
    this->control.Leave(this->now);
  }
  this->outbox.may_exit = this->now - this->last_traffic >= kStopQuietTime;
}

void Balancer::Impl::Route(CallerDatagram& datagram) {
  this->metrics.Count("caller_datagrams_total");
  const ServiceView view =
      this->control.FindByAddress(datagram.service_address);
  const CoapMessage& message = datagram.message;
  if (!view) {
    this->RefuseUnknownAddress(datagram);
    return;
  }
  this->routes.Update(this->now, *view.service, view.active->version);
  if (IsRequest(message) && message.echo) {
    if (const auto ticket = PeekTicket(*message.echo)) {
      this->RouteByTicket(datagram, view, *ticket);
      return;
    }
  }
  this->RouteByPolicy(datagram, view);
}

void Balancer::Impl::RefuseUnknownAddress(const CallerDatagram& datagram) {
  ResultCode code = ResultCode::kNoSuchService;
  const bool ready = this->control.ReadyForNewWork();
  const bool will_retransmit = datagram.message.type == CoapType::kConfirmable;
  if (!ready && will_retransmit && this->now - *this->started < kStartupTime) {
    this->metrics.Count("dropped_total", "reason", "starting");
    return;
  }
  if (!ready) {
    code = ResultCode::kRefusedNotReady;
  } else if (datagram.message.echo) {
    // The request may have run before the contract was withdrawn.
    code = ResultCode::kOutcomeUnknown;
  }
  this->Refuse(datagram, code, kNotReadyRetryAfterS);
}

void Balancer::Impl::RouteByTicket(CallerDatagram& datagram,
                                   const ServiceView& view,
                                   const Ticket& ticket) {
  const auto agent =
      this->routes.Find(this->now, view.service->id, ticket.agent);
  const MemberState state = this->control.StateOf(ticket.agent);
  if (agent && state != MemberState::kDead) {
    this->Record(datagram, "routed", ResultCode::kOk, ticket.agent,
                 "the ticket names this agent");
    this->Forward(datagram, view, *agent, {});
    return;
  }
  const auto known = static_cast<std::uint32_t>(view.active->version);
  // Serial number arithmetic (with wraparound) on the lower 32 bits of the
  // versions.
  const auto ahead = static_cast<std::int32_t>(ticket.contract_version - known);
  if (!agent && ahead > 0) {
    // A newer contract may list the agent. The caller's retransmission will
    // reach a balancer that has that contract, so an error response would be
    // premature.
    this->Record(datagram, "dropped", ResultCode::kStaleContract, ticket.agent,
                 "the ticket was issued under a newer contract");
    this->metrics.Count("dropped_total", "reason", "stale_contract");
    return;
  }
  this->Refuse(datagram, ResultCode::kOutcomeUnknown, std::nullopt);
}

void Balancer::Impl::RouteByPolicy(CallerDatagram& datagram,
                                   const ServiceView& view) {
  std::vector<SamplingCandidate> candidates =
      this->ChooseCandidates(datagram, view);
  if (candidates.empty()) {
    this->Refuse(datagram, ResultCode::kRefusedNoServer, kNoServerRetryAfterS);
    return;
  }
  const NodeId first = candidates.front().node;
  const auto agent = this->routes.Find(this->now, view.service->id, first);
  if (!agent) {
    return;
  }
  this->Record(datagram, "routed", ResultCode::kOk, first,
               "first candidate of the routing policy");
  this->Forward(datagram, view, *agent, std::move(candidates));
}

// A leaving agent may exit at any time, which would lose a message that is
// forwarded to it. It is therefore sampled only while it is known to have
// sessions, one of which may belong to the caller.
bool Balancer::Impl::CanSample(NodeId agent) const {
  const MemberState state = this->control.StateOf(agent);
  if (state == MemberState::kLeaving) {
    const auto load = this->routes.LoadOf(this->now, agent);
    return load && load->sessions > 0;
  }
  return state == MemberState::kAlive;
}

// Returns as many agents that accept new work as the policy samples, best
// first. Agents that accept none but precede the last of them are included,
// because they may own a session of this caller.
std::vector<SamplingCandidate> Balancer::Impl::ChooseCandidates(
    const CallerDatagram& datagram,
    const ServiceView& view) {
  std::vector<RouteChoice> choices;
  for (const ContractServer& server : view.service->servers) {
    if (!this->CanSample(server.node)) {
      continue;
    }
    RouteChoice choice;
    choice.node = server.node;
    choice.takes_new_work = server.state == ServerState::kServing;
    if (const auto load = this->routes.LoadOf(this->now, server.node)) {
      choice.load = *load;
      choice.load_known = true;
    }
    choices.push_back(choice);
  }
  const RouteInput input{datagram.caller, view.service->id, choices,
                         &this->random};
  const std::size_t required_samples =
      std::max(this->policy.request_samples, this->policy.session_samples);
  std::vector<SamplingCandidate> candidates;
  std::size_t eligible = 0;
  for (const std::size_t index : this->policy.order(input)) {
    if (eligible >= required_samples || candidates.size() >= kMaxCandidates) {
      break;
    }
    const RouteChoice& choice = choices[index];
    const bool accepts = !choice.load_known || choice.load.accepts_work;
    eligible += choice.takes_new_work && accepts ? 1U : 0U;
    candidates.push_back({choice.node, {}});
  }
  return candidates;
}

void Balancer::Impl::Forward(CallerDatagram& datagram,
                             const ServiceView& view,
                             const PeerAddress& agent,
                             std::vector<SamplingCandidate> candidates) {
  ForwardedRequest request;
  request.caller = datagram.caller;
  request.service_address = datagram.service_address;
  request.service = view.service->id;
  request.contract_version = view.active->version;
  request.contract_fingerprint = view.active->fingerprint;
  const NodeSettings& node = this->settings.node;
  request.balancer = {node.node, Role::kBalancer, node.zone, node.listen};
  request.budget = view.service->limits.deadline;
  request.candidates = std::move(candidates);
  request.message = std::move(datagram.message);
  this->outbox.peer_envelopes.push_back(
      {request.balancer, this->incarnation, agent, std::move(request)});
}

void Balancer::Impl::ForwardReply(const PeerEnvelope& envelope,
                                  ForwardedReply& reply) {
  this->last_traffic = this->now;
  this->routes.NoteLoad(this->now, envelope.from.node, reply.load);
  const ServiceView view = this->control.FindByAddress(reply.service_address);
  if (!view || view.service->id != reply.service) {
    this->metrics.Count("dropped_total", "reason", "wrong_service");
    return;
  }
  this->metrics.Count("caller_replies_total");
  this->outbox.caller_replies.push_back(
      {reply.caller, reply.service_address, std::move(reply.message)});
}

// Sends an error response to a request. Acknowledgements and resets get none.
void Balancer::Impl::Refuse(const CallerDatagram& datagram,
                            ResultCode code,
                            std::optional<std::uint32_t> retry_after_s) {
  this->Record(datagram, "refused", code, kNoNode, GetRow(code).text);
  this->metrics.Count("refused_total", "code", GetRow(code).name);
  if (!IsRequest(datagram.message)) {
    return;
  }
  // A request with a ticket may have run on an agent. Only that agent can
  // report that it did not run.
  const bool ticketed = datagram.message.echo.has_value();
  if (ticketed && GetRow(code).not_run) {
    return;
  }
  this->outbox.caller_replies.push_back(
      {datagram.caller, datagram.service_address,
       MakeErrorReply(datagram.message, code, retry_after_s)});
}

void Balancer::Impl::Record(const CallerDatagram& datagram,
                            std::string_view event,
                            ResultCode code,
                            NodeId chosen,
                            std::string_view reason) {
  this->decisions.Add({this->now, datagram.caller, datagram.service_address,
                       ToHex(datagram.message.token), std::string(event), code,
                       chosen, std::string(reason)});
}

Balancer::Balancer(const BalancerSettings& settings,
                   const CoreDependencies& dependencies)
    : impl(std::make_unique<Impl>(settings, dependencies)) {}

Balancer::~Balancer() = default;

BalancerOutbox Balancer::Tick(TimePoint now, BalancerInbox inbox) {
  return this->impl->Tick(now, std::move(inbox));
}

std::vector<Endpoint> Balancer::ServiceAddresses() const {
  return this->impl->control.ServiceAddresses();
}

nlohmann::json Balancer::Dump() const {
  return {{"role", "balancer"},
          {"node", ToNumber(this->impl->settings.node.node)},
          {"zone", this->impl->settings.node.zone},
          {"incarnation", ToNumber(this->impl->incarnation)},
          {"policy", std::string(this->impl->policy.name)},
          {"stopping", this->impl->stopping},
          {"known_agents", this->impl->routes.size()},
          {"control", this->impl->control.Dump()}};
}

std::vector<MetricSample> Balancer::Metrics() const {
  std::vector<MetricSample> samples = this->impl->control.Metrics();
  this->impl->metrics.AppendTo(samples);
  return samples;
}

std::vector<Decision> Balancer::Explain(const DecisionQuery& query) const {
  return this->impl->decisions.Find(query);
}

}  // namespace cactuscross
