#include "src/core/flow/search_table.h"

#include <algorithm>

namespace cactuscross {
namespace {

constexpr std::size_t kMaxPackets = 8;

// A new flow is placed on one of the first three of its order.
constexpr std::size_t kFirstStep = 3;
// Later steps ask more at once, since every step costs the client a round trip.
constexpr std::size_t kLaterStep = 16;

}  // namespace

void KeepPacket(FlowSearch& search, ByteView packet) {
  if (search.packets.size() < kMaxPackets) {
    search.packets.emplace_back(packet.begin(), packet.end());
  }
}

bool NoteDenial(FlowSearch& search, ServerKey server) {
  const auto asked_end =
      search.order.begin() + static_cast<std::ptrdiff_t>(search.asked);
  const bool was_asked =
      std::find(search.order.begin(), asked_end, server) != asked_end;
  if (!was_asked || search.HasAnswered(server)) {
    return false;
  }
  search.answered.push_back(server);
  return true;
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
