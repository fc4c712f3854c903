#include "cactuscross/flow_balancer.h"

#include <algorithm>
#include <string>
#include <utility>

#include "src/core/common/metric_set.h"
#include "src/core/flow/admission/admission_policy.h"
#include "src/core/flow/admission/opening_table.h"
#include "src/core/flow/balancer/agent_queries.h"
#include "src/core/flow/balancer/offer_requests.h"
#include "src/core/flow/common/flow_sequence.h"
#include "src/core/flow/common/response_timeout.h"
#include "src/core/flow/forwarding/early_packets.h"
#include "src/core/flow/forwarding/flow_cache.h"
#include "src/core/flow/forwarding/flow_sender.h"
#include "src/core/flow/placement/agent_query.h"
#include "src/core/flow/placement/eligibility.h"
#include "src/core/flow/placement/evacuated_service.h"
#include "src/core/flow/placement/route_placement.h"
#include "src/core/flow/search/flow_searcher.h"
#include "src/core/flow/view/store_view.h"
#include "src/core/flow/view/view_gossip.h"

namespace cactuscross {
namespace {

// Maximum number of servers that an opening is sent to, one after the other.
// With the response timeout of each this fits the 1.4 s after which a client
// abandons the opening.
constexpr std::size_t kMaxAttempts = 6;

// Limits the cost of a tick in a large fleet.
constexpr std::size_t kMaxQueriesPerTick = 64;

// Routers detect that a process no longer accepts traffic after two failed
// readiness checks, half a second apart. It keeps forwarding meanwhile.
constexpr Duration kShutdownGrace{2500000};

// Assumed age of a request that a client repeats in a new flow after a reset,
// where admission is not by priority. A lost flow is detected by one or more
// retransmissions of the request, which takes up to this time; the client
// repeats the request at once after the reset.
constexpr Duration kResetRequestAge{600000};

// Time until a server answers one more request, from the capacity that its
// agent has measured; 0: unknown.
Duration ExpectedAnswerTime(const ServerEntry& entry) {
  if (entry.load.capacity <= 0) {
    return Duration{0};
  }
  const double requests = entry.load.running + entry.placed + 1.0;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(requests / entry.load.capacity));
}

}  // namespace

class FlowBalancer::Impl : private AdmissionActions {
 public:
  Impl(const FlowBalancerSettings& settings, std::uint64_t seed)
      : settings(settings),
        view(seed,
             settings.node.flow_max_age,
             settings.node.evacuation_bound > Duration{0}),
        gossip(settings),
        admission(MakeAdmissionPolicy(by_priority, openings, metrics)),
        sender(this->settings),
        offer_requests(settings.node.data.address),
        searcher(view, gossip, sender, metrics, settings.batched_lookup) {}

  FlowBalancerOutbox Tick(TimePoint now, const FlowBalancerInbox& inbox);
  void SetSeeds(const std::vector<Endpoint>& seeds) {
    this->gossip.SetSeeds(seeds);
  }
  std::vector<MetricSample> Metrics() const;

 private:
  // The steps of a tick, in their order. The first one applies changed routes
  // to the openings, the second one selects the admission policy that the
  // routes ask for.
  void UpdateOpenings();
  void UpdateAdmission();
  void ReadNotices(const std::vector<FlowNotice>& notices);
  void ReadEarlyPackets();
  void ReadPackets(const std::vector<FlowPacket>& packets);
  void ProcessOpeningTimeouts();
  // Asks agents for offers of free places while openings wait.
  void RequestOffers();
  void QueryAgents();
  // `waiting`: openings for which a place at the server is wanted.
  void SendQuery(ServerEntry& entry, const WaitingOpenings& waiting);
  // True if the agent of `entry` is silent or works with outdated orders.
  bool IsQueryDue(ServerEntry& entry);
  // Number of requests in progress at which `entry` gets no new flows.
  std::uint32_t MaxRunningOf(const ServerEntry& entry);
  void UpdateReadiness(bool stop_requested);

  void OnNotice(const FlowNotice& notice);
  void OnAccepted(const FlowNotice& notice, ServerKey server);
  // Returns the opening of `flow` if it was last sent to `server`; else null.
  Opening* FindSentTo(const FlowKey& flow, ServerKey server);
  // The server of an earlier flow with the same key has refused an opening that
  // was sent to it by the cache. The client's retransmission is placed anew.
  void ForgetHolder(const FlowKey& flow, ServerKey server);
  void OnRefused(const FlowNotice& notice, ServerKey server);
  void OnSaturated(const FlowNotice& notice, ServerKey server);
  void OnHeld(const FlowNotice& notice, ServerKey server);
  void OnNotHeld(const FlowNotice& notice, ServerKey server);
  void OnLookupReply(const FlowNotice& notice, ServerKey server);
  // Answers of several agents to a packet that the sender relayed to them.
  void OnRelayReply(const FlowNotice& reply);

  void OnPacket(const FlowPacket& packet, TimePoint arrived_at);
  void OnNoRoute(const FlowPacket& packet, TimePoint arrived_at);
  void OnOpening(const FlowPacket& packet,
                 TimePoint arrived_at,
                 const FlowRoute& route);
  // Sends an opening that the client retransmits to the same server again, or
  // to the next one if that server may no longer take it.
  void Resend(Opening& opening, const FlowRoute& route);
  void OnNonOpening(const FlowPacket& packet, TimePoint arrived_at);
  // Counts a packet that is dropped because another flow of the client's port
  // is being opened or searched for. If it is not late, the client sends it
  // again.
  void DropOfAnotherFlow();

  // Estimates the start time of the client's request for which a flow is
  // opened.
  TimePoint RequestStartTime(const FlowPacket& packet, TimePoint arrived_at);
  // Sends the opening to the next server, or refuses it if none is left. While
  // all servers are saturated the opening waits.
  void SendToNextServer(Opening& opening, std::string_view reason);
  OfferResult SendToNextServer(Opening& opening,
                               std::string_view reason,
                               bool keep_reserve);
  // Drops an opening that no server accepts. Resets the client unless another
  // balancer may have opened the flow.
  void RefuseOpening(const Opening& opening, std::string_view reason);

  // AdmissionActions:
  OfferResult Place(Opening& opening, bool keep_reserve) override;
  void Refuse(Opening& opening, const AdmissionRefusal& refusal) override;
  void ReportWaiting(const Opening& opening) override;
  // Selects a server for `opening` among the services of its route.
  RoutePlacement SelectServer(const Opening& opening, bool keep_reserve);

  std::string NameOfServer(ServerKey key);

  const FlowBalancerSettings settings;
  MetricSet metrics;
  StoreView view;
  ViewGossip gossip;
  FlowCache cache;
  OpeningTable openings;
  std::uint64_t openings_version = 0;  // of the routes that `openings` follow
  bool by_priority = false;            // the policy in `admission`
  std::unique_ptr<AdmissionPolicy> admission;
  ServiceCapacities capacities;
  ResponseTimeout response_timeout;
  FlowSender sender;
  OfferRequests offer_requests;
  FlowSearcher searcher;
  EarlyPackets early_packets;
  bool ready = false;
  bool stopping = false;
  TimePoint stop_requested_at;
  TimePoint now;
};

FlowBalancerOutbox FlowBalancer::Impl::Tick(TimePoint now,
                                            const FlowBalancerInbox& inbox) {
  this->now = now;
  this->sender.BeginTick(now);
  FlowBalancerOutbox& outbox = this->sender.Outbox();
  // Gossip and store come first since all later steps use the view. Gossip is
  // processed before the store's answers, which may be newer.
  this->gossip.Tick(now, inbox.gossip, this->view, outbox);
  this->view.Tick(now, inbox.store_answers, outbox);
  this->UpdateOpenings();
  this->UpdateAdmission();
  // Notices come before packets, so that placement uses the newest loads.
  this->ReadNotices(inbox.notices);
  this->ReadEarlyPackets();
  this->ReadPackets(inbox.packets);
  this->ProcessOpeningTimeouts();
  // After the packets, since a new request has priority over waiting ones.
  this->admission->Tick(now, *this);
  this->RequestOffers();
  this->searcher.ProcessTimeouts(now, this->response_timeout.Current());
  this->QueryAgents();
  this->UpdateReadiness(inbox.stop_requested);
  this->cache.Expire(now);
  for (const LostFlow& lost : this->sender.LostFlows()) {
    this->admission->NoteReset(now, lost.flow, lost.request_started_at);
  }
  for (const FlowEvent& event : outbox.events) {
    this->metrics.Count("flow_events", "event", NameOf(event.kind));
  }
  return std::move(outbox);
}

void FlowBalancer::Impl::UpdateOpenings() {
  const ActiveRoutes& routes = this->view.Routes();
  if (routes.Version() == this->openings_version) {
    return;
  }
  this->openings_version = routes.Version();
  for (const FlowKey& flow : this->openings.Flows()) {
    Opening& opening = *this->openings.Find(flow);
    const FlowRoute* route = routes.Find(flow.service_address);
    if (route == nullptr) {
      this->RefuseOpening(opening, "no_route");
    } else if (!NamesService(*route, opening.service)) {
      opening.service = ChooseService(flow, route->services);
      if (opening.waiting) {
        this->admission->Enqueue(this->now, opening);
      }
    }
  }
}

void FlowBalancer::Impl::UpdateAdmission() {
  const bool by_priority =
      this->settings.priority_admission && this->view.Routes().HasPriorities();
  if (by_priority == this->by_priority) {
    return;
  }
  this->by_priority = by_priority;
  this->admission =
      MakeAdmissionPolicy(by_priority, this->openings, this->metrics);
  for (const FlowKey& flow : this->openings.WaitingFlows()) {
    this->admission->Enqueue(this->now, *this->openings.Find(flow));
  }
  FlowEvent& event = this->sender.Outbox().events.emplace_back();
  event.kind = FlowEventKind::kAdmissionChanged;
  event.reason = this->admission->Name();
  event.version = this->view.Routes().Version();
}

void FlowBalancer::Impl::ReadNotices(const std::vector<FlowNotice>& notices) {
  for (const FlowNotice& notice : notices) {
    this->OnNotice(notice);
  }
}

void FlowBalancer::Impl::OnNotice(const FlowNotice& notice) {
  ServerTable& servers = this->view.Servers();
  if (notice.kind == NoticeKind::kWrongService) {
    // The view is out of date: the host serves another service, that of the
    // notice's tag.
    for (auto& [key, entry] : servers.All()) {
      if (entry.server.host == notice.sender &&
          ServiceTag(entry.server.service) != notice.service_tag) {
        this->OnRefused(notice, key);
        this->OnNotHeld(notice, key);
        this->OnLookupReply(notice, key);
      }
    }
    return;
  }
  if (notice.kind == NoticeKind::kRelayReply) {
    this->OnRelayReply(notice);
    return;
  }
  servers.ApplyNotice(this->now, notice, this->sender.Outbox().events);
  const ServerEntry* entry =
      servers.FindByHost(notice.sender, notice.service_tag);
  if (entry == nullptr) {
    return;
  }
  switch (notice.kind) {
    case NoticeKind::kAccepted:
      this->OnAccepted(notice, entry->key);
      break;
    case NoticeKind::kRefused:
      this->OnRefused(notice, entry->key);
      break;
    case NoticeKind::kSaturated:
      this->OnSaturated(notice, entry->key);
      break;
    case NoticeKind::kHeld:
      this->OnHeld(notice, entry->key);
      break;
    case NoticeKind::kNotHeld:
      this->OnNotHeld(notice, entry->key);
      break;
    case NoticeKind::kLookupReply:
      this->OnLookupReply(notice, entry->key);
      break;
    default:
      break;
  }
}

void FlowBalancer::Impl::OnAccepted(const FlowNotice& notice,
                                    ServerKey server) {
  const Opening* opening = this->openings.Find(notice.flow);
  if (opening == nullptr) {
    // A second server accepted the same opening. Keep the first one in the
    // cache, since its answer probably reached the client first.
    if (this->cache.ServerOf(notice.flow) == kNoServer) {
      this->cache.Put(this->now, notice.flow, server, std::nullopt);
    }
    return;
  }
  FlowEvent& event = this->sender.Report(FlowEventKind::kAccepted, notice.flow);
  event.server = this->NameOfServer(server);
  event.count = static_cast<std::uint32_t>(opening->attempted_servers.size());
  event.age = this->now - opening->started_at;
  this->metrics.Observe("flow_opening_ms", event.age->count() / 1000.0);
  this->response_timeout.NoteAnswered(this->now);
  this->admission->NoteAccepted(this->now, *opening);
  this->cache.Put(this->now, notice.flow, server, opening->sequence);
  this->openings.Erase(notice.flow);
}

Opening* FlowBalancer::Impl::FindSentTo(const FlowKey& flow, ServerKey server) {
  Opening* opening = this->openings.Find(flow);
  const bool was_sent = opening != nullptr &&
                        !opening->attempted_servers.empty() &&
                        opening->attempted_servers.back() == server;
  return was_sent ? opening : nullptr;
}

void FlowBalancer::Impl::ForgetHolder(const FlowKey& flow, ServerKey server) {
  if (this->cache.ServerOf(flow) == server) {
    this->cache.Erase(flow);
  }
}

void FlowBalancer::Impl::OnRefused(const FlowNotice& notice, ServerKey server) {
  if (Opening* opening = this->FindSentTo(notice.flow, server)) {
    this->SendToNextServer(*opening, notice.kind == NoticeKind::kWrongService
                                         ? "wrong_service"
                                         : "server_refused");
  } else if (notice.kind == NoticeKind::kRefused) {
    this->ForgetHolder(notice.flow, server);
  }
}

// New flows from other balancers have saturated the server meanwhile. It is not
// excluded from further attempts, so that it may get the flow later.
void FlowBalancer::Impl::OnSaturated(const FlowNotice& notice,
                                     ServerKey server) {
  Opening* opening = this->FindSentTo(notice.flow, server);
  if (opening == nullptr) {
    this->ForgetHolder(notice.flow, server);
  } else if (!opening->waiting) {
    this->response_timeout.NoteAnswered(this->now);
    opening->attempted_servers.pop_back();
    ServerEntry& entry = *this->view.Servers().Find(server);
    PauseIfRateLimited(this->now,
                       this->capacities.Get(this->now, this->view.Servers(),
                                            entry.server.service),
                       entry);
    this->admission->NoteReturned(this->now, *opening);
    this->SendToNextServer(*opening, "server_saturated");
  }
}

void FlowBalancer::Impl::OnHeld(const FlowNotice& notice, ServerKey server) {
  if (this->openings.Find(notice.flow) != nullptr) {
    // The client has opened a new flow on the port since the query was sent.
    return;
  }
  const auto found = this->searcher.NoteHeld(this->now, notice, server);
  if (found) {
    this->cache.Put(this->now, found->flow, server, found->sequence);
  } else if (this->cache.ServerOf(notice.flow) == kNoServer) {
    this->cache.Put(this->now, notice.flow, server, std::nullopt);
  }
}

void FlowBalancer::Impl::OnNotHeld(const FlowNotice& notice, ServerKey server) {
  if (this->searcher.NoteNotHeld(this->now, notice, server)) {
    return;
  }
  // Either the cache entry is wrong or the server has lost the flow.
  if (this->cache.ServerOf(notice.flow) != server) {
    return;
  }
  const auto sequence = this->cache.SequenceOf(notice.flow);
  this->cache.Erase(notice.flow);
  if (this->openings.Find(notice.flow) != nullptr) {
    return;  // the client opens a new flow on the port
  }
  const FlowRoute* route =
      this->view.Routes().Find(notice.flow.service_address);
  // A packet without acknowledgement is an opening. A search would open the
  // flow at several servers; the client sends it again.
  if (route != nullptr && !notice.packet.empty() &&
      notice.acknowledgement != 0) {
    this->searcher.Begin(this->now,
                         {notice.flow, notice.packet, sequence,
                          notice.acknowledgement, this->now},
                         true);
  }
}

void FlowBalancer::Impl::OnLookupReply(const FlowNotice& notice,
                                       ServerKey server) {
  for (const FoundFlow& found :
       this->searcher.NoteLookupReply(this->now, notice, server)) {
    this->cache.Put(this->now, found.flow, server, found.sequence);
  }
}

void FlowBalancer::Impl::OnRelayReply(const FlowNotice& reply) {
  if (reply.lookups.size() != 1) {
    return;
  }
  FlowNotice answer;
  answer.flow = reply.lookups.front().flow;
  answer.service_tag = reply.service_tag;
  for (const std::uint32_t host : reply.relay_hosts) {
    answer.sender = host;
    const ServerEntry* entry =
        this->view.Servers().FindByHost(host, reply.service_tag);
    if (entry == nullptr) {
      continue;
    }
    if (reply.lookups.front().result == LookupResult::kHeld) {
      this->OnHeld(answer, entry->key);
    } else {
      this->searcher.NoteNotHeld(this->now, answer, entry->key);
    }
  }
}

void FlowBalancer::Impl::ReadEarlyPackets() {
  if (this->early_packets.IsEmpty() || !this->view.IsLoaded()) {
    return;
  }
  for (const EarlyPacket& early : this->early_packets.Drain(this->now)) {
    this->OnPacket(early.packet, early.arrived_at);
  }
}

void FlowBalancer::Impl::ReadPackets(const std::vector<FlowPacket>& packets) {
  this->metrics.Count("flow_packets", "", "", packets.size());
  for (const FlowPacket& packet : packets) {
    this->OnPacket(packet, this->now);
  }
}

void FlowBalancer::Impl::OnPacket(const FlowPacket& packet,
                                  TimePoint arrived_at) {
  const FlowRoute* route =
      this->view.Routes().Find(packet.flow.service_address);
  if (packet.opening && packet.acknowledges) {
    // A SYN-ACK can't come from a client.
    this->metrics.Count("flow_packets_dropped", "reason", "forged");
  } else if (route == nullptr || !this->view.IsLoaded()) {
    this->OnNoRoute(packet, arrived_at);
  } else if (packet.opening) {
    this->OnOpening(packet, arrived_at, *route);
  } else {
    this->OnNonOpening(packet, arrived_at);
  }
}

void FlowBalancer::Impl::OnNoRoute(const FlowPacket& packet,
                                   TimePoint arrived_at) {
  if (!this->view.IsLoaded()) {
    if (!this->early_packets.BufferPacket(arrived_at, packet)) {
      this->metrics.Count("flow_packets_dropped", "reason", "no_view");
    }
    return;
  }
  // If the view may be stale, the route may exist: drop the packet without a
  // reset.
  if (!this->gossip.IsCurrent(this->now, this->view) || packet.reset) {
    this->metrics.Count("flow_packets_dropped", "reason", "old_view");
    return;
  }
  FlowEvent& event = this->sender.Report(FlowEventKind::kNoRoute, packet.flow);
  event.version = this->view.Routes().Version();
  this->cache.Erase(packet.flow);
  this->sender.ResetUnrouted(packet.flow, packet.acknowledgement);
}

void FlowBalancer::Impl::OnOpening(const FlowPacket& packet,
                                   TimePoint arrived_at,
                                   const FlowRoute& route) {
  Opening* opening = this->openings.Find(packet.flow);
  if (opening != nullptr && opening->sequence == packet.sequence) {
    NoteTransmission(*opening, packet.retransmit_count);
    this->Resend(*opening, route);
    return;
  }
  if (opening != nullptr) {
    // The client has given up that one and uses the port again.
    this->openings.Erase(packet.flow);
  }
  const ServerKey holder = this->cache.Lookup(this->now, packet);
  const ServerEntry* entry = this->view.Servers().Find(holder);
  if (holder == kNoServer) {
    this->cache.Erase(packet.flow);  // an earlier flow of the port
  } else if (entry != nullptr && !entry->suspected &&
             RejectionReason(this->now, route, *entry).empty()) {
    this->sender.Forward(*entry, MarkPurpose::kOpening,
                         Bytes(packet.bytes.begin(), packet.bytes.end()));
    return;
  }
  this->searcher.Abandon(packet.flow);
  opening = this->openings.Add(packet.flow);
  if (opening == nullptr) {
    this->metrics.Count("flow_packets_dropped", "reason", "openings_full");
    return;
  }
  opening->service = ChooseService(packet.flow, route.services);
  opening->max_wait = MaxWait(route.time_limit);
  opening->packet.assign(packet.bytes.begin(), packet.bytes.end());
  opening->sequence = packet.sequence;
  opening->started_at = arrived_at;
  NoteTransmission(*opening, packet.retransmit_count);
  opening->request_started_at = this->RequestStartTime(packet, arrived_at);
  opening->priority = route.priority;
  SetPlacementTimes(*opening, route.latency_target, route.time_limit,
                    this->admission->AnswerTime(opening->service));
  if (this->admission->Admit(this->now, *opening)) {
    this->SendToNextServer(*opening, "new_flow");
  }
}

// The datagram to or from the server may have been lost.
void FlowBalancer::Impl::Resend(Opening& opening, const FlowRoute& route) {
  const ServerEntry* entry =
      opening.waiting
          ? nullptr
          : this->view.Servers().Find(opening.attempted_servers.back());
  if (entry == nullptr) {
    return;
  }
  const std::string_view reason = RejectionReason(this->now, route, *entry);
  if (reason.empty()) {
    this->sender.Forward(*entry, MarkPurpose::kOpening, opening.packet);
  } else {
    this->SendToNextServer(opening, reason);
  }
}

TimePoint FlowBalancer::Impl::RequestStartTime(const FlowPacket& packet,
                                               TimePoint arrived_at) {
  if (this->by_priority) {
    const auto repeated =
        packet.retransmit_count == 0
            ? this->admission->RepeatedRequestStart(this->now, packet.flow)
            : std::nullopt;
    if (repeated.has_value()) {
      return *repeated;
    }
  } else if (const auto reset =
                 this->sender.LastResetAt(packet.flow.client.address)) {
    // The client repeats the request of the flow that was reset.
    return *reset - kResetRequestAge;
  }
  const std::size_t transmission = std::min<std::size_t>(
      packet.retransmit_count, kOpeningTransmitTimes.size() - 1);
  return arrived_at - kOpeningTransmitTimes[transmission];
}

void FlowBalancer::Impl::SendToNextServer(Opening& opening,
                                          std::string_view reason) {
  this->SendToNextServer(opening, reason,
                         this->admission->MustKeepReserve(this->now, opening));
}

OfferResult FlowBalancer::Impl::SendToNextServer(Opening& opening,
                                                 std::string_view reason,
                                                 bool keep_reserve) {
  ServerTable& servers = this->view.Servers();
  if (opening.attempted_servers.size() >= kMaxAttempts) {
    this->RefuseOpening(opening, reason);
    return OfferResult::kErased;
  }
  const auto [placement, overflow] = this->SelectServer(opening, keep_reserve);
  if (placement.status == PlacementStatus::kNoServer) {
    if (IsServiceEvacuated(this->now, servers, opening.service)) {
      reason = kZoneEvacuatedReason;
    } else if (opening.attempted_servers.empty()) {
      reason = "no_server";
    }
    this->RefuseOpening(opening, reason);
    return OfferResult::kErased;
  }
  if (placement.status == PlacementStatus::kSaturated) {
    if (!opening.waiting) {
      opening.waiting = true;
      if (this->admission->Enqueue(this->now, opening)) {
        this->sender.Report(FlowEventKind::kWaiting, opening.flow).count =
            static_cast<std::uint32_t>(opening.attempted_servers.size());
      }
    }
    return OfferResult::kSaturated;
  }
  const ServerKey key = placement.server;
  ServerEntry& entry = *servers.Find(key);
  opening.answer_time = ExpectedAnswerTime(entry);
  this->admission->NotePlaced(this->now, opening);
  opening.waiting = false;
  FlowEvent& event = this->sender.Report(opening.attempted_servers.empty()
                                             ? FlowEventKind::kPlaced
                                             : FlowEventKind::kReassigned,
                                         opening.flow);
  event.server = entry.server.name;
  event.reason = overflow ? "overflow" : reason;
  event.version = this->view.Routes().Version();
  event.running = entry.load.running;
  event.count = static_cast<std::uint32_t>(opening.attempted_servers.size());
  if (entry.agent_notice_received) {
    event.age = this->now - entry.last_agent_notice_at;
  }
  if (HasOffer(this->now, entry)) {
    event.detail = "offered place";
    this->metrics.Count("flow_offered_places_used");
  }
  ServerTable::NotePlaced(entry);
  opening.attempted_servers.push_back(key);
  opening.sent_at = this->now;
  this->sender.Forward(entry, MarkPurpose::kOpening, opening.packet);
  return OfferResult::kPlaced;
}

RoutePlacement FlowBalancer::Impl::SelectServer(const Opening& opening,
                                                bool keep_reserve) {
  const PlacementContext context{this->view.Servers(), this->capacities,
                                 this->settings.node.zone,
                                 this->settings.strict_weights, keep_reserve};
  const FlowRoute* route =
      this->view.Routes().Find(opening.flow.service_address);
  return PlaceOnRoute(
      this->now, context, opening.service,
      route == nullptr ? std::vector<ServiceShare>() : route->services,
      opening.flow, opening.attempted_servers);
}

void FlowBalancer::Impl::RefuseOpening(const Opening& opening,
                                       std::string_view reason) {
  const FlowKey flow = opening.flow;
  FlowEvent& event = this->sender.Report(FlowEventKind::kRefused, flow);
  event.reason = reason;
  event.count = static_cast<std::uint32_t>(opening.attempted_servers.size());
  event.age = this->now - opening.started_at;
  if (HasAllTransmissions(this->now, opening)) {
    this->admission->NoteReset(this->now, flow, opening.request_started_at);
    this->sender.ResetOpening(flow);
  } else {
    event.detail =
        "client not reset: another balancer may have opened the flow";
  }
  this->openings.Erase(flow);
}

void FlowBalancer::Impl::OnNonOpening(const FlowPacket& packet,
                                      TimePoint arrived_at) {
  if (this->searcher.BufferPacket(packet)) {
    return;
  }
  if (const Opening* opening = this->openings.Find(packet.flow)) {
    if (!IsOfSameFlow(opening->sequence, packet.sequence)) {
      this->DropOfAnotherFlow();
      return;
    }
    // The client got the server's acceptance, but the agent's notice of it did
    // not arrive here.
    if (!opening->attempted_servers.empty()) {
      this->cache.Put(this->now, packet.flow, opening->attempted_servers.back(),
                      opening->sequence);
    }
    this->openings.Erase(packet.flow);
  }
  const ServerKey holder = this->cache.Lookup(this->now, packet);
  if (const ServerEntry* entry = this->view.Servers().Find(holder)) {
    this->sender.Forward(*entry, MarkPurpose::kCached,
                         Bytes(packet.bytes.begin(), packet.bytes.end()));
    return;
  }
  if (this->searcher.IsSearching(packet.flow)) {
    this->DropOfAnotherFlow();
    return;
  }
  this->searcher.Begin(this->now,
                       {packet.flow, packet.bytes, packet.sequence,
                        packet.acknowledgement, arrived_at},
                       false);
}

void FlowBalancer::Impl::DropOfAnotherFlow() {
  this->metrics.Count("flow_packets_dropped", "reason", "other_flow");
}

void FlowBalancer::Impl::ProcessOpeningTimeouts() {
  for (const FlowKey& flow :
       this->openings.TimedOut(this->now, this->response_timeout.Current())) {
    Opening& opening = *this->openings.Find(flow);
    this->response_timeout.NoteUnanswered(this->now);
    this->view.Servers().NoteUnanswered(this->now,
                                        opening.attempted_servers.back(),
                                        this->sender.Outbox().events);
    this->SendToNextServer(opening, "no_answer");
  }
}

OfferResult FlowBalancer::Impl::Place(Opening& opening, bool keep_reserve) {
  return this->SendToNextServer(opening, "waited", keep_reserve);
}

void FlowBalancer::Impl::Refuse(Opening& opening,
                                const AdmissionRefusal& refusal) {
  this->RefuseOpening(opening, refusal.reason);
  FlowEvent& event = this->sender.Outbox().events.back();
  event.count = refusal.ahead.has_value() ? refusal.ahead : event.count;
  if (event.detail.empty()) {
    event.detail = refusal.detail;
  }
}

void FlowBalancer::Impl::ReportWaiting(const Opening& opening) {
  FlowEvent& event = this->sender.Report(FlowEventKind::kWaiting, opening.flow);
  event.count = opening.ahead;
  event.age = this->now - opening.started_at;
}

std::uint32_t FlowBalancer::Impl::MaxRunningOf(const ServerEntry& entry) {
  return MaxRunning(this->now, entry,
                    this->capacities.Get(this->now, this->view.Servers(),
                                         entry.server.service));
}

bool FlowBalancer::Impl::IsQueryDue(ServerEntry& entry) {
  if (AreOrdersDue(this->now, this->view, entry)) {
    return true;
  }
  if (this->now - entry.queried_at < QueryInterval(entry)) {
    return false;
  }
  if (!entry.agent_notice_received || entry.suspected ||
      this->now - entry.last_agent_notice_at > kQueryInterval) {
    return true;
  }
  // Only a notice can show that the agent's orders are outdated.
  if (entry.last_agent_notice_at <= entry.orders_checked_at) {
    return false;
  }
  entry.orders_checked_at = this->now;
  return HasOutdatedOrders(this->now, entry, this->MaxRunningOf(entry));
}

void FlowBalancer::Impl::QueryAgents() {
  if (HasWarmupBound(this->settings.node) && !this->view.IsLoaded()) {
    // An agent takes a query without a limit to mean that there is none.
    return;
  }
  std::size_t queries = 0;
  for (auto& [key, entry] : this->view.Servers().All()) {
    if (!entry.listed || entry.superseded || !this->IsQueryDue(entry)) {
      continue;
    }
    if (++queries > kMaxQueriesPerTick) {
      return;
    }
    this->SendQuery(entry, WaitingOpenings());
  }
}

void FlowBalancer::Impl::SendQuery(ServerEntry& entry,
                                   const WaitingOpenings& waiting) {
  entry.queried_at = this->now;
  entry.unheard_queries += entry.agent_notice_received ? 0 : 1;
  entry.orders_changed = false;
  OutgoingNotice query;
  query.host = entry.server.host;
  query.notice.kind = NoticeKind::kQuery;
  query.notice.max_running = this->MaxRunningOf(entry);
  query.notice.orders = MakeAgentOrders(this->now, this->view, entry);
  query.notice.waiting = waiting;
  query.notice.service_tag = ServiceTag(entry.server.service);
  this->sender.Outbox().notices.push_back(std::move(query));
}

void FlowBalancer::Impl::RequestOffers() {
  for (const auto& [service, waiting] : this->admission->Waiting()) {
    for (const ServerKey key : this->offer_requests.TakeDue(
             this->now, this->view.Servers(), service, waiting)) {
      this->SendQuery(*this->view.Servers().Find(key), waiting);
    }
  }
}

void FlowBalancer::Impl::UpdateReadiness(bool stop_requested) {
  if (stop_requested && !this->stopping) {
    this->stopping = true;
    this->stop_requested_at = this->now;
    FlowEvent event;
    event.kind = FlowEventKind::kStopping;
    event.count = static_cast<std::uint32_t>(this->cache.Size());
    this->sender.Outbox().events.push_back(std::move(event));
  }
  const bool ready = this->view.IsLoaded() && !this->stopping;
  if (ready != this->ready) {
    this->ready = ready;
    FlowEvent event;
    event.kind = ready ? FlowEventKind::kReady : FlowEventKind::kNotReady;
    event.version = this->view.Routes().Version();
    event.count = static_cast<std::uint32_t>(this->view.Servers().All().size());
    this->sender.Outbox().events.push_back(std::move(event));
  }
  this->sender.Outbox().ready = ready;
  this->sender.Outbox().may_exit =
      this->stopping &&
      this->now - this->stop_requested_at >=
          std::min(kShutdownGrace, this->settings.node.max_stop_time / 2);
  if (this->sender.Outbox().may_exit) {
    // The clients learn that nothing has run, and need not wait for a timeout.
    for (const FlowKey& flow : this->openings.WaitingFlows()) {
      this->RefuseOpening(*this->openings.Find(flow), "stopping");
    }
  }
}

std::string FlowBalancer::Impl::NameOfServer(ServerKey key) {
  const ServerEntry* entry = this->view.Servers().Find(key);
  return entry == nullptr ? std::string() : entry->server.name;
}

std::vector<MetricSample> FlowBalancer::Impl::Metrics() const {
  std::vector<MetricSample> samples;
  this->metrics.AppendTo(samples);
  const auto gauge = [&samples](std::string name, double value) {
    samples.push_back({std::move(name), MetricKind::kGauge, "", value});
  };
  gauge("flow_cache_entries", static_cast<double>(this->cache.Size()));
  gauge("flow_openings", static_cast<double>(this->openings.Size()));
  gauge("flow_searches", static_cast<double>(this->searcher.Size()));
  gauge(
      "flow_answer_patience_seconds",
      std::chrono::duration<double>(this->response_timeout.Current()).count());
  gauge("flow_search_window_bytes",
        static_cast<double>(this->searcher.CongestionWindow().Window()));
  gauge("flow_former_services_known",
        this->view.Routes().KnowsFormerServices(this->now) ? 1 : 0);
  gauge("flow_servers", static_cast<double>(this->view.Servers().All().size()));
  gauge("flow_routes", static_cast<double>(this->view.Routes().Size()));
  gauge("flow_routes_version",
        static_cast<double>(this->view.Routes().Version()));
  gauge("flow_store_era",
        static_cast<double>(this->view.Version().servers.era));
  gauge("flow_ready", this->ready ? 1 : 0);
  AppendZoneMetrics(this->view, samples);
  return samples;
}

FlowBalancer::FlowBalancer(const FlowBalancerSettings& settings,
                           std::uint64_t seed)
    : impl(std::make_unique<Impl>(settings, seed)) {}

FlowBalancer::~FlowBalancer() = default;

FlowBalancerOutbox FlowBalancer::Tick(TimePoint now,
                                      const FlowBalancerInbox& inbox) {
  return this->impl->Tick(now, inbox);
}

void FlowBalancer::SetSeeds(const std::vector<Endpoint>& seeds) {
  this->impl->SetSeeds(seeds);
}

std::vector<MetricSample> FlowBalancer::Metrics() const {
  return this->impl->Metrics();
}

}  // namespace cactuscross
