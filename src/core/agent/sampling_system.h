#ifndef CACTUSCROSS_SRC_CORE_AGENT_SAMPLING_SYSTEM_H_
#define CACTUSCROSS_SRC_CORE_AGENT_SAMPLING_SYSTEM_H_

// Forwards a message from one agent to the next, in the list of candidates that
// the balancer chose, until it reaches the agent that owns its session, or has
// collected enough load reports to be placed on the least loaded agent (power
// of d choices). A message with a ticket is sent directly to the agent that
// issued the ticket.

#include <optional>

#include "src/core/agent/agent_context.h"

namespace cactuscross {

// Result of placing a request at this agent.
enum class SamplingStep : std::uint8_t {
  kServeHere,
  kForwarded,  // sent to another agent
  kNoAgent,    // no sampled agent accepts new work
};

// Cost of placing one more request or session at an agent.
using PlacementCost = double (*)(const LoadReport& load);
double RequestCost(const LoadReport& load);
double SessionCost(const LoadReport& load);

// How many agents are sampled, and by which cost the request is placed.
struct SamplingPlan {
  PlacementCost cost = nullptr;
  std::size_t min_samples = 1;  // sampled agents that can accept it
  bool sample_all = false;      // sample all candidates
  bool needs_capacity = false;  // prefer agents below their in-flight share
};

class SamplingSystem {
 public:
  explicit SamplingSystem(AgentContext& agent_context)
      : context(agent_context) {}

  // Samples candidates as `plan` specifies, then places the request on the one
  // with the lowest cost.
  SamplingStep Place(ForwardedRequest& request,
                     const LoadReport& own_load,
                     const SamplingPlan& plan);

  // Forwards a message to the next candidate that was not sampled. Returns
  // false if there is none.
  bool ForwardToNext(ForwardedRequest& request, const LoadReport& own_load);

  // Sends a request to the agent `node`. Returns false if the contract does not
  // list that agent, or if the request has reached kMaxHops.
  bool SendTo(NodeId node, ForwardedRequest& request, ForwardKind kind);

 private:
  void RecordSample(ForwardedRequest& request,
                    const LoadReport& own_load) const;
  NodeId NextUnsampled(const ForwardedRequest& request) const;

  AgentContext& context;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_AGENT_SAMPLING_SYSTEM_H_
