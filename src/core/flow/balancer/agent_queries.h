#ifndef CACTUSCROSS_SRC_CORE_FLOW_BALANCER_AGENT_QUERIES_H_
#define CACTUSCROSS_SRC_CORE_FLOW_BALANCER_AGENT_QUERIES_H_

// What a balancer tells agents with its queries: the operator's order for the
// zone of their server, until the agent confirms it, and the limit of a server
// that warms up, every second.

#include <vector>

#include "cactuscross/flow_message.h"
#include "cactuscross/flow_settings.h"
#include "cactuscross/observation.h"
#include "src/core/flow/placement/service_capacity.h"
#include "src/core/flow/view/store_view.h"

namespace cactuscross {

// An agent that sent no notice for this time is queried for its load. Agents
// send their load unprompted to balancers that have contacted them within
// seconds. Also the interval at which a server that warms up is told its limit.
inline constexpr Duration kQueryInterval{1000000};

// Time between two queries to the agent of `entry` without other reason. An
// agent that has not answered yet is queried more often at first: it may be
// starting at the same time as this process.
Duration QueryInterval(const ServerEntry& entry);

// What the agent of `entry` has to know of its server.
AgentOrders MakeAgentOrders(TimePoint now,
                            const StoreView& view,
                            const ServerEntry& entry);

// True if the agent of `entry` has to be queried now because it has not
// confirmed the state of its zone, or because the server warms up and has a
// limit.
bool AreOrdersDue(TimePoint now,
                  const StoreView& view,
                  const ServerEntry& entry);

// Suspends placement on a server whose agent refused an opening although the
// server has free capacity, because a limit of openings per second is reached.
void PauseIfRateLimited(TimePoint now,
                        const ServiceCapacity& capacity,
                        ServerEntry& entry);

// True if the settings bound the openings of servers that warm up.
bool HasWarmupBound(const FlowNodeSettings& settings);

// Appends for each zone with an order whether it is evacuated, and how many
// flows are open on its servers.
void AppendZoneMetrics(const StoreView& view,
                       std::vector<MetricSample>& samples);

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_BALANCER_AGENT_QUERIES_H_
