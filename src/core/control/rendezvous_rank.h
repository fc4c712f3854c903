#ifndef CACTUSCROSS_SRC_CORE_CONTROL_RENDEZVOUS_RANK_H_
#define CACTUSCROSS_SRC_CORE_CONTROL_RENDEZVOUS_RANK_H_

// Rendezvous hashing among processes. For each subject, every process computes
// the same weight of each process; the ones with the highest weights are
// chosen.

#include <array>
#include <cstdint>

#include <xxhash.h>

#include "cactuscross/types.h"

namespace cactuscross {

// Returns the weight of `node` for `subject`.
inline std::uint64_t RendezvousWeight(std::uint64_t subject, NodeId node) {
  const std::array<std::uint64_t, 2> key = {subject, ToNumber(node)};
  return XXH3_64bits(key.data(), sizeof(key));
}

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_CONTROL_RENDEZVOUS_RANK_H_
