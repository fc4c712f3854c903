#include "cactuscross/flow_agent.h"

#include <algorithm>
#include <deque>
#include <unordered_map>
#include <utility>

#include "src/core/common/metric_set.h"
#include "src/core/flow/agent/agent_shutdown.h"
#include "src/core/flow/agent/capacity_offers.h"
#include "src/core/flow/agent/flow_lookup.h"
#include "src/core/flow/agent/opening_rate_limit.h"
#include "src/core/flow/agent/relayed_searches.h"
#include "src/core/flow/agent/server_flows.h"
#include "src/core/flow/agent/server_health_check.h"
#include "src/core/flow/agent/zone_state.h"

namespace cactuscross {
namespace {

// Maximum number of balancers that receive load notices.
constexpr std::size_t kMaxBalancers = 256;
// Load notices to a balancer stop when it has sent nothing for this time.
constexpr Duration kBalancerTimeout{3000000};

// Minimum time between two notices of a changed load, and maximum time without
// a notice. The minimum grows with the number of balancers, so that an agent
// sends at most 200 notices a second to up to 100 balancers.
constexpr Duration kMinLoadInterval{100000};
constexpr Duration kLoadIntervalPerBalancer{5000};
constexpr Duration kMaxLoadInterval{500000};

// A forwarded opening counts as a request in progress for this time. The client
// sends its request once the opening is accepted, which takes a round trip
// between server and client.
constexpr Duration kOpeningReservation{6000};

// Flows of which the server has recently returned a packet because it does not
// hold them. Until the client opens them again, their packets are answered with
// kNotHeld instead of being forwarded.
constexpr std::size_t kMaxReturnedFlows = 4096;
constexpr Duration kReturnedFlowLifetime{5000000};

}  // namespace

class FlowAgent::Impl {
 public:
  explicit Impl(const FlowAgentSettings& settings)
      : settings(settings),
        service(MakeServiceId(settings.service)),
        shutdown(settings.node.max_stop_time),
        knows_all_flows(settings.node.first_start),
        rate_limit(settings.node.warmup_overshoot, settings.node.warmup_slack) {
  }

  FlowAgentOutbox Tick(TimePoint now, const FlowAgentInbox& inbox);
  std::vector<MetricSample> Metrics() const;

 private:
  // The steps of a tick, in their order.
  void ReadQueries(const std::vector<FlowNotice>& notices);
  void ReadLookups(const std::vector<FlowNotice>& notices);
  void ReadRelays(const std::vector<FlowNotice>& notices);
  // Answers of other agents to relayed packets.
  void ReadRelayedAnswers(const std::vector<FlowNotice>& notices);
  void ReadOrders(const FlowNotice& query);
  void ReadFromServer(const std::vector<FlowPacket>& packets);
  void ReadFromBalancers(const std::vector<FlowPacket>& packets);
  void CheckServer(ProbeResult probe);
  // Offers free places to balancers whose openings wait.
  void OfferCapacity();
  void AdvertiseLoad();

  void OnReturned(const FlowPacket& packet);
  void OnOpening(const FlowPacket& packet);
  void OnNonOpening(const FlowPacket& packet);
  // A client's packet that does not belong to `flow`, which has the same key.
  void OnOtherFlow(ServerFlow& flow, const FlowPacket& packet);
  // Reports that the server does not hold the flow of `packet`, although it
  // holds `flow` with the same key.
  void DenyOtherFlow(ServerFlow& flow,
                     const FlowPacket& packet,
                     std::uint32_t balancer);
  void OnUnknownFlow(const FlowPacket& packet);
  // Whether the server does not hold `flow`, which is not in the flow table.
  bool IsKnownNotToHold(const FlowKey& flow) const;

  void ApplyOrders(const AgentOrders& orders);
  // Returns an opening to its balancer, which tries another server.
  void RefuseOpening(const FlowPacket& packet,
                     NoticeKind kind,
                     std::string_view reason);
  void SendToServer(const FlowPacket& packet);
  void Notify(std::uint32_t balancer,
              NoticeKind kind,
              const FlowPacket& packet,
              bool with_packet);
  OutgoingNotice MakeNotice(std::uint32_t balancer, NoticeKind kind) const;
  ServerLoad Load() const;
  void NotifyNotHeld(std::uint32_t balancer, const FlowPacket& packet);
  void NoteBalancer(std::uint32_t balancer);
  std::uint32_t ExpectedRunning() const;
  FlowEvent& Report(FlowEventKind kind);

  const FlowAgentSettings settings;
  const ServiceId service;
  ServerFlows flows;
  ServerHealthCheck health_check;
  AgentShutdown shutdown;
  // True if `flows` contains every flow of the server, because the server has
  // none from before this process or was found not to be running.
  bool knows_all_flows;
  // When openings were forwarded whose requests are still expected.
  std::deque<TimePoint> recent_openings;
  ZoneState zone_state;
  OpeningRateLimit rate_limit;
  RelayedSearches relayed_searches;
  CapacityOffers offers;
  std::uint32_t max_running = 0;  // from queries of balancers; 0: unknown
  std::uint32_t slots = 0;        // from queries of balancers; 0: unknown
  std::unordered_map<FlowKey, TimePoint, FlowKeyHash> returned_flows;
  // Time of the last packet or query of each balancer.
  std::unordered_map<std::uint32_t, TimePoint> balancers;
  ServerLoad advertised_load;
  TimePoint advertised_at;
  MetricSet metrics;
  TimePoint now;
  FlowAgentOutbox outbox;
};

FlowAgentOutbox FlowAgent::Impl::Tick(TimePoint now,
                                      const FlowAgentInbox& inbox) {
  if (this->now == TimePoint()) {
    this->rate_limit.NoteServerStart(now);
  }
  this->now = now;
  this->outbox = FlowAgentOutbox();
  while (!this->recent_openings.empty() &&
         now - this->recent_openings.front() > kOpeningReservation) {
    this->recent_openings.pop_front();
  }
  this->ReadQueries(inbox.notices);
  // Runs before ReadFromBalancers(), since packets of clients may belong to
  // flows that the server accepts in this tick.
  this->ReadFromServer(inbox.from_server);
  this->ReadFromBalancers(inbox.from_balancers);
  this->ReadLookups(inbox.notices);
  this->ReadRelays(inbox.notices);
  this->ReadRelayedAnswers(inbox.notices);
  if (inbox.stop_requested && this->shutdown.Request(now)) {
    FlowEvent& event = this->Report(FlowEventKind::kStopping);
    event.count = this->flows.Open();
  }
  this->CheckServer(inbox.probe);
  this->flows.Expire(now);
  this->OfferCapacity();
  this->AdvertiseLoad();
  this->outbox.may_exit =
      this->shutdown.MayExit(now, this->flows.Running() == 0);
  for (const FlowEvent& event : this->outbox.events) {
    this->metrics.Count("flow_events", "event", NameOf(event.kind));
  }
  return std::move(this->outbox);
}

void FlowAgent::Impl::ReadQueries(const std::vector<FlowNotice>& notices) {
  for (const FlowNotice& notice : notices) {
    if (notice.kind != NoticeKind::kQuery) {
      continue;
    }
    this->NoteBalancer(notice.sender);
    if (notice.service_tag != ServiceTag(this->service)) {
      continue;
    }
    this->ReadOrders(notice);
    this->offers.NoteWaiting(this->now, notice.sender, notice.waiting);
    this->ApplyOrders(notice.orders);
    this->outbox.notices.push_back(
        this->MakeNotice(notice.sender, NoticeKind::kLoad));
  }
}

void FlowAgent::Impl::ApplyOrders(const AgentOrders& orders) {
  this->rate_limit.NoteRate(this->now, orders.warmup_openings_per_second,
                            orders.warmup_remaining);
  if (!this->zone_state.Apply(orders)) {
    return;
  }
  FlowEvent& event = this->Report(this->zone_state.IsEvacuated()
                                      ? FlowEventKind::kZoneEvacuated
                                      : FlowEventKind::kZoneReturned);
  event.zone = this->settings.node.zone;
  event.version = this->zone_state.Position().revision;
  event.count = this->flows.Open();
}

void FlowAgent::Impl::ReadLookups(const std::vector<FlowNotice>& notices) {
  for (const FlowNotice& notice : notices) {
    if (notice.kind != NoticeKind::kLookup) {
      continue;
    }
    this->NoteBalancer(notice.sender);
    const bool wrong_service = notice.service_tag != ServiceTag(this->service);
    OutgoingNotice reply = this->MakeNotice(
        notice.sender,
        wrong_service ? NoticeKind::kWrongService : NoticeKind::kLookupReply);
    reply.notice.lookups = notice.lookups;
    for (FlowLookup& lookup : reply.notice.lookups) {
      if (!wrong_service) {
        lookup.result = LookUpFlow(this->flows.Find(lookup.flow),
                                   this->IsKnownNotToHold(lookup.flow));
      }
    }
    this->outbox.notices.push_back(std::move(reply));
  }
}

void FlowAgent::Impl::ReadOrders(const FlowNotice& query) {
  // A balancer of an earlier version does not name the slots.
  if (query.orders.slots > 0) {
    this->slots = query.orders.slots;
    this->flows.SetSlots(this->now, this->slots);
  }
  // A limit below the number of slots would leave slots idle.
  this->max_running =
      query.max_running == 0 ? 0 : std::max(query.max_running, this->slots);
}

void FlowAgent::Impl::ReadRelays(const std::vector<FlowNotice>& notices) {
  for (const FlowNotice& notice : notices) {
    if (notice.kind != NoticeKind::kRelay) {
      continue;
    }
    this->NoteBalancer(notice.sender);
    this->metrics.Count("flow_packets_relayed", "", "",
                        notice.relay_hosts.size());
    const bool collects =
        notice.collect_answers &&
        this->relayed_searches.Begin(this->now, notice.sender, notice.flow,
                                     notice.relay_hosts);
    const std::uint32_t answer_to =
        collects ? this->settings.node.data.address : notice.sender;
    for (const std::uint32_t host : notice.relay_hosts) {
      FlowForward forward;
      forward.destination = {host, this->settings.node.data.port};
      forward.mark = {MarkPurpose::kSearch, notice.service_tag, answer_to};
      forward.bytes = notice.packet;
      this->outbox.to_agents.push_back(std::move(forward));
    }
  }
}

void FlowAgent::Impl::ReadRelayedAnswers(
    const std::vector<FlowNotice>& notices) {
  for (const FlowNotice& notice : notices) {
    switch (notice.kind) {
      case NoticeKind::kHeld:
        this->relayed_searches.NoteAnswer(notice.sender, notice.flow,
                                          LookupResult::kHeld);
        break;
      case NoticeKind::kNotHeld:
      case NoticeKind::kWrongService:
        this->relayed_searches.NoteAnswer(notice.sender, notice.flow,
                                          LookupResult::kNotHeld);
        break;
      default:
        break;
    }
  }
  for (OutgoingNotice& reply : this->relayed_searches.TakeReplies(this->now)) {
    reply.notice.service_tag = ServiceTag(this->service);
    this->outbox.notices.push_back(std::move(reply));
  }
}

void FlowAgent::Impl::ReadFromServer(const std::vector<FlowPacket>& packets) {
  if (!packets.empty()) {
    this->health_check.NoteReceived(this->now);
  }
  for (const FlowPacket& packet : packets) {
    if (packet.returned) {
      this->OnReturned(packet);
      continue;
    }
    ServerFlow* flow = this->flows.Find(packet.flow);
    if (flow == nullptr) {
      flow = &this->flows.Add(this->now, packet.flow);
      // The server has received the client's data up to here. Without this, a
      // duplicate of it would count as a request that is never answered.
      flow->client_sequence = packet.acknowledgement;
      flow->learned = true;
      flow->server_sequence = packet.sequence;
      flow->server_sequence_known = !packet.opening && !packet.reset;
    }
    if (this->flows.NoteFromServer(this->now, *flow, packet)) {
      FlowEvent& event = this->Report(FlowEventKind::kAccepted);
      event.flow = packet.flow;
      event.running = this->flows.Running();
      if (flow->balancer != 0) {
        this->Notify(flow->balancer, NoticeKind::kAccepted, packet, false);
      }
    }
    FlowForward forward;
    forward.destination = {packet.flow.client.address,
                           this->settings.node.data.port};
    forward.bytes.assign(packet.bytes.begin(), packet.bytes.end());
    this->outbox.to_clients.push_back(std::move(forward));
  }
}

void FlowAgent::Impl::OnReturned(const FlowPacket& packet) {
  ServerFlow* flow = this->flows.Find(packet.flow);
  if (packet.opening) {
    FlowEvent& event = this->Report(FlowEventKind::kRefused);
    event.flow = packet.flow;
    event.reason = "server_returned_opening";
    event.running = this->flows.Running();
    if (flow != nullptr && flow->state == ServerFlowState::kRequested) {
      this->flows.Erase(packet.flow);
    }
    this->Notify(packet.mark.balancer, NoticeKind::kRefused, packet, false);
    return;
  }
  if (flow != nullptr && !AcknowledgesServer(*flow, packet)) {
    if (!IsOfEarlierFlow(*flow, packet)) {
      this->DenyOtherFlow(*flow, packet, packet.mark.balancer);
    }
    return;
  }
  if (this->returned_flows.size() < kMaxReturnedFlows) {
    this->returned_flows[packet.flow] = this->now;
  }
  const bool was_open =
      flow != nullptr && (flow->state == ServerFlowState::kOpen ||
                          flow->state == ServerFlowState::kClosing);
  if (was_open) {
    // The server that held the flow has lost it, so no other server can hold
    // it.
    FlowEvent& event = this->Report(FlowEventKind::kReturnedByServer);
    event.flow = packet.flow;
    event.age = this->now - flow->used_at;
    this->outbox.resets.push_back({packet.flow, packet.acknowledgement});
    this->flows.Erase(packet.flow);
    return;
  }
  this->NotifyNotHeld(packet.mark.balancer, packet);
}

void FlowAgent::Impl::ReadFromBalancers(
    const std::vector<FlowPacket>& packets) {
  for (const FlowPacket& received : packets) {
    FlowPacket packet = received;
    if (packet.mark.purpose == MarkPurpose::kSearch &&
        packet.mark.balancer != 0) {
      // Another agent may have relayed the packet. If it collects the answers,
      // the mark names it, and it must not be taken for a balancer, which gets
      // load notices.
      packet.sender = packet.mark.balancer;
    } else {
      this->NoteBalancer(packet.sender);
    }
    if (packet.mark.service_tag != ServiceTag(this->service)) {
      this->metrics.Count("flow_packets_dropped", "reason", "wrong_service");
      this->Notify(packet.sender, NoticeKind::kWrongService, packet, true);
    } else if (packet.opening) {
      this->OnOpening(packet);
    } else {
      this->OnNonOpening(packet);
    }
  }
}

void FlowAgent::Impl::OnOpening(const FlowPacket& packet) {
  if (this->health_check.IsDown()) {
    this->Notify(packet.sender, NoticeKind::kRefused, packet, false);
    return;
  }
  if (this->zone_state.IsEvacuated()) {
    // Also if the flow is known: its client may have closed it and use the port
    // again, and a client that waits for an answer is served elsewhere.
    this->RefuseOpening(packet, NoticeKind::kRefused, "zone_evacuated");
    return;
  }
  if (this->rate_limit.IsReached(this->now)) {
    // Retransmissions count as well: the server cannot tell them apart.
    this->RefuseOpening(packet, NoticeKind::kSaturated, "warming_up");
    return;
  }
  ServerFlow* flow = this->flows.Find(packet.flow);
  if (flow == nullptr || !IsOpeningOf(*flow, packet)) {
    if (this->shutdown.IsRequested()) {
      this->Notify(packet.sender, NoticeKind::kRefused, packet, false);
      return;
    }
    if (this->max_running > 0 &&
        !this->offers.TakeOffered(this->now, packet.sender) &&
        this->ExpectedRunning() + this->offers.Reserved(this->now) >=
            this->max_running) {
      this->RefuseOpening(packet, NoticeKind::kSaturated, "saturated");
      return;
    }
    if (flow == nullptr) {
      flow = &this->flows.Add(this->now, packet.flow);
    }
    this->recent_openings.push_back(this->now);
    this->shutdown.NoteOpening(this->now);
  }
  flow->balancer = packet.sender;
  this->flows.NoteFromClient(this->now, *flow, packet);
  this->rate_limit.NoteForwarded(this->now);
  this->SendToServer(packet);
}

void FlowAgent::Impl::RefuseOpening(const FlowPacket& packet,
                                    NoticeKind kind,
                                    std::string_view reason) {
  FlowEvent& event = this->Report(FlowEventKind::kRefused);
  event.flow = packet.flow;
  event.reason = reason;
  event.running = this->ExpectedRunning();
  this->Notify(packet.sender, kind, packet, false);
}

void FlowAgent::Impl::OnNonOpening(const FlowPacket& packet) {
  ServerFlow* flow = this->flows.Find(packet.flow);
  if (flow == nullptr) {
    this->OnUnknownFlow(packet);
    return;
  }
  if (!IsOfEarlierFlow(*flow, packet)) {
    if (!BelongsTo(*flow, packet)) {
      this->OnOtherFlow(*flow, packet);
      return;
    }
    this->flows.NoteFromClient(this->now, *flow, packet);
  }
  if (packet.mark.purpose == MarkPurpose::kSearch) {
    this->Notify(packet.sender, NoticeKind::kHeld, packet, false);
  }
  this->SendToServer(packet);
}

void FlowAgent::Impl::OnOtherFlow(ServerFlow& flow, const FlowPacket& packet) {
  if (flow.learned) {
    // The server tells, as for an unknown flow.
    this->SendToServer(packet);
  } else if (flow.state == ServerFlowState::kRequested ||
             flow.state == ServerFlowState::kAccepted) {
    // Another server may have accepted the same opening.
    this->NotifyNotHeld(packet.sender, packet);
  } else {
    this->DenyOtherFlow(flow, packet, packet.sender);
  }
}

void FlowAgent::Impl::DenyOtherFlow(ServerFlow& flow,
                                    const FlowPacket& packet,
                                    std::uint32_t balancer) {
  flow.ambiguous = true;
  this->metrics.Count("flow_packets_denied", "reason", "other_flow");
  this->NotifyNotHeld(balancer, packet);
}

void FlowAgent::Impl::OnUnknownFlow(const FlowPacket& packet) {
  if (this->IsKnownNotToHold(packet.flow)) {
    this->NotifyNotHeld(packet.sender, packet);
    return;
  }
  // This process does not know all flows of its server. Forward the packet: the
  // server either returns it or answers, which shows that it holds the flow.
  this->SendToServer(packet);
}

bool FlowAgent::Impl::IsKnownNotToHold(const FlowKey& flow) const {
  const auto found = this->returned_flows.find(flow);
  const bool recently_returned =
      found != this->returned_flows.end() &&
      this->now - found->second < kReturnedFlowLifetime;
  return this->knows_all_flows || recently_returned;
}

void FlowAgent::Impl::SendToServer(const FlowPacket& packet) {
  if (packet.opening || packet.data_bytes > 0) {
    this->health_check.NoteSent(this->now);
  }
  FlowForward forward;
  forward.destination = this->settings.server;
  forward.mark.balancer = packet.sender;
  forward.bytes.assign(packet.bytes.begin(), packet.bytes.end());
  this->outbox.to_server.push_back(std::move(forward));
}

void FlowAgent::Impl::CheckServer(ProbeResult probe) {
  const bool was_down = this->health_check.IsDown();
  this->health_check.NoteProbe(this->now, probe);
  this->shutdown.NoteProbe(this->now, probe);
  if (probe == ProbeResult::kRefused) {
    this->rate_limit.NoteServerStart(this->now);
    this->knows_all_flows = this->knows_all_flows || !this->flows.HasEvicted();
  }
  if (was_down != this->health_check.IsDown()) {
    FlowEvent& event = this->Report(was_down ? FlowEventKind::kServerUp
                                             : FlowEventKind::kServerDown);
    event.reason = probe == ProbeResult::kRefused    ? "probe_refused"
                   : probe == ProbeResult::kTimedOut ? "probe_silent"
                                                     : "probe_accepted";
    event.age = this->health_check.UnansweredFor(this->now);
  }
  if (this->shutdown.ServerHasEnded() && !this->advertised_load.ended) {
    this->Report(FlowEventKind::kServerEnded).reason = "probe_refused";
  }
  if (this->health_check.TakeFlowsLost()) {
    for (const FlowReset& reset : this->flows.ResetsOfOpenFlows()) {
      FlowEvent& event = this->Report(FlowEventKind::kLost);
      event.flow = reset.flow;
      event.reason = "server_down";
      this->outbox.resets.push_back(reset);
    }
    this->flows.Clear();
  }
  if (this->shutdown.WantsProbe()) {
    this->health_check.RequestProbe();
  }
  this->outbox.probe = this->health_check.StartProbeIfDue(this->now);
  if (this->outbox.probe) {
    this->shutdown.NoteProbeStarted();
  }
  for (auto entry = this->returned_flows.begin();
       entry != this->returned_flows.end();) {
    entry = this->now - entry->second > kReturnedFlowLifetime
                ? this->returned_flows.erase(entry)
                : std::next(entry);
  }
}

// Requests in progress, plus those expected from openings just forwarded.
std::uint32_t FlowAgent::Impl::ExpectedRunning() const {
  return this->flows.Running() +
         static_cast<std::uint32_t>(this->recent_openings.size());
}

ServerLoad FlowAgent::Impl::Load() const {
  ServerLoad load;
  load.running = this->ExpectedRunning();
  load.open_flows = this->flows.Open();
  load.down = this->health_check.IsDown() || this->shutdown.IsRequested();
  load.evacuated = this->zone_state.IsEvacuated();
  load.capacity = this->flows.Capacity();
  load.lookup_needs_packet = !this->knows_all_flows;
  load.ended = this->shutdown.ServerHasEnded();
  return load;
}

void FlowAgent::Impl::OfferCapacity() {
  const std::uint32_t taken =
      this->ExpectedRunning() + this->offers.Reserved(this->now);
  if (taken >= this->max_running || this->Load().down ||
      this->zone_state.IsEvacuated() || this->rate_limit.IsReached(this->now)) {
    return;
  }
  for (const std::uint32_t balancer :
       this->offers.Offer(this->now, this->max_running - taken)) {
    this->metrics.Count("flow_places_offered");
    this->outbox.notices.push_back(
        this->MakeNotice(balancer, NoticeKind::kOffer));
  }
}

void FlowAgent::Impl::AdvertiseLoad() {
  const ServerLoad load = this->Load();
  const bool changed = load.running != this->advertised_load.running ||
                       load.open_flows != this->advertised_load.open_flows;
  const bool urgent = this->shutdown.TakeAnnouncement(this->now) ||
                      load.down != this->advertised_load.down ||
                      load.evacuated != this->advertised_load.evacuated;
  const Duration since = this->now - this->advertised_at;
  const Duration min_interval =
      std::clamp<Duration>(kLoadIntervalPerBalancer * this->balancers.size(),
                           kMinLoadInterval, kMaxLoadInterval);
  if (!urgent && since < kMaxLoadInterval &&
      (!changed || since < min_interval)) {
    return;
  }
  this->advertised_load = load;
  this->advertised_at = this->now;
  for (auto entry = this->balancers.begin(); entry != this->balancers.end();) {
    if (this->now - entry->second > kBalancerTimeout) {
      entry = this->balancers.erase(entry);
      continue;
    }
    this->outbox.notices.push_back(
        this->MakeNotice(entry->first, NoticeKind::kLoad));
    ++entry;
  }
}

OutgoingNotice FlowAgent::Impl::MakeNotice(std::uint32_t balancer,
                                           NoticeKind kind) const {
  OutgoingNotice outgoing;
  outgoing.host = balancer;
  outgoing.notice.kind = kind;
  outgoing.notice.service_tag = ServiceTag(this->service);
  outgoing.notice.load = this->Load();
  outgoing.notice.max_running = this->max_running;
  return outgoing;
}

void FlowAgent::Impl::Notify(std::uint32_t balancer,
                             NoticeKind kind,
                             const FlowPacket& packet,
                             bool with_packet) {
  OutgoingNotice outgoing = this->MakeNotice(balancer, kind);
  outgoing.notice.flow = packet.flow;
  if (with_packet) {
    outgoing.notice.packet.assign(packet.bytes.begin(), packet.bytes.end());
    outgoing.notice.acknowledgement = packet.acknowledgement;
  }
  this->outbox.notices.push_back(std::move(outgoing));
}

// The notice includes the packet unless it is a query of a search: a searching
// balancer has buffered the packet, while one with a wrong cache entry has not
// and needs it to start a search.
void FlowAgent::Impl::NotifyNotHeld(std::uint32_t balancer,
                                    const FlowPacket& packet) {
  this->Notify(balancer, NoticeKind::kNotHeld, packet,
               packet.mark.purpose != MarkPurpose::kSearch);
}

void FlowAgent::Impl::NoteBalancer(std::uint32_t balancer) {
  if (this->balancers.size() < kMaxBalancers ||
      this->balancers.count(balancer) > 0) {
    this->balancers[balancer] = this->now;
  }
}

FlowEvent& FlowAgent::Impl::Report(FlowEventKind kind) {
  FlowEvent& event = this->outbox.events.emplace_back();
  event.kind = kind;
  return event;
}

std::vector<MetricSample> FlowAgent::Impl::Metrics() const {
  std::vector<MetricSample> samples;
  this->metrics.AppendTo(samples);
  samples.push_back({"flow_table_entries", MetricKind::kGauge, "",
                     static_cast<double>(this->flows.Size())});
  samples.push_back({"flow_running", MetricKind::kGauge, "",
                     static_cast<double>(this->flows.Running())});
  samples.push_back(
      {"flow_server_capacity", MetricKind::kGauge, "", this->flows.Capacity()});
  samples.push_back({"flow_server_down", MetricKind::kGauge, "",
                     this->health_check.IsDown() ? 1.0 : 0.0});
  samples.push_back({"flow_zone_evacuated", MetricKind::kGauge,
                     "zone=\"" + this->settings.node.zone + "\"",
                     this->zone_state.IsEvacuated() ? 1.0 : 0.0});
  return samples;
}

FlowAgent::FlowAgent(const FlowAgentSettings& settings)
    : impl(std::make_unique<Impl>(settings)) {}

FlowAgent::~FlowAgent() = default;

FlowAgentOutbox FlowAgent::Tick(TimePoint now, const FlowAgentInbox& inbox) {
  return this->impl->Tick(now, inbox);
}

std::vector<MetricSample> FlowAgent::Metrics() const {
  return this->impl->Metrics();
}

}  // namespace cactuscross
