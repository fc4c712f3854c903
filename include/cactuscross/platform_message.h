#ifndef CACTUSCROSS_PLATFORM_MESSAGE_H_
#define CACTUSCROSS_PLATFORM_MESSAGE_H_

// Reads from the platform: contracts from the configuration service, and the
// list of hosts. The processes never write to the platform.

#include <cstdint>
#include <vector>

#include "cactuscross/peer_message.h"
#include "cactuscross/types.h"

namespace cactuscross {

enum class PlatformReadKind : std::uint8_t {
  kWatchContracts,  // long poll: waits up to `wait` for newer values
  kReadHosts,
};

struct PlatformRead {
  PlatformReadKind kind = PlatformReadKind::kReadHosts;
  ContractVersion since = 0;  // returns only values newer than this
  Duration wait{0};
};

// One process in the platform's host list, which may be stale.
struct HostEntry {
  PeerAddress peer;
  bool leaving = false;
};

// The answer to one PlatformRead.
struct PlatformResult {
  PlatformReadKind kind = PlatformReadKind::kReadHosts;
  bool ok = false;               // false: unreachable or malformed
  ContractVersion revision = 0;  // of the service when it answered
  std::vector<ContractValue> values;
  std::vector<HostEntry> hosts;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_PLATFORM_MESSAGE_H_
