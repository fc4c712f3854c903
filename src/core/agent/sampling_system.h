#ifndef CACTUSCROSS_SRC_CORE_AGENT_SAMPLING_SYSTEM_H_
#define CACTUSCROSS_SRC_CORE_AGENT_SAMPLING_SYSTEM_H_

// Takes a message along the agents that the balancer named, so that it finds
// the agent that knows it, or else the least loaded one.

#include <optional>

#include "src/core/agent/agent_context.h"

namespace cactuscross {

// What a walk decided at this agent.
enum class SamplingStep : std::uint8_t {
  kServeHere,
  kForwarded,  // sent on to another agent
  kNoAgent,    // no visited agent takes new work
};

// Cost of placing one more request or session at an agent.
using PlacementCost = double (*)(const LoadReport& load);
double RequestCost(const LoadReport& load);
double SessionCost(const LoadReport& load);

// How far a walk goes, and where it places.
struct SamplingPlan {
  PlacementCost cost = nullptr;
  std::size_t min_samples = 1;  // agents that can take it
  bool sample_all = false;      // all named agents
  bool needs_capacity = false;  // in the share of requests in flight
};

class SamplingSystem {
 public:
  explicit SamplingSystem(AgentContext& agent_context)
      : context(agent_context) {}

  // Visits named agents as `plan` says, then places the request on the
  // cheapest of them.
  SamplingStep Place(ForwardedRequest& request,
                     const LoadReport& own_load,
                     const SamplingPlan& plan);

  // Sends a message on to the next agent that was not visited. Returns false
  // if there is none.
  bool ForwardToNext(ForwardedRequest& request, const LoadReport& own_load);

  // Sends a request to the agent that its ticket names. Returns false if the
  // contract does not list it.
  bool SendTo(NodeId node, ForwardedRequest& request, ForwardKind kind);

 private:
  void RecordSample(ForwardedRequest& request,
                    const LoadReport& own_load) const;
  NodeId NextUnsampled(const ForwardedRequest& request) const;

  AgentContext& context;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_AGENT_SAMPLING_SYSTEM_H_
