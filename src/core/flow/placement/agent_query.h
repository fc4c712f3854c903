#ifndef CACTUSCROSS_SRC_CORE_FLOW_PLACEMENT_AGENT_QUERY_H_
#define CACTUSCROSS_SRC_CORE_FLOW_PLACEMENT_AGENT_QUERY_H_

// When an agent that reports its load has to be queried nevertheless, because a
// query also carries its server's slots and limit of requests in progress.

#include "src/core/flow/view/server_table.h"

namespace cactuscross {

// True if the agent of `entry` works with another limit than `max_running`, or
// is busy and knows none, for instance after a restart.
bool HasOutdatedOrders(TimePoint now,
                       const ServerEntry& entry,
                       std::uint32_t max_running);

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_PLACEMENT_AGENT_QUERY_H_
