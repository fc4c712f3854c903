#include "src/core/flow/placement/agent_query.h"

#include <algorithm>

namespace cactuscross {
namespace {

// Limits of balancers differ a little as the measured capacities vary. That is
// not worth a query to each agent every second, on 3 KB/s of control traffic.
constexpr std::uint32_t kMinTolerance = 1;
constexpr std::uint32_t kToleranceDivisor = 8;

// Interval of queries to a busy agent that knows no limit. An agent of an
// earlier version never reports one.
constexpr Duration kUnknownLimitInterval{4000000};

}  // namespace

bool HasOutdatedOrders(TimePoint now,
                       const ServerEntry& entry,
                       std::uint32_t max_running) {
  const std::uint32_t known = entry.agent_max_running;
  if (known == 0) {
    return entry.load.running > 0 &&
           now - entry.queried_at >= kUnknownLimitInterval;
  }
  const std::uint32_t tolerance =
      std::max(max_running / kToleranceDivisor, kMinTolerance);
  return known > max_running + tolerance || max_running > known + tolerance;
}

}  // namespace cactuscross
