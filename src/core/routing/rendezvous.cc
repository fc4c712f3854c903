#include "src/core/routing/rendezvous.h"

#include <xxhash.h>

namespace cactuscross {

std::uint64_t HashCaller(const Endpoint& caller) {
  const std::uint64_t packed =
      (std::uint64_t{caller.address} << 16U) | caller.port;
  return XXH3_64bits(&packed, sizeof(packed));
}

std::uint64_t RendezvousWeight(const Endpoint& caller, NodeId node) {
  const std::uint64_t key = HashCaller(caller);
  return XXH3_64bits_withSeed(&key, sizeof(key), ToNumber(node));
}

}  // namespace cactuscross
