#ifndef CACTUSCROSS_AGENT_H_
#define CACTUSCROSS_AGENT_H_

// Interface of one agent. A program constructs the agent, calls Tick() with the
// current time and all received input, and executes the returned actions.

#include <memory>
#include <vector>

#include <nlohmann/json.hpp>

#include "cactuscross/core_dependencies.h"
#include "cactuscross/observation.h"
#include "cactuscross/peer_message.h"
#include "cactuscross/platform_message.h"
#include "cactuscross/server_message.h"
#include "cactuscross/settings.h"

namespace cactuscross {

struct AgentInbox {
  std::vector<PeerEnvelope> peer_envelopes;
  std::vector<ServerResult> server_results;
  std::vector<ServerHealth> server_health;  // results of health checks
  std::vector<PlatformResult> platform_results;
  bool stop_requested = false;  // starts a graceful shutdown; stays true
};

struct AgentOutbox {
  std::vector<PeerEnvelope> peer_envelopes;
  std::vector<ServerCall> server_calls;
  std::vector<CallId> server_cancels;
  bool health_check = false;  // query the server's health endpoint once
  std::vector<PlatformRead> platform_reads;
  std::vector<NodeId> renewed_paths;  // peers to reach from a new source port
  bool may_exit = false;  // after stop_requested: the shutdown is complete
};

class Agent {
 public:
  Agent(const AgentSettings& settings, const CoreDependencies& dependencies);
  ~Agent();
  Agent(const Agent&) = delete;
  Agent& operator=(const Agent&) = delete;

  // Runs every system once. `now` must not decrease between calls. The shell
  // calls this whenever input has arrived, and at least every 10 ms.
  AgentOutbox Tick(TimePoint now, AgentInbox inbox);

  // Returns the complete state, for operators and tests.
  nlohmann::json Dump() const;
  std::vector<MetricSample> Metrics() const;
  std::vector<Decision> Explain(const DecisionQuery& query) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_AGENT_H_
