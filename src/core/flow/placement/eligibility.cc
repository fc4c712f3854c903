#include "src/core/flow/placement/eligibility.h"

#include "src/core/flow/placement/evacuated_service.h"

namespace cactuscross {

std::string_view RejectionReason(TimePoint now,
                                 const FlowRoute& route,
                                 const ServerEntry& entry) {
  if (!NamesService(route, entry.server.service)) {
    return "service_changed";
  }
  if (IsEvacuated(entry)) {
    return kZoneEvacuatedReason;
  }
  if (entry.load.down) {
    return "server_down";
  }
  if (entry.server.phase == ServerPhase::kLeaving) {
    return "leaving";
  }
  return AcceptsNewFlows(now, entry) ? std::string_view() : "not_listed";
}

}  // namespace cactuscross
