#include "src/core/flow/placement/candidate_order.h"

#include <algorithm>
#include <cmath>

#include "src/core/flow/common/flow_hash.h"

namespace cactuscross {
namespace {

// Weighted rendezvous hashing: with a uniform u in (0, 1), the server with the
// largest capacity / -log(u) is drawn in proportion to its capacity.
double WeightedScore(std::uint64_t hash, double capacity) {
  // The upper 53 bits fit a double exactly.
  const double uniform =
      std::ldexp(static_cast<double>(hash >> 11U) + 0.5, -53);
  return capacity / -std::log(uniform);
}

}  // namespace

CandidateOrder::CandidateOrder(const ServerTable& servers,
                               ServiceId service,
                               const FlowKey& flow,
                               const ServiceCapacity& capacity) {
  if (capacity.uneven) {
    this->weighted.reserve(capacity.weights.size());
    for (const auto& [key, requests] : capacity.weights) {
      const std::uint64_t hash = FlowRendezvousWeight(flow, key);
      this->weighted.emplace_back(WeightedScore(hash, requests), key);
    }
  } else {
    const std::vector<ServerKey>& keys = servers.OfService(service);
    this->unweighted.reserve(keys.size());
    for (const ServerKey key : keys) {
      this->unweighted.emplace_back(FlowRendezvousWeight(flow, key), key);
    }
  }
  std::make_heap(this->unweighted.begin(), this->unweighted.end());
  std::make_heap(this->weighted.begin(), this->weighted.end());
}

ServerKey CandidateOrder::Next() {
  return this->weighted.empty() ? Pop(this->unweighted) : Pop(this->weighted);
}

template <typename Weight>
ServerKey CandidateOrder::Pop(Heap<Weight>& heap) {
  if (heap.empty()) {
    return kNoServer;
  }
  std::pop_heap(heap.begin(), heap.end());
  const ServerKey key = heap.back().second;
  heap.pop_back();
  return key;
}

}  // namespace cactuscross
