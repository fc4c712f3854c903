#include "src/core/flow/placement/placement.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "src/core/flow/common/flow_hash.h"
#include "src/core/flow/placement/candidate_order.h"

namespace cactuscross {
namespace {

// Number of servers whose load is compared. The first batch of a search
// (kFirstBatchSize) has the same size, because it looks for flows placed here.
constexpr std::size_t kChoices = 3;

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

double ExpectedCompletion(TimePoint now,
                          const ServerEntry& entry,
                          std::string_view own_zone,
                          const ServiceCapacity& service) {
  const double load = ExpectedRunning(now, entry, service) + entry.placed +
                      service.flow_load * entry.load.open_flows + 1.0;
  const double path =
      entry.server.zone != own_zone ? kCrossZoneLoad / service.median : 0.0;
  // A measured capacity includes the effect of warm-up.
  const bool warms_up = now < entry.warmup_ends_at && entry.capacity <= 0;
  return load * (warms_up ? kWarmupLoadFactor : 1.0) /
             CapacityOf(now, entry, service) +
         path;
}

std::uint32_t MaxRunning(TimePoint now,
                         const ServerEntry& entry,
                         const ServiceCapacity& service) {
  if (!service.uneven) {
    return kMaxLoadPerSlot * entry.server.slots;
  }
  const double requests = CapacityOf(now, entry, service) * service.max_wait;
  return std::max(static_cast<std::uint32_t>(std::lround(requests)),
                  entry.server.slots);
}

bool IsSaturated(TimePoint now,
                 const ServerEntry& entry,
                 const ServiceCapacity& service,
                 bool keep_reserve) {
  const std::uint32_t reserve =
      keep_reserve ? std::max(entry.server.slots / kReserveDivisor, 1U) : 0;
  const double running =
      service.uneven ? MinRunning(now, entry, service) : entry.load.running;
  return running + entry.placed + reserve >= MaxRunning(now, entry, service);
}

Placement PlaceFlow(TimePoint now,
                    ServerTable& servers,
                    ServiceId service,
                    const FlowKey& flow,
                    std::string_view own_zone,
                    const std::vector<ServerKey>& excluded,
                    const ServiceCapacity& capacity,
                    bool keep_reserve) {
  Placement best;
  ServerKey suspected = kNoServer;
  double best_score = 0;
  std::size_t compared = 0;
  CandidateOrder order(servers, service, flow, capacity);
  for (ServerKey key = order.Next(); key != kNoServer; key = order.Next()) {
    const ServerEntry* found = servers.Find(key);
    if (found == nullptr || !AcceptsNewFlows(now, *found) ||
        std::find(excluded.begin(), excluded.end(), key) != excluded.end()) {
      continue;
    }
    const ServerEntry& entry = *found;
    if (entry.suspected) {
      suspected = suspected == kNoServer ? key : suspected;
      continue;
    }
    if (HasOffer(now, entry)) {
      return {PlacementStatus::kPlaced, key};
    }
    if (IsSaturated(now, entry, capacity, keep_reserve) ||
        now < entry.paused_until) {
      best.status = compared == 0 ? PlacementStatus::kSaturated : best.status;
      continue;
    }
    const double score =
        capacity.uneven ? ExpectedCompletion(now, entry, own_zone, capacity)
                        : LoadScore(now, entry, own_zone);
    if (compared == 0 || score < best_score) {
      best = {PlacementStatus::kPlaced, key};
      best_score = score;
    }
    if (++compared == kChoices) {
      break;
    }
  }
  if (best.status == PlacementStatus::kNoServer && suspected != kNoServer) {
    return {PlacementStatus::kPlaced, suspected, true};
  }
  return best;
}

}  // namespace cactuscross
