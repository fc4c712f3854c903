#include "src/core/flow/search/search_table.h"

#include <algorithm>

namespace cactuscross {
namespace {

constexpr std::size_t kMaxPackets = 8;

// A new flow is placed on one of the first three candidates that have capacity.
constexpr std::size_t kFirstBatchSize = 3;
// Later batches are larger because every batch costs the client a round trip.
constexpr std::size_t kLaterBatchSize = 16;
// A lookup by key costs so little that the third batch includes all servers.
constexpr std::size_t kSecondBatchEnd = kFirstBatchSize + kLaterBatchSize;

}  // namespace

void AddPacket(FlowSearch& search, ByteView packet) {
  if (search.packets.size() < kMaxPackets) {
    search.packets.emplace_back(packet.begin(), packet.end());
  }
}

bool NoteDenial(FlowSearch& search, ServerKey server) {
  const auto queried_end =
      search.candidates.begin() + static_cast<std::ptrdiff_t>(search.queried);
  const bool was_queried =
      std::find(search.candidates.begin(), queried_end, server) != queried_end;
  if (!was_queried || search.HasAnswered(server)) {
    return false;
  }
  search.answered.push_back(server);
  return true;
}

void RemoveDenied(FlowSearch& search, const std::vector<ServerKey>& servers) {
  const auto denied = [&servers](ServerKey key) {
    return std::find(servers.begin(), servers.end(), key) != servers.end();
  };
  search.candidates.erase(std::remove_if(search.candidates.begin(),
                                         search.candidates.end(), denied),
                          search.candidates.end());
}

bool RemoveLookup(FlowSearch& search, ServerKey server) {
  const auto found =
      std::find(search.lookups.begin(), search.lookups.end(), server);
  if (found == search.lookups.end()) {
    return false;
  }
  search.lookups.erase(found);
  return true;
}

std::size_t NextBatchSize(const FlowSearch& search,
                          bool batched_lookup,
                          bool losses_prevail) {
  const std::size_t left = search.candidates.size() - search.queried;
  if (batched_lookup && (losses_prevail || search.queried >= kSecondBatchEnd)) {
    return left;
  }
  return std::min(search.queried == 0 ? kFirstBatchSize : kLaterBatchSize,
                  left);
}

}  // namespace cactuscross
