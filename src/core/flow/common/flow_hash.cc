#include "src/core/flow/common/flow_hash.h"

#include <xxhash.h>

namespace cactuscross {
namespace {

std::uint64_t HashFlow(const FlowKey& flow, std::uint64_t seed) {
  const std::uint64_t packed[] = {
      (std::uint64_t{flow.client.address} << 16U) | flow.client.port,
      (std::uint64_t{flow.service_address.address} << 16U) |
          flow.service_address.port};
  return XXH3_64bits_withSeed(packed, sizeof(packed), seed);
}

}  // namespace

std::uint64_t FlowRendezvousWeight(const FlowKey& flow, ServerKey server) {
  return HashFlow(flow, ToNumber(server));
}

std::uint32_t FlowHashBelow(const FlowKey& flow, std::uint32_t bound) {
  return static_cast<std::uint32_t>(HashFlow(flow, 0) % bound);
}

}  // namespace cactuscross
