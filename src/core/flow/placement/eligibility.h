#ifndef CACTUSCROSS_SRC_CORE_FLOW_PLACEMENT_ELIGIBILITY_H_
#define CACTUSCROSS_SRC_CORE_FLOW_PLACEMENT_ELIGIBILITY_H_

// Whether a server that an opening was assigned to before may still take it.

#include <string_view>

#include "src/core/flow/view/server_table.h"

namespace cactuscross {

// Why the server of `entry` may take no new flow of `route` now; empty if it
// may. Checked for each transmission of an opening: the route, the server and
// the zone may have changed since it was assigned.
std::string_view RejectionReason(TimePoint now,
                                 const FlowRoute& route,
                                 const ServerEntry& entry);

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_PLACEMENT_ELIGIBILITY_H_
