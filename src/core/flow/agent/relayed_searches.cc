#include "src/core/flow/agent/relayed_searches.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cactuscross {
namespace {

// Half of the time after which a balancer repeats its query, so that the answer
// arrives before. Agents answer within a few milliseconds.
constexpr Duration kMaxCollectTime{30000};

// Answers after this time are of no use: the balancer has queried again.
constexpr Duration kLifetime{500000};

// 1 MB if each search awaits 60 hosts.
constexpr std::size_t kMaxSearches = 2048;

OutgoingNotice MakeReply(std::uint32_t balancer,
                         const FlowKey& flow,
                         LookupResult result,
                         std::vector<std::uint32_t> hosts) {
  OutgoingNotice reply;
  reply.host = balancer;
  reply.notice.kind = NoticeKind::kRelayReply;
  reply.notice.lookups = {{flow, result}};
  reply.notice.relay_hosts = std::move(hosts);
  return reply;
}

// Appends the denials in notices of up to kMaxRelayHosts.
void AppendDenials(std::uint32_t balancer,
                   const FlowKey& flow,
                   const std::vector<std::uint32_t>& denied,
                   std::vector<OutgoingNotice>& replies) {
  for (std::size_t first = 0; first < denied.size(); first += kMaxRelayHosts) {
    const std::size_t last = std::min(first + kMaxRelayHosts, denied.size());
    replies.push_back(
        MakeReply(balancer, flow, LookupResult::kNotHeld,
                  {denied.begin() + static_cast<std::ptrdiff_t>(first),
                   denied.begin() + static_cast<std::ptrdiff_t>(last)}));
  }
}

}  // namespace

bool RelayedSearches::Begin(TimePoint now,
                            std::uint32_t balancer,
                            const FlowKey& flow,
                            const std::vector<std::uint32_t>& hosts) {
  const auto found = this->searches.find(flow);
  if (found == this->searches.end() && this->searches.size() >= kMaxSearches) {
    return false;
  }
  Search& search = this->searches[flow];
  if (search.balancer != balancer) {
    // Routers have moved the flow: the other balancer no longer waits.
    search = Search();
    search.balancer = balancer;
  }
  search.begun_at = now;
  for (const std::uint32_t host : hosts) {
    if (std::find(search.awaited.begin(), search.awaited.end(), host) ==
        search.awaited.end()) {
      search.awaited.push_back(host);
    }
  }
  return true;
}

void RelayedSearches::NoteAnswer(std::uint32_t host,
                                 const FlowKey& flow,
                                 LookupResult result) {
  const auto found = this->searches.find(flow);
  if (found == this->searches.end()) {
    return;
  }
  Search& search = found->second;
  const auto awaited =
      std::find(search.awaited.begin(), search.awaited.end(), host);
  if (awaited == search.awaited.end()) {
    return;
  }
  search.awaited.erase(awaited);
  if (result == LookupResult::kHeld) {
    search.holder = host;
  } else {
    search.denied.push_back(host);
  }
}

std::vector<OutgoingNotice> RelayedSearches::TakeReplies(TimePoint now) {
  std::vector<OutgoingNotice> replies;
  for (auto entry = this->searches.begin(); entry != this->searches.end();) {
    const FlowKey& flow = entry->first;
    Search& search = entry->second;
    const Duration age = now - search.begun_at;
    if (search.holder != 0) {
      replies.push_back(MakeReply(search.balancer, flow, LookupResult::kHeld,
                                  {std::exchange(search.holder, 0)}));
    }
    if (search.awaited.empty() || age >= kMaxCollectTime) {
      AppendDenials(search.balancer, flow, std::exchange(search.denied, {}),
                    replies);
    }
    const bool ended = search.awaited.empty() || age >= kLifetime;
    entry = ended ? this->searches.erase(entry) : std::next(entry);
  }
  return replies;
}

}  // namespace cactuscross
