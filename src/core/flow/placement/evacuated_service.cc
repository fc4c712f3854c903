#include "src/core/flow/placement/evacuated_service.h"

namespace cactuscross {

bool IsServiceEvacuated(TimePoint now,
                        const ServerTable& servers,
                        ServiceId service) {
  bool any_evacuated = false;
  for (const ServerKey key : servers.OfService(service)) {
    const auto found = servers.All().find(key);
    if (found == servers.All().end()) {
      continue;
    }
    const ServerEntry& entry = found->second;
    if (AcceptsNewFlows(now, entry)) {
      return false;
    }
    any_evacuated = any_evacuated ||
                    (entry.listed && IsEvacuated(entry) && !entry.load.down);
  }
  return any_evacuated;
}

}  // namespace cactuscross
