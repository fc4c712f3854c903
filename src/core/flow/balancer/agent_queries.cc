#include "src/core/flow/balancer/agent_queries.h"

#include <algorithm>
#include <string>

#include "src/core/flow/placement/placement.h"

namespace cactuscross {
namespace {

// Interval at which an order is repeated to an agent that answers but has not
// confirmed it. An order has to be in force within seconds, also if some
// datagrams are lost.
constexpr Duration kOrderRetryInterval{100000};

// Interval of the first queries to an agent, doubled after each one that it
// leaves unanswered, up to kQueryInterval.
constexpr Duration kMinFirstQueryInterval{50000};
constexpr std::uint32_t kMaxQueryDoublings = 8;

// A fifth of the window in which an agent counts openings (one second), so that
// a server that may take openings again is not left idle for long.
constexpr Duration kRateLimitPause{200000};

// Time left until the server is warm. A server is cold again after its zone has
// returned, which its entry reports some time later.
Duration WarmupRemaining(TimePoint now,
                         const ServerEntry& entry,
                         const WarmupLimit& limit) {
  TimePoint warm_at = entry.warmup_ends_at;
  if (entry.zone_returned_at != TimePoint()) {
    warm_at = std::max(warm_at, entry.zone_returned_at + limit.warmup_time);
  }
  return std::max(warm_at - now, Duration{0});
}

// Returns the limit of a server that warms up, or null if it has none.
const WarmupLimit* FindLimit(TimePoint now,
                             const StoreView& view,
                             const ServerEntry& entry) {
  const WarmupLimit* limit =
      view.Routes().FindWarmupLimit(entry.server.service);
  const bool applies =
      limit != nullptr && WarmupRemaining(now, entry, *limit) > Duration{0};
  return applies ? limit : nullptr;
}

// Returns whether the agent's notices contradict the state of its zone.
bool IsUnconfirmed(const StoreView& view, const ServerEntry& entry) {
  if (entry.load.evacuated == entry.zone_evacuated) {
    return false;
  }
  return view.Orders()
             .StateOf(entry.server.zone, view.OrdersReadPosition())
             .position.revision > 0;
}

}  // namespace

Duration QueryInterval(const ServerEntry& entry) {
  if (entry.agent_notice_received) {
    return kQueryInterval;
  }
  const std::uint32_t doublings =
      std::min(entry.unheard_queries, kMaxQueryDoublings);
  return std::min(kMinFirstQueryInterval * (1U << doublings), kQueryInterval);
}

AgentOrders MakeAgentOrders(TimePoint now,
                            const StoreView& view,
                            const ServerEntry& entry) {
  AgentOrders orders;
  const ZoneOrder order =
      view.Orders().StateOf(entry.server.zone, view.OrdersReadPosition());
  orders.evacuated = order.evacuated;
  orders.evacuation_position = order.position;
  orders.slots = entry.server.slots;
  // Also for a warm server: the agent may know better that it has just started.
  if (const WarmupLimit* limit =
          view.Routes().FindWarmupLimit(entry.server.service)) {
    orders.warmup_openings_per_second = limit->openings_per_second;
    orders.warmup_remaining = WarmupRemaining(now, entry, *limit);
  }
  return orders;
}

bool AreOrdersDue(TimePoint now,
                  const StoreView& view,
                  const ServerEntry& entry) {
  const Duration since = now - entry.queried_at;
  if (IsUnconfirmed(view, entry)) {
    // An agent that does not answer at all may have left.
    const bool answers = entry.agent_notice_received &&
                         now - entry.last_agent_notice_at <= kQueryInterval;
    return entry.orders_changed ||
           since >= (answers ? kOrderRetryInterval : kQueryInterval);
  }
  const bool has_limit = FindLimit(now, view, entry) != nullptr;
  // An agent that refuses openings while no limit is known has restarted and
  // waits to be told so.
  return entry.orders_changed ? has_limit || now < entry.paused_until
                              : has_limit && since >= kQueryInterval;
}

void PauseIfRateLimited(TimePoint now,
                        const ServiceCapacity& capacity,
                        ServerEntry& entry) {
  if (!IsSaturated(now, entry, capacity)) {
    entry.paused_until = now + kRateLimitPause;
    entry.orders_changed = true;
  }
}

bool HasWarmupBound(const FlowNodeSettings& settings) {
  return settings.warmup_overshoot > 0 || settings.warmup_slack > 0;
}

void AppendZoneMetrics(const StoreView& view,
                       std::vector<MetricSample>& samples) {
  for (const ZoneOrder& order : view.Orders().All()) {
    std::uint64_t open_flows = 0;
    for (const auto& [key, entry] : view.Servers().All()) {
      open_flows += entry.server.zone == order.zone ? entry.load.open_flows : 0;
    }
    const std::string labels = "zone=\"" + order.zone + "\"";
    samples.push_back({"flow_zone_evacuated", MetricKind::kGauge, labels,
                       order.evacuated ? 1.0 : 0.0});
    samples.push_back({"flow_zone_open_flows", MetricKind::kGauge, labels,
                       static_cast<double>(open_flows)});
  }
}

}  // namespace cactuscross
