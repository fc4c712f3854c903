#ifndef CACTUSCROSS_SRC_CORE_FLOW_PLACEMENT_SERVICE_CAPACITY_H_
#define CACTUSCROSS_SRC_CORE_FLOW_PLACEMENT_SERVICE_CAPACITY_H_

// Capacities of the servers of a service, as measured by their agents, in the
// terms that placement compares servers by.
//
// Handles services whose servers run at different speeds. Where the speeds are
// even or unknown, placement does not use capacities.

#include <cstdint>
#include <unordered_map>

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
  double flow_load = kIdleFlowLoad;  // expected requests of an open flow
};

// Requests per second of `entry`, in a service that is uneven. The median if
// nothing recent is known.
double CapacityOf(TimePoint now,
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
