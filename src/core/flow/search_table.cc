#include "src/core/flow/search_table.h"

#include <algorithm>

namespace cactuscross {
namespace {

// Each search holds a few packets of 1,236 bytes at most: 40 MB if all are
// full, a few KB on an ordinary day.
constexpr std::size_t kMaxSearches = 4096;
constexpr std::size_t kMaxPackets = 8;

// A new flow is placed on one of the first three of its order.
constexpr std::size_t kFirstStep = 3;
// Later steps ask more at once, since every step costs the client a round trip.
constexpr std::size_t kLaterStep = 16;

}  // namespace

FlowSearch* SearchTable::Find(const FlowKey& flow) {
  const auto found = this->searches.find(flow);
  return found == this->searches.end() ? nullptr : &found->second;
}

FlowSearch* SearchTable::Add(const FlowKey& flow) {
  if (this->searches.size() >= kMaxSearches) {
    return nullptr;
  }
  FlowSearch& search = this->searches[flow];
  search.flow = flow;
  return &search;
}

std::vector<FlowKey> SearchTable::Overdue(TimePoint now,
                                          Duration patience) const {
  std::vector<FlowKey> overdue;
  for (const auto& [flow, search] : this->searches) {
    if (!search.waiting && now - search.asked_at >= patience) {
      overdue.push_back(flow);
    }
  }
  return overdue;
}

void KeepPacket(FlowSearch& search, ByteView packet) {
  if (search.packets.size() < kMaxPackets) {
    search.packets.emplace_back(packet.begin(), packet.end());
  }
}

void NoteNotHeld(FlowSearch& search, ServerKey server) {
  const auto asked_end =
      search.order.begin() + static_cast<std::ptrdiff_t>(search.asked);
  const bool was_asked =
      std::find(search.order.begin(), asked_end, server) != asked_end;
  if (was_asked && !search.HasAnswered(server)) {
    search.answered.push_back(server);
  }
}

void RemoveDenied(FlowSearch& search, const std::vector<ServerKey>& servers) {
  const auto denied = [&servers](ServerKey key) {
    return std::find(servers.begin(), servers.end(), key) != servers.end();
  };
  search.order.erase(
      std::remove_if(search.order.begin(), search.order.end(), denied),
      search.order.end());
}

std::size_t NextStep(const FlowSearch& search) {
  const std::size_t step = search.asked == 0 ? kFirstStep : kLaterStep;
  return std::min(step, search.order.size() - search.asked);
}

}  // namespace cactuscross
