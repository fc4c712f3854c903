#ifndef CACTUSCROSS_SRC_CORE_FLOW_PLACEMENT_EVACUATED_SERVICE_H_
#define CACTUSCROSS_SRC_CORE_FLOW_PLACEMENT_EVACUATED_SERVICE_H_

// Tells why a service has no server for a new flow: the operator's order to
// evacuate zones, or the state of its servers.

#include <string_view>

#include "src/core/flow/view/server_table.h"

namespace cactuscross {

// Reason of openings that are refused, or sent to another server, because of an
// order to evacuate a zone.
inline constexpr std::string_view kZoneEvacuatedReason = "zone_evacuated";

// True if no server of `service` accepts new flows, and at least one of them
// would if its zone were not evacuated.
bool IsServiceEvacuated(TimePoint now,
                        const ServerTable& servers,
                        ServiceId service);

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_PLACEMENT_EVACUATED_SERVICE_H_
