#ifndef CACTUSCROSS_SRC_CORE_FLOW_PLACEMENT_CANDIDATE_ORDER_H_
#define CACTUSCROSS_SRC_CORE_FLOW_PLACEMENT_CANDIDATE_ORDER_H_

// Order in which the servers of a service become candidates for a new flow.
// Computed as far as it is read, since placement rarely needs more than the
// first three of up to thousands of servers.

#include <utility>
#include <vector>

#include "cactuscross/flow_types.h"
#include "src/core/flow/placement/service_capacity.h"
#include "src/core/flow/view/server_table.h"

namespace cactuscross {

class CandidateOrder {
 public:
  // The rendezvous order of `flow`, or the one weighted by capacity where
  // `capacity` is uneven. The latter has the servers of the summary, which may
  // have been removed since.
  CandidateOrder(const ServerTable& servers,
                 ServiceId service,
                 const FlowKey& flow,
                 const ServiceCapacity& capacity);

  // The next server; kNoServer at the end.
  ServerKey Next();

 private:
  template <typename Weight>
  using Heap = std::vector<std::pair<Weight, ServerKey>>;

  template <typename Weight>
  static ServerKey Pop(Heap<Weight>& heap);

  Heap<std::uint64_t> unweighted;
  Heap<double> weighted;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_PLACEMENT_CANDIDATE_ORDER_H_
