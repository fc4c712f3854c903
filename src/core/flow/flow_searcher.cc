#include "src/core/flow/flow_searcher.h"

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

#include "src/core/flow/placement.h"

namespace cactuscross {
namespace {

// IP and UDP headers, which a link carries with each packet.
constexpr std::size_t kDatagramBytes = 28;

// A client sends its packet again within this time, and so begins anew.
constexpr Duration kMostWait{1600000};

// A server that does not hold a flow cannot come to hold it later; clients are
// done with a flow that goes nowhere within seconds.
constexpr Duration kDenialLife{4000000};
constexpr Duration kExpiryInterval{500000};
// 2 MB with 47 servers each.
constexpr std::size_t kMaxDenials = 4096;

std::size_t CostOf(const FlowSearch& search) {
  return search.packets.front().size() + kDatagramBytes;
}

}  // namespace

bool FlowSearcher::Keep(const FlowPacket& packet) {
  FlowSearch* search = this->searches.Find(packet.flow);
  if (search == nullptr) {
    return false;
  }
  KeepPacket(*search, packet.bytes);
  search->last_acknowledgement = packet.acknowledgement;
  return true;
}

void FlowSearcher::Begin(TimePoint now,
                         const FlowKey& flow,
                         const std::vector<ServiceShare>& shares,
                         ByteView packet,
                         std::uint32_t acknowledgement,
                         bool holder_denied) {
  FlowSearch* search = this->searches.Add(flow);
  if (search == nullptr) {
    this->metrics.Count("flow_packets_dropped", "reason", "searches_full");
    return;
  }
  for (const ServiceShare& share : shares) {
    const std::vector<ServerKey> order =
        OrderServers(this->view.Servers(), share.service, flow);
    search->order.insert(search->order.end(), order.begin(), order.end());
  }
  const auto denial = this->denials.find(flow);
  if (denial != this->denials.end()) {
    RemoveDenied(*search, denial->second.servers);
  }
  KeepPacket(*search, packet);
  search->last_acknowledgement = acknowledgement;
  search->began_at = now;
  search->holder_denied = holder_denied;
  this->sender.Report(FlowEventKind::kSearching, flow).tries =
      static_cast<std::uint32_t>(search->order.size());
  this->AskOrWait(now, *search);
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
  event.tries = static_cast<std::uint32_t>(search->asked);
  event.age = now - search->began_at;
  // The first packet was sent by the search itself.
  for (std::size_t i = 1; entry != nullptr && i < search->packets.size(); ++i) {
    this->sender.Forward(*entry, MarkPurpose::kKnown,
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
    this->pace.NoteAnswered(CostOf(*search));
  }
  if (!search->waiting && search->AllAnswered()) {
    this->EndStep(now, *search);
  }
  return true;
}

void FlowSearcher::Continue(TimePoint now, Duration patience) {
  for (const FlowKey& flow : this->searches.Overdue(now, patience)) {
    FlowSearch& search = *this->searches.Find(flow);
    this->pace.NoteOverdue(now, search.last_step, search.outstanding,
                           search.outstanding * CostOf(search));
    search.outstanding = 0;
    this->EndStep(now, search);
  }
  this->ContinueWaiting(now);
  this->ExpireDenials(now);
}

void FlowSearcher::EndStep(TimePoint now, FlowSearch& search) {
  if (search.AllAsked()) {
    this->End(now, search);
  } else {
    this->AskOrWait(now, search);
  }
}

void FlowSearcher::AskOrWait(TimePoint now, FlowSearch& search) {
  const std::size_t bytes = NextStep(search) * CostOf(search);
  if (this->waiting.empty() && this->pace.MayAsk(bytes)) {
    this->AskNextStep(now, search);
    return;
  }
  search.waiting = true;
  this->waiting.push_back(search.flow);
}

void FlowSearcher::AskNextStep(TimePoint now, FlowSearch& search) {
  const std::size_t step = NextStep(search);
  search.asked_at = now;
  search.waiting = false;
  search.last_step = step;
  search.outstanding = 0;
  for (std::size_t i = 0; i < step; ++i) {
    // A server may have been forgotten since the order was made.
    if (const ServerEntry* entry =
            this->view.Servers().Find(search.order[search.asked + i])) {
      this->sender.Forward(*entry, MarkPurpose::kSearch,
                           search.packets.front());
      ++search.outstanding;
    }
  }
  search.asked += step;
  this->pace.NoteAsked(search.outstanding * CostOf(search));
}

void FlowSearcher::ContinueWaiting(TimePoint now) {
  while (!this->waiting.empty()) {
    FlowSearch* search = this->searches.Find(this->waiting.front());
    if (search != nullptr && search->waiting) {
      if (now - search->began_at > kMostWait) {
        this->End(now, *search);
      } else if (this->pace.MayAsk(NextStep(*search) * CostOf(*search))) {
        this->AskNextStep(now, *search);
      } else {
        return;
      }
    }
    this->waiting.pop_front();
  }
}

void FlowSearcher::End(TimePoint now, FlowSearch& search) {
  const FlowKey flow = search.flow;
  // While the store is away, a server that is not known here may hold a flow
  // whose holder was not known either.
  const bool view_is_whole = this->view.IsLoaded() &&
                             this->gossip.IsCurrent(now, this->view) &&
                             this->gossip.IsSettled(now);
  const bool lost =
      this->NobodyHolds(now, search) && (view_is_whole || search.holder_denied);
  FlowEvent& event = this->sender.Report(
      lost ? FlowEventKind::kLost : FlowEventKind::kSearchGaveUp, flow);
  event.tries = static_cast<std::uint32_t>(search.asked);
  event.detail = std::to_string(search.answered.size()) + " answered";
  event.reason = search.waiting         ? "no_turn"
                 : view_is_whole        ? "view_whole"
                 : search.holder_denied ? "holder_denied"
                                        : "view_in_doubt";
  event.age = now - search.began_at;
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
  this->pace.Forget(search.outstanding * CostOf(search));
  this->searches.Erase(FlowKey(search.flow));
}

bool FlowSearcher::NobodyHolds(TimePoint now, const FlowSearch& search) const {
  return std::all_of(
      search.order.begin(), search.order.end(), [&](ServerKey key) {
        const ServerEntry* entry = this->view.Servers().Find(key);
        return search.HasAnswered(key) || entry == nullptr ||
               IsGone(now, *entry);
      });
}

void FlowSearcher::ExpireDenials(TimePoint now) {
  if (now < this->next_expiry) {
    return;
  }
  this->next_expiry = now + kExpiryInterval;
  for (auto entry = this->denials.begin(); entry != this->denials.end();) {
    entry = now - entry->second.at > kDenialLife ? this->denials.erase(entry)
                                                 : std::next(entry);
  }
}

}  // namespace cactuscross
