#include "src/core/flow/search/flow_searcher.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <string>
#include <utility>

#include "src/core/flow/common/flow_sequence.h"
#include "src/core/flow/placement/placement.h"
#include "src/core/flow/search/request_start.h"

namespace cactuscross {
namespace {

// Size of the IP and UDP headers of each datagram.
constexpr std::size_t kIpUdpHeaderBytes = 28;

// A client retransmits its packet within this time and so starts a new search.
constexpr Duration kMaxQueueTime{1600000};

// A server that does not hold a flow can't come to hold it later, so a denial
// stays valid. Clients abandon a flow without answers within seconds.
constexpr Duration kDenialLifetime{4000000};
constexpr Duration kExpiryInterval{500000};
// 2 MB if each holds 47 servers.
constexpr std::size_t kMaxDenials = 4096;

// Agents send their load at least every 0.5 s. One that has sent a notice
// within this time is alive.
constexpr Duration kAliveTime{1500000};

// A packet for at least this many servers is relayed by the agent of one of
// them. Load: agents that have just started answer kUnknown, so that each lost
// flow costs a packet for each server, on a balancer's link of 10 Mbit/s.
constexpr std::size_t kMinRelayed = 4;
// Bytes of a host in a relayed packet, and of the notice around them.
constexpr std::size_t kRelayHostBytes = 4;
constexpr std::size_t kRelayNoticeBytes = 24;

// Bytes to send for each of `servers` that are queried by packet.
std::size_t QueryBytes(const FlowSearch& search,
                       std::size_t servers,
                       bool may_relay) {
  const std::size_t bytes = search.packets.front().size() + kIpUdpHeaderBytes;
  if (!may_relay || servers < kMinRelayed) {
    return bytes;
  }
  const std::size_t relays = (servers + kMaxRelayHosts - 1) / kMaxRelayHosts;
  return relays * (bytes + kRelayNoticeBytes) / servers + kRelayHostBytes;
}

// Time between the rounds of a search. A search whose servers have all answered
// waits for the view to become complete, which digests of the gossip may change
// at any time. Servers that do not answer are asked at intervals that double.
constexpr Duration kMinRoundInterval{20000};
constexpr std::uint32_t kMaxDoublings = 4;

// Weight of the last search in the average share of lost flows.
constexpr double kLostShareWeight = 0.125;

std::string_view NameOf(LookupResult result) {
  switch (result) {
    case LookupResult::kHeld:
      return "held";
    case LookupResult::kNotHeld:
      return "not_held";
    default:
      return "unknown";
  }
}

}  // namespace

bool FlowSearcher::BufferPacket(const FlowPacket& packet) {
  FlowSearch* search = this->searches.Find(packet.flow);
  if (search == nullptr || !IsOfSameFlow(search->sequence, packet.sequence)) {
    return false;
  }
  AddPacket(*search, packet.bytes);
  search->sequence = packet.sequence;
  search->last_acknowledgement = packet.acknowledgement;
  return true;
}

void FlowSearcher::Begin(TimePoint now,
                         const SearchedPacket& packet,
                         bool holder_denied) {
  const FlowKey& flow = packet.flow;
  FlowSearch* search = this->searches.Add(flow);
  if (search == nullptr) {
    this->metrics.Count("flow_packets_dropped", "reason", "searches_full");
    return;
  }
  search->candidates = this->Candidates(now, flow);
  search->request_started_at =
      EstimateRequestStart(packet.arrived_at, this->receiving_since);
  const auto denial = this->denials.find(flow);
  if (denial != this->denials.end() && packet.sequence &&
      !IsOfSameFlow(denial->second.sequence, *packet.sequence)) {
    // A server that denied an earlier flow of the port may hold this one.
    this->denials.erase(denial);
  } else if (denial != this->denials.end()) {
    RemoveDenied(*search, denial->second.servers);
    search->request_started_at = denial->second.request_started_at;
  }
  AddPacket(*search, packet.bytes);
  search->sequence = packet.sequence;
  search->last_acknowledgement = packet.acknowledgement;
  search->number = ++this->searches_begun;
  search->started_at = now;
  search->holder_denied = holder_denied;
  this->sender.Report(FlowEventKind::kSearching, flow).count =
      static_cast<std::uint32_t>(search->candidates.size());
  this->QueryNextBatch(now, *search);
}

std::vector<ServerKey> FlowSearcher::Candidates(TimePoint now,
                                                const FlowKey& flow) const {
  const ActiveRoutes& routes = this->view.Routes();
  std::vector<ServiceId> services =
      routes.ServicesOfFlows(now, flow.service_address);
  if (!routes.KnowsFormerServices(now)) {
    for (const ServiceId service : this->view.Servers().Services()) {
      if (std::find(services.begin(), services.end(), service) ==
          services.end()) {
        services.push_back(service);
      }
    }
  }
  std::vector<ServerKey> candidates;
  for (const ServiceId service : services) {
    for (const ServerKey key :
         OrderServers(this->view.Servers(), service, flow)) {
      const ServerEntry* entry = this->view.Servers().Find(key);
      if (entry != nullptr && !HasEnded(*entry)) {
        candidates.push_back(key);
      }
    }
  }
  return candidates;
}

std::optional<FoundFlow> FlowSearcher::NoteHeld(TimePoint now,
                                                const FlowNotice& notice,
                                                ServerKey server) {
  this->denials.erase(notice.flow);
  FlowSearch* search = this->searches.Find(notice.flow);
  if (search == nullptr) {
    return std::nullopt;
  }
  const FoundFlow found{search->flow, search->sequence};
  this->EndFound(now, *search, server);
  return found;
}

void FlowSearcher::EndFound(TimePoint now,
                            FlowSearch& search,
                            ServerKey server) {
  const ServerEntry* entry = this->view.Servers().Find(server);
  FlowEvent& event = this->sender.Report(FlowEventKind::kFound, search.flow);
  event.server = entry == nullptr ? std::string() : entry->server.name;
  event.count = static_cast<std::uint32_t>(search.queried);
  this->lost_share -= kLostShareWeight * this->lost_share;
  event.age = now - search.started_at;
  const std::size_t first = search.WasSentPacket(server) ? 1 : 0;
  // Erase() needs the size of the first packet.
  std::vector<Bytes> packets = search.packets;
  this->Erase(search);
  for (std::size_t i = first; entry != nullptr && i < packets.size(); ++i) {
    this->sender.Forward(*entry, MarkPurpose::kCached, std::move(packets[i]));
  }
}

std::vector<FoundFlow> FlowSearcher::NoteLookupReply(TimePoint now,
                                                     const FlowNotice& notice,
                                                     ServerKey server) {
  std::vector<FoundFlow> held;
  for (const LookupAnswer& answer : this->batcher.NoteReply(
           server, notice.lookups, this->congestion_window)) {
    const LookupResult result = notice.kind == NoticeKind::kWrongService
                                    ? LookupResult::kNotHeld
                                    : answer.result;
    this->metrics.Count("flow_lookups", "result", NameOf(result));
    FlowSearch* search = this->FindSearch(answer.target);
    if (search == nullptr) {
      continue;
    }
    if (result == LookupResult::kHeld) {
      held.push_back({search->flow, search->sequence});
      this->EndFound(now, *search, server);
      continue;
    }
    const bool awaited = RemoveLookup(*search, server);
    if (result == LookupResult::kNotHeld) {
      NoteDenial(*search, server);
    } else if (awaited) {
      search->by_packet.push_back(server);
    }
    if (awaited && search->lookups.empty()) {
      this->Advance(now, *search);
    }
  }
  return held;
}

void FlowSearcher::Abandon(const FlowKey& flow) {
  this->denials.erase(flow);
  if (FlowSearch* search = this->searches.Find(flow)) {
    this->Erase(*search);
  }
}

FlowSearch* FlowSearcher::FindSearch(const LookupTarget& target) {
  FlowSearch* search = this->searches.Find(target.flow);
  return search != nullptr && search->number == target.search ? search
                                                              : nullptr;
}

bool FlowSearcher::NoteNotHeld(TimePoint now,
                               const FlowNotice& notice,
                               ServerKey server) {
  FlowSearch* search = this->searches.Find(notice.flow);
  if (search == nullptr) {
    return false;
  }
  if (NoteDenial(*search, server) && search->outstanding > 0) {
    --search->outstanding;
    this->congestion_window.NoteAnswered(search->query_bytes);
  }
  const bool answered =
      this->batched_lookup ? search->outstanding == 0 : search->AllAnswered();
  if (!search->waiting && answered) {
    this->Advance(now, *search);
  }
  return true;
}

void FlowSearcher::ProcessTimeouts(TimePoint now, Duration response_timeout) {
  if (this->receiving_since == TimePoint()) {
    this->receiving_since = now;
  }
  this->ProcessLookupTimeouts(now, response_timeout);
  for (const FlowKey& flow : this->searches.TimedOut(now, response_timeout)) {
    FlowSearch& search = *this->searches.Find(flow);
    this->congestion_window.NoteTimeout(
        now, search.last_batch_size, search.outstanding,
        search.outstanding * search.query_bytes);
    search.outstanding = 0;
    this->Advance(now, search);
  }
  this->BeginDueRounds(now);
  this->ProcessQueue(now);
  this->SendLookups(now);
  this->ExpireDenials(now);
}

void FlowSearcher::ProcessLookupTimeouts(TimePoint now,
                                         Duration response_timeout) {
  for (const LookupDatagram& datagram : this->batcher.TakeTimedOut(
           now, response_timeout, this->congestion_window)) {
    const bool by_packet = this->IgnoresLookups(now, datagram);
    this->metrics.Count("flow_lookups", "result", "timeout",
                        datagram.targets.size());
    for (const LookupTarget& target : datagram.targets) {
      FlowSearch* search = this->FindSearch(target);
      if (search == nullptr || !RemoveLookup(*search, datagram.server)) {
        continue;
      }
      if (by_packet) {
        search->by_packet.push_back(datagram.server);
      }
      if (search->lookups.empty()) {
        this->Advance(now, *search);
      }
    }
  }
}

bool FlowSearcher::IgnoresLookups(TimePoint now,
                                  const LookupDatagram& timed_out) {
  const ServerEntry* entry = this->view.Servers().Find(timed_out.server);
  // An agent that starts does not answer the lookups from before its start.
  const bool alive = entry != nullptr && entry->agent_notice_received &&
                     entry->first_agent_notice_at < timed_out.sent_at &&
                     now - entry->last_agent_notice_at < kAliveTime;
  if (alive) {
    this->batcher.NoteIgnored(now, timed_out.server);
  }
  return this->batcher.IgnoresLookups(now, timed_out.server);
}

void FlowSearcher::Advance(TimePoint now, FlowSearch& search) {
  search.waiting = false;
  if (!search.by_packet.empty()) {
    this->SendOrEnqueue(now, search);
  } else if (search.AllQueried()) {
    this->FinishRound(now, search);
  } else {
    this->QueryNextBatch(now, search);
  }
}

void FlowSearcher::QueryNextBatch(TimePoint now, FlowSearch& search) {
  const std::size_t end =
      search.queried +
      NextBatchSize(search, this->batched_lookup, this->LossesPrevail());
  for (; search.queried < end; ++search.queried) {
    const ServerKey server = search.candidates[search.queried];
    if (!this->NeedsPacket(now, server)) {
      search.lookups.push_back(server);
      this->batcher.Add(server, {search.flow, search.number});
    } else {
      search.by_packet.push_back(server);
    }
  }
  if (search.lookups.empty()) {
    this->SendOrEnqueue(now, search);
  } else {
    search.waiting = true;
  }
}

void FlowSearcher::SendOrEnqueue(TimePoint now, FlowSearch& search) {
  const std::size_t servers = search.by_packet.size();
  search.query_bytes = QueryBytes(search, servers, this->batched_lookup);
  if (this->queue.empty() &&
      this->congestion_window.MaySend(servers * search.query_bytes)) {
    this->SendPackets(now, search);
    return;
  }
  search.waiting = true;
  this->queue.push_back(search.flow);
}

void FlowSearcher::SendPackets(TimePoint now, FlowSearch& search) {
  search.sent_at = now;
  search.waiting = false;
  search.last_batch_size = search.by_packet.size();
  search.outstanding = 0;
  std::map<ServiceId, std::vector<const ServerEntry*>> by_service;
  for (const ServerKey server : search.by_packet) {
    // A server may have been removed since the candidates were determined.
    if (const ServerEntry* entry = this->view.Servers().Find(server)) {
      by_service[entry->server.service].push_back(entry);
      search.packet_servers.push_back(server);
      ++search.outstanding;
    }
  }
  const bool may_relay =
      this->batched_lookup && search.by_packet.size() >= kMinRelayed;
  search.by_packet.clear();
  for (const auto& [service, servers] : by_service) {
    if (may_relay) {
      this->SendRelay(search, servers);
      continue;
    }
    for (const ServerEntry* entry : servers) {
      this->sender.Forward(*entry, MarkPurpose::kSearch,
                           search.packets.front());
    }
  }
  this->congestion_window.NoteSent(search.outstanding * search.query_bytes);
}

void FlowSearcher::SendRelay(const FlowSearch& search,
                             gsl::span<const ServerEntry* const> servers) {
  std::vector<const ServerEntry*> relays;
  for (const ServerEntry* entry : servers) {
    // Agents of the previous version do not relay; those that report that they
    // need a packet are newer.
    if (this->batcher.HasReplied(entry->key) ||
        entry->load.lookup_needs_packet) {
      relays.push_back(entry);
    }
  }
  if (relays.empty()) {
    // Agents of the previous version do not relay.
    for (const ServerEntry* entry : servers) {
      this->sender.Forward(*entry, MarkPurpose::kSearch,
                           search.packets.front());
    }
    return;
  }
  // A repeated search uses another relay, in case this one does not answer.
  const ServerEntry& relay = *relays[search.number % relays.size()];
  for (std::size_t first = 0; first < servers.size(); first += kMaxRelayHosts) {
    OutgoingNotice outgoing;
    outgoing.host = relay.server.host;
    outgoing.notice.kind = NoticeKind::kRelay;
    outgoing.notice.service_tag = ServiceTag(relay.server.service);
    outgoing.notice.flow = search.flow;
    outgoing.notice.packet = search.packets.front();
    outgoing.notice.collect_answers = true;
    const std::size_t count = std::min(kMaxRelayHosts, servers.size() - first);
    for (const ServerEntry* entry : servers.subspan(first, count)) {
      outgoing.notice.relay_hosts.push_back(entry->server.host);
    }
    this->sender.Outbox().notices.push_back(std::move(outgoing));
    this->metrics.Count("flow_search_relays");
  }
}

void FlowSearcher::SendLookups(TimePoint now) {
  std::vector<LookupTarget> expired;
  const auto is_wanted = [this, now, &expired](ServerKey server,
                                               const LookupTarget& target) {
    const FlowSearch* search = this->FindSearch(target);
    if (search == nullptr || !search->AwaitsLookup(server)) {
      return false;
    }
    if (now - search->started_at > kMaxQueueTime) {
      expired.push_back(target);
      return false;
    }
    return true;
  };
  for (const LookupDatagram& datagram :
       this->batcher.TakeReady(now, this->congestion_window, is_wanted)) {
    // If the server was removed meanwhile, the lookups time out.
    const ServerEntry* entry = this->view.Servers().Find(datagram.server);
    if (entry == nullptr) {
      continue;
    }
    OutgoingNotice lookup;
    lookup.host = entry->server.host;
    lookup.notice.kind = NoticeKind::kLookup;
    lookup.notice.service_tag = ServiceTag(entry->server.service);
    for (const LookupTarget& target : datagram.targets) {
      lookup.notice.lookups.push_back({target.flow, LookupResult::kUnknown});
    }
    this->sender.Outbox().notices.push_back(std::move(lookup));
    this->metrics.Count("flow_lookup_datagrams");
  }
  for (const LookupTarget& target : expired) {
    if (FlowSearch* search = this->FindSearch(target)) {
      this->Finish(now, *search);
    }
  }
}

void FlowSearcher::ProcessQueue(TimePoint now) {
  while (!this->queue.empty()) {
    FlowSearch* search = this->searches.Find(this->queue.front());
    // Otherwise it has ended, or another one for the flow waits for lookups.
    if (search != nullptr && search->waiting && !search->by_packet.empty() &&
        search->lookups.empty()) {
      if (now - search->started_at > kMaxQueueTime) {
        this->Finish(now, *search);
      } else if (this->congestion_window.MaySend(search->by_packet.size() *
                                                 search->query_bytes)) {
        this->SendPackets(now, *search);
      } else {
        return;
      }
    }
    this->queue.pop_front();
  }
}

bool FlowSearcher::NeedsPacket(TimePoint now, ServerKey server) const {
  const ServerEntry* entry = this->view.Servers().Find(server);
  return !this->batched_lookup || this->batcher.IgnoresLookups(now, server) ||
         (this->LossesPrevail() && entry != nullptr &&
          entry->load.lookup_needs_packet);
}

bool FlowSearcher::LossesPrevail() const {
  constexpr double kMajority = 0.5;
  return this->lost_share > kMajority;
}

bool FlowSearcher::IsViewComplete(TimePoint now) const {
  return this->view.IsLoaded() && this->gossip.IsCurrent(now, this->view) &&
         this->gossip.HasSynced(now);
}

bool FlowSearcher::IsLost(TimePoint now, const FlowSearch& search) const {
  // While the store is unreachable, a server that this balancer does not know
  // may hold the flow, unless the flow's last holder is known and denied it.
  return this->NoServerHolds(now, search) &&
         (this->IsViewComplete(now) || search.holder_denied);
}

void FlowSearcher::FinishRound(TimePoint now, FlowSearch& search) {
  const bool may_continue =
      this->batched_lookup && now - search.started_at < kMaxQueueTime;
  if (!may_continue || this->IsLost(now, search)) {
    this->Finish(now, search);
    return;
  }
  Duration interval = kMinRoundInterval;
  if (!this->NoServerHolds(now, search)) {
    interval *= 1U << std::min(search.unanswered_rounds, kMaxDoublings);
    ++search.unanswered_rounds;
  }
  search.waiting = true;
  search.next_round_at = now + interval;
  this->next_rounds.emplace(*search.next_round_at, search.flow);
}

void FlowSearcher::BeginDueRounds(TimePoint now) {
  while (!this->next_rounds.empty() &&
         this->next_rounds.begin()->first <= now) {
    const auto [due_at, flow] = *this->next_rounds.begin();
    this->next_rounds.erase(this->next_rounds.begin());
    FlowSearch* search = this->searches.Find(flow);
    // Otherwise the search has ended, and another one may have begun.
    if (search == nullptr || search->next_round_at != due_at) {
      continue;
    }
    search->next_round_at.reset();
    this->metrics.Count("flow_search_rounds");
    search->denied.insert(search->denied.end(), search->answered.begin(),
                          search->answered.end());
    search->answered.clear();
    search->candidates = this->Candidates(now, flow);
    search->queried = 0;
    RemoveDenied(*search, search->denied);
    search->waiting = false;
    this->Advance(now, *search);
  }
}

void FlowSearcher::Finish(TimePoint now, FlowSearch& search) {
  const FlowKey flow = search.flow;
  const bool view_is_complete = this->IsViewComplete(now);
  const bool lost = this->IsLost(now, search);
  FlowEvent& event = this->sender.Report(
      lost ? FlowEventKind::kLost : FlowEventKind::kSearchInconclusive, flow);
  event.count =
      static_cast<std::uint32_t>(search.denied.size() + search.queried);
  event.detail = std::to_string(search.denied.size() + search.answered.size()) +
                 " answered";
  // In this order: the search was queued for too long; the view is complete;
  // the flow's last holder denied it; the view may be incomplete.
  event.reason = search.waiting         ? "no_turn"
                 : view_is_complete     ? "view_whole"
                 : search.holder_denied ? "holder_denied"
                                        : "view_in_doubt";
  event.age = now - search.started_at;
  if (lost) {
    this->lost_share += kLostShareWeight * (1 - this->lost_share);
    this->denials.erase(flow);
    this->sender.ResetLost(flow, search.last_acknowledgement,
                           search.request_started_at);
  } else if (this->denials.size() < kMaxDenials) {
    Denial& denial = this->denials[flow];
    denial.at = now;
    denial.sequence = search.sequence;
    denial.request_started_at = search.request_started_at;
    denial.servers.insert(denial.servers.end(), search.denied.begin(),
                          search.denied.end());
    denial.servers.insert(denial.servers.end(), search.answered.begin(),
                          search.answered.end());
  }
  this->Erase(search);
}

void FlowSearcher::Erase(FlowSearch& search) {
  this->congestion_window.ReleaseBytes(search.outstanding * search.query_bytes);
  this->searches.Erase(FlowKey(search.flow));
}

bool FlowSearcher::NoServerHolds(TimePoint now,
                                 const FlowSearch& search) const {
  return std::all_of(
      search.candidates.begin(), search.candidates.end(), [&](ServerKey key) {
        const ServerEntry* entry = this->view.Servers().Find(key);
        return search.HasAnswered(key) || entry == nullptr ||
               IsDead(now, *entry);
      });
}

void FlowSearcher::ExpireDenials(TimePoint now) {
  if (now < this->next_expiry) {
    return;
  }
  this->next_expiry = now + kExpiryInterval;
  this->batcher.Prune([this](ServerKey server) {
    return this->view.Servers().Find(server) != nullptr;
  });
  for (auto entry = this->denials.begin(); entry != this->denials.end();) {
    entry = now - entry->second.at > kDenialLifetime
                ? this->denials.erase(entry)
                : std::next(entry);
  }
}

}  // namespace cactuscross
