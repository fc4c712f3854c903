#ifndef CACTUSCROSS_SRC_CORE_FLOW_PLACEMENT_SERVICE_CAPACITY_H_
#define CACTUSCROSS_SRC_CORE_FLOW_PLACEMENT_SERVICE_CAPACITY_H_

// Capacities of the servers of a service, as measured by their agents, in the
// terms that placement compares servers by.
//
// Handles services whose servers run at different speeds. Where the speeds are
// even or unknown, placement does not use capacities.

#include <cstdint>
#include <unordered_map>
#include <utility>
#include <vector>

#include "src/core/flow/view/server_table.h"

namespace cactuscross {

// Expected number of requests of an open flow that has none in progress, where
// nothing is known of the flows of the service.
inline constexpr double kIdleFlowLoad = 0.05;

// A server gets new flows until it has this many requests, in progress or
// queued, per slot. A request then waits for about one service time, which
// keeps within the response times that operators require.
inline constexpr std::uint32_t kMaxLoadPerSlot = 2;

// Summary of a service, recomputed from time to time rather than per opening.
struct ServiceCapacity {
  // The measured capacities differ so much that placement uses them; the
  // following are set only then.
  bool uneven = false;
  double median = 0;  // requests per second, over the measured servers
  // Time in which a server completes the requests that it may have, seconds.
  double max_wait = 0;
  // Requests in progress per capacity, over the measured servers, seconds.
  double load = 0;
  double flow_load = kIdleFlowLoad;  // expected requests of an open flow
  // CapacityOf() of each server that was usable when the summary was computed,
  // so that an opening does not look up all servers.
  std::vector<std::pair<ServerKey, double>> weights;
};

// Requests per second of `entry`, in a service that is uneven. The median if
// nothing recent is known.
double CapacityOf(TimePoint now,
                  const ServerEntry& entry,
                  const ServiceCapacity& service);

// Requests expected to be in progress on `entry`, in a service that is uneven,
// without those placed since its last notice. A reported load approaches the
// average of the service as it ages: a server reported as full or idle is
// neither for long, and balancers with the same old report must not all select
// the same server.
double ExpectedRunning(TimePoint now,
                       const ServerEntry& entry,
                       const ServiceCapacity& service);

// Optimistic number of requests in progress on `entry`, in a service that is
// uneven, by which saturation is judged. A report that the server is full would
// otherwise leave it idle until the next one. The agent enforces the limit.
double MinRunning(TimePoint now,
                  const ServerEntry& entry,
                  const ServiceCapacity& service);

class ServiceCapacities {
 public:
  // Valid until the next call.
  const ServiceCapacity& Get(TimePoint now,
                             const ServerTable& servers,
                             ServiceId service);

 private:
  struct Cached {
    ServiceCapacity capacity;
    TimePoint computed_at;
  };
  std::unordered_map<std::uint64_t, Cached> services;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_PLACEMENT_SERVICE_CAPACITY_H_
