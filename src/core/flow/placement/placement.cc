#include "src/core/flow/placement/placement.h"

#include <algorithm>
#include <utility>

#include "src/core/flow/common/flow_hash.h"

namespace cactuscross {
namespace {

// Number of servers whose load is compared. The first batch of a search
// (kFirstBatchSize) has the same size, because it looks for flows placed here.
constexpr std::size_t kChoices = 3;

// Expected number of requests of an open flow that has none in progress.
constexpr double kIdleFlowLoad = 0.05;

// A server gets new flows until it has this many requests, in progress or
// queued, per slot. A request then waits for about one service time, which
// keeps within the response times that operators require.
constexpr std::uint32_t kMaxLoadPerSlot = 2;

// Part of a server's slots that flows of the lowest priority leave free while
// those of higher ones have to wait; at least one request.
constexpr std::uint32_t kReserveDivisor = 4;

// A server that has just started takes up to twice as long for a request.
constexpr double kWarmupLoadFactor = 2.0;

// Load in requests that is added to a server in another availability zone. The
// round trip between zones costs about as much as a short wait in the queue.
constexpr double kCrossZoneLoad = 0.25;

}  // namespace

std::vector<ServerKey> OrderServers(const ServerTable& servers,
                                    ServiceId service,
                                    const FlowKey& flow) {
  std::vector<std::pair<std::uint64_t, ServerKey>> weighted;
  for (const ServerKey key : servers.OfService(service)) {
    weighted.emplace_back(FlowRendezvousWeight(flow, key), key);
  }
  std::sort(weighted.rbegin(), weighted.rend());
  std::vector<ServerKey> order;
  order.reserve(weighted.size());
  for (const auto& [weight, key] : weighted) {
    order.push_back(key);
  }
  return order;
}

double LoadScore(TimePoint now,
                 const ServerEntry& entry,
                 std::string_view own_zone) {
  double load =
      entry.load.running + entry.placed + kIdleFlowLoad * entry.load.open_flows;
  if (entry.server.zone != own_zone) {
    load += kCrossZoneLoad;
  }
  const double warmup_factor =
      now < entry.warmup_ends_at ? kWarmupLoadFactor : 1.0;
  return (load + 1.0) * warmup_factor / std::max(entry.server.slots, 1U);
}

std::uint32_t MaxRunning(const ServerEntry& entry) {
  return kMaxLoadPerSlot * entry.server.slots;
}

bool IsSaturated(const ServerEntry& entry, bool keep_reserve) {
  const std::uint32_t reserve =
      keep_reserve ? std::max(entry.server.slots / kReserveDivisor, 1U) : 0;
  return entry.load.running + entry.placed + reserve >= MaxRunning(entry);
}

Placement PlaceFlow(TimePoint now,
                    ServerTable& servers,
                    ServiceId service,
                    const FlowKey& flow,
                    std::string_view own_zone,
                    const std::vector<ServerKey>& excluded,
                    bool keep_reserve) {
  Placement best;
  ServerKey suspected = kNoServer;
  double best_score = 0;
  std::size_t compared = 0;
  for (const ServerKey key : OrderServers(servers, service, flow)) {
    const ServerEntry& entry = *servers.Find(key);
    if (!AcceptsNewFlows(now, entry) ||
        std::find(excluded.begin(), excluded.end(), key) != excluded.end()) {
      continue;
    }
    if (entry.suspected) {
      suspected = suspected == kNoServer ? key : suspected;
      continue;
    }
    if (IsSaturated(entry, keep_reserve) || now < entry.paused_until) {
      best.status = compared == 0 ? PlacementStatus::kSaturated : best.status;
      continue;
    }
    const double score = LoadScore(now, entry, own_zone);
    if (compared == 0 || score < best_score) {
      best = {PlacementStatus::kPlaced, key};
      best_score = score;
    }
    if (++compared == kChoices) {
      break;
    }
  }
  if (best.status == PlacementStatus::kNoServer && suspected != kNoServer) {
    return {PlacementStatus::kPlaced, suspected};
  }
  return best;
}

}  // namespace cactuscross
