#include "src/core/flow/balancer/offer_requests.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <utility>

namespace cactuscross {
namespace {

// Bounds the messages of a balancer in a large fleet. Each server is asked by
// this many times the balancers for each server. One that no balancer asks gets
// openings by its load notices.
constexpr std::size_t kMaxServers = 8;

// Minimum time between two requests because of a more urgent opening.
constexpr Duration kMinInterval{20000};

}  // namespace

std::vector<ServerKey> OfferRequests::TakeDue(TimePoint now,
                                              const ServerTable& servers,
                                              ServiceId service,
                                              const WaitingOpenings& waiting) {
  Request& request = this->requests[ToNumber(service)];
  const Duration interval =
      waiting.rank < request.rank ? kMinInterval : kOfferRequestInterval;
  if (now - request.sent_at < interval) {
    return {};
  }
  request = {now, waiting.rank};
  std::vector<std::pair<std::uint64_t, ServerKey>> weighted;
  for (const ServerKey key : servers.OfService(service)) {
    const ServerEntry& entry = *servers.Find(key);
    if (AcceptsNewFlows(now, entry) && !entry.suspected) {
      const std::array<std::uint64_t, 2> pair = {this->balancer, ToNumber(key)};
      weighted.emplace_back(XXH3_64bits(pair.data(), sizeof(pair)), key);
    }
  }
  const std::size_t count = std::min(kMaxServers, weighted.size());
  const auto end = weighted.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(weighted.begin(), end, weighted.end());
  std::vector<ServerKey> keys;
  std::transform(weighted.begin(), end, std::back_inserter(keys),
                 [](const auto& entry) { return entry.second; });
  return keys;
}

}  // namespace cactuscross
