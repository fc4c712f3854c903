#include "src/core/flow/placement/service_capacity.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <vector>

namespace cactuscross {
namespace {

// Placement uses capacities if the 90th percentile of a service is larger than
// the 10th by this factor. Figures of equal servers differ by less.
constexpr double kUnevenFactor = 1.5;
constexpr double kLowPercentile = 0.1;
constexpr double kHighPercentile = 0.9;

// A figure older than this is not used. Agents repeat theirs every 0.5 s.
constexpr Duration kMaxFigureAge{2000000};

// A figure further than this factor from the median is limited to it, so that a
// wrong one neither attracts all flows nor keeps a server without any.
constexpr double kMaxDeviation = 4.0;

// Limits the cost in a large fleet: a summary scans all servers of its service.
constexpr Duration kSummaryLifetime{500000};

// Part of its capacity that a server is assumed to have used to complete
// requests since its last notice, while other balancers sent it new ones. With
// none, servers at 90 % utilization were idle between notices, and 15 % of the
// openings were refused.
constexpr double kDrainShare = 0.5;

bool IsMeasured(TimePoint now, const ServerEntry& entry) {
  return entry.capacity > 0 && now - entry.capacity_at < kMaxFigureAge;
}

// Reorders `values`, which are not empty.
double Percentile(std::vector<double>& values, double percentile) {
  const auto nth =
      values.begin() +
      std::lround(percentile * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), nth, values.end());
  return *nth;
}

}  // namespace

double CapacityOf(TimePoint now,
                  const ServerEntry& entry,
                  const ServiceCapacity& service) {
  if (!IsMeasured(now, entry)) {
    return service.median;
  }
  return std::clamp(entry.capacity, service.median / kMaxDeviation,
                    service.median * kMaxDeviation);
}

namespace {

ServiceCapacity Summarize(TimePoint now,
                          const ServerTable& servers,
                          ServiceId service) {
  std::vector<double> capacities;
  std::vector<double> seconds_per_slot;
  std::size_t usable = 0;
  double running = 0;
  double measured_running = 0;
  double measured_capacity = 0;
  double open_flows = 0;
  for (const ServerKey key : servers.OfService(service)) {
    const ServerEntry& entry = *servers.Find(key);
    if (!AcceptsNewFlows(now, entry)) {
      continue;
    }
    ++usable;
    running += entry.load.running;
    open_flows += entry.load.open_flows;
    if (IsMeasured(now, entry)) {
      measured_running += entry.load.running;
      measured_capacity += entry.capacity;
      capacities.push_back(entry.capacity);
      seconds_per_slot.push_back(std::max(entry.server.slots, 1U) /
                                 entry.capacity);
    }
  }
  ServiceCapacity summary;
  // A few figures do not tell whether the others are even.
  if (capacities.size() < 2 || capacities.size() * 2 < usable) {
    return summary;
  }
  const double low = Percentile(capacities, kLowPercentile);
  const double high = Percentile(capacities, kHighPercentile);
  summary.uneven = high >= low * kUnevenFactor;
  if (summary.uneven) {
    summary.median = Percentile(capacities, 0.5);
    summary.max_wait = kMaxLoadPerSlot * Percentile(seconds_per_slot, 0.5);
    summary.load = measured_running / measured_capacity;
    summary.flow_load = open_flows > 0 && running > 0
                            ? std::min(running / open_flows, 1.0)
                            : kIdleFlowLoad;
    for (const ServerKey key : servers.OfService(service)) {
      const ServerEntry& entry = *servers.Find(key);
      if (AcceptsNewFlows(now, entry)) {
        summary.weights.emplace_back(key, CapacityOf(now, entry, summary));
      }
    }
  }
  return summary;
}

}  // namespace

double ExpectedRunning(TimePoint now,
                       const ServerEntry& entry,
                       const ServiceCapacity& service) {
  const double average = service.load * CapacityOf(now, entry, service);
  const double age =
      std::chrono::duration<double>(now - entry.last_agent_notice_at).count();
  return average +
         (entry.load.running - average) * std::exp(-age / service.max_wait);
}

double MinRunning(TimePoint now,
                  const ServerEntry& entry,
                  const ServiceCapacity& service) {
  const double age =
      std::chrono::duration<double>(now - entry.last_agent_notice_at).count();
  const double drained = kDrainShare * CapacityOf(now, entry, service) * age;
  return std::max(entry.load.running - std::floor(drained), 0.0);
}

const ServiceCapacity& ServiceCapacities::Get(TimePoint now,
                                              const ServerTable& servers,
                                              ServiceId service) {
  const auto [found, is_new] = this->services.try_emplace(ToNumber(service));
  Cached& cached = found->second;
  if (is_new || now - cached.computed_at >= kSummaryLifetime) {
    cached.capacity = Summarize(now, servers, service);
    cached.computed_at = now;
  }
  return cached.capacity;
}

}  // namespace cactuscross
