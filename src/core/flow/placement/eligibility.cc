#include "src/core/flow/placement/eligibility.h"

#include "src/core/flow/placement/evacuated_service.h"

namespace cactuscross {

std::string_view RejectionReason(const FlowRoute& route,
                                 const ServerEntry& entry) {
  if (!NamesService(route, entry.server.service)) {
    return "service_changed";
  }
  if (IsEvacuated(entry)) {
    return kZoneEvacuatedReason;
  }
  return entry.load.down ? "server_down" : std::string_view();
}

}  // namespace cactuscross
