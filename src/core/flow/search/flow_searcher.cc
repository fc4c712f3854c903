#include "src/core/flow/search/flow_searcher.h"

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

#include "src/core/flow/placement/placement.h"

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

std::size_t QueryBytes(const FlowSearch& search) {
  return search.packets.front().size() + kIpUdpHeaderBytes;
}

}  // namespace

bool FlowSearcher::BufferPacket(const FlowPacket& packet) {
  FlowSearch* search = this->searches.Find(packet.flow);
  if (search == nullptr) {
    return false;
  }
  AddPacket(*search, packet.bytes);
  search->last_acknowledgement = packet.acknowledgement;
  return true;
}

void FlowSearcher::Begin(TimePoint now,
                         const FlowKey& flow,
                         ByteView packet,
                         std::uint32_t acknowledgement,
                         bool holder_denied) {
  FlowSearch* search = this->searches.Add(flow);
  if (search == nullptr) {
    this->metrics.Count("flow_packets_dropped", "reason", "searches_full");
    return;
  }
  search->candidates = this->Candidates(now, flow);
  const auto denial = this->denials.find(flow);
  if (denial != this->denials.end()) {
    RemoveDenied(*search, denial->second.servers);
  }
  AddPacket(*search, packet);
  search->last_acknowledgement = acknowledgement;
  search->started_at = now;
  search->holder_denied = holder_denied;
  this->sender.Report(FlowEventKind::kSearching, flow).count =
      static_cast<std::uint32_t>(search->candidates.size());
  this->QueryOrEnqueue(now, *search);
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
    const std::vector<ServerKey> ordered =
        OrderServers(this->view.Servers(), service, flow);
    candidates.insert(candidates.end(), ordered.begin(), ordered.end());
  }
  return candidates;
}

void FlowSearcher::NoteHeld(TimePoint now,
                            const FlowNotice& notice,
                            ServerKey server) {
  this->denials.erase(notice.flow);
  FlowSearch* search = this->searches.Find(notice.flow);
  if (search == nullptr) {
    return;
  }
  const ServerEntry* entry = this->view.Servers().Find(server);
  FlowEvent& event = this->sender.Report(FlowEventKind::kFound, notice.flow);
  event.server = entry == nullptr ? std::string() : entry->server.name;
  event.count = static_cast<std::uint32_t>(search->queried);
  event.age = now - search->started_at;
  // The search itself has sent the first packet.
  for (std::size_t i = 1; entry != nullptr && i < search->packets.size(); ++i) {
    this->sender.Forward(*entry, MarkPurpose::kCached,
                         std::move(search->packets[i]));
  }
  this->Erase(*search);
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
    this->congestion_window.NoteAnswered(QueryBytes(*search));
  }
  if (!search->waiting && search->AllAnswered()) {
    this->FinishBatch(now, *search);
  }
  return true;
}

void FlowSearcher::ProcessTimeouts(TimePoint now, Duration response_timeout) {
  for (const FlowKey& flow : this->searches.TimedOut(now, response_timeout)) {
    FlowSearch& search = *this->searches.Find(flow);
    this->congestion_window.NoteTimeout(
        now, search.last_batch_size, search.outstanding,
        search.outstanding * QueryBytes(search));
    search.outstanding = 0;
    this->FinishBatch(now, search);
  }
  this->ProcessQueue(now);
  this->ExpireDenials(now);
}

void FlowSearcher::FinishBatch(TimePoint now, FlowSearch& search) {
  if (search.AllQueried()) {
    this->Finish(now, search);
  } else {
    this->QueryOrEnqueue(now, search);
  }
}

void FlowSearcher::QueryOrEnqueue(TimePoint now, FlowSearch& search) {
  const std::size_t bytes = NextBatchSize(search) * QueryBytes(search);
  if (this->queue.empty() && this->congestion_window.MaySend(bytes)) {
    this->QueryNextBatch(now, search);
    return;
  }
  search.waiting = true;
  this->queue.push_back(search.flow);
}

void FlowSearcher::QueryNextBatch(TimePoint now, FlowSearch& search) {
  const std::size_t batch_size = NextBatchSize(search);
  search.sent_at = now;
  search.waiting = false;
  search.last_batch_size = batch_size;
  search.outstanding = 0;
  for (std::size_t i = 0; i < batch_size; ++i) {
    // A server may have been removed since the candidates were determined.
    if (const ServerEntry* entry =
            this->view.Servers().Find(search.candidates[search.queried + i])) {
      this->sender.Forward(*entry, MarkPurpose::kSearch,
                           search.packets.front());
      ++search.outstanding;
    }
  }
  search.queried += batch_size;
  this->congestion_window.NoteSent(search.outstanding * QueryBytes(search));
}

void FlowSearcher::ProcessQueue(TimePoint now) {
  while (!this->queue.empty()) {
    FlowSearch* search = this->searches.Find(this->queue.front());
    if (search != nullptr && search->waiting) {
      if (now - search->started_at > kMaxQueueTime) {
        this->Finish(now, *search);
      } else if (this->congestion_window.MaySend(NextBatchSize(*search) *
                                                 QueryBytes(*search))) {
        this->QueryNextBatch(now, *search);
      } else {
        return;
      }
    }
    this->queue.pop_front();
  }
}

void FlowSearcher::Finish(TimePoint now, FlowSearch& search) {
  const FlowKey flow = search.flow;
  // While the store is unreachable, a server that this balancer does not know
  // may hold the flow, unless the flow's last holder is known and denied it.
  const bool view_is_complete = this->view.IsLoaded() &&
                                this->gossip.IsCurrent(now, this->view) &&
                                this->gossip.HasSynced(now);
  const bool lost = this->NoServerHolds(now, search) &&
                    (view_is_complete || search.holder_denied);
  FlowEvent& event = this->sender.Report(
      lost ? FlowEventKind::kLost : FlowEventKind::kSearchInconclusive, flow);
  event.count = static_cast<std::uint32_t>(search.queried);
  event.detail = std::to_string(search.answered.size()) + " answered";
  // In this order: the search was queued for too long; the view is complete;
  // the flow's last holder denied it; the view may be incomplete.
  event.reason = search.waiting         ? "no_turn"
                 : view_is_complete     ? "view_whole"
                 : search.holder_denied ? "holder_denied"
                                        : "view_in_doubt";
  event.age = now - search.started_at;
  if (lost) {
    this->denials.erase(flow);
    this->sender.Reset(flow, search.last_acknowledgement);
  } else if (this->denials.size() < kMaxDenials) {
    Denial& denial = this->denials[flow];
    denial.at = now;
    denial.servers.insert(denial.servers.end(), search.answered.begin(),
                          search.answered.end());
  }
  this->Erase(search);
}

void FlowSearcher::Erase(FlowSearch& search) {
  this->congestion_window.ReleaseBytes(search.outstanding * QueryBytes(search));
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
  for (auto entry = this->denials.begin(); entry != this->denials.end();) {
    entry = now - entry->second.at > kDenialLifetime
                ? this->denials.erase(entry)
                : std::next(entry);
  }
}

}  // namespace cactuscross
