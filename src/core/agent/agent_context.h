#ifndef CACTUSCROSS_SRC_CORE_AGENT_AGENT_CONTEXT_H_
#define CACTUSCROSS_SRC_CORE_AGENT_AGENT_CONTEXT_H_

// State that the systems of one agent share: time, settings, the control
// plane, the outbox of the current tick, the decision log and the metrics.

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include <boost/random/mersenne_twister.hpp>

#include "cactuscross/agent.h"
#include "cactuscross/policy.h"
#include "src/core/agent/server_monitor.h"
#include "src/core/common/decision_log.h"
#include "src/core/common/metric_set.h"
#include "src/core/common/ticket.h"
#include "src/core/control/control_plane.h"

namespace cactuscross {

// A leaving agent still runs requests with previously issued tickets for this
// time.
inline constexpr Duration kLeavingGrace = std::chrono::seconds(3);

struct AgentContext {
  AgentContext(const AgentSettings& agent_settings,
               const CoreDependencies& dependencies);

  // Starts a tick: clears the outbox, stores the time and updates the leaving
  // state.
  void Begin(TimePoint time, bool stop_requested);

  // Returns the agent's own service in the contract in force.
  ServiceView View() const { return this->control.FindById(this->service); }
  // Returns the entry of `node` in the contract in force, or null.
  const ContractServer* FindServer(NodeId node) const;
  const ContractServer* OwnServer() const {
    return this->FindServer(this->settings.node.node);
  }

  // True while the agent is leaving: it is stopping, its server is draining, or
  // the contract marks it as leaving or no longer lists it.
  bool Leaving() const { return this->leaving; }
  // True while requests with previously issued tickets may be dispatched.
  bool InLeavingGrace() const {
    return !this->leaving || this->now - this->leaving_since < kLeavingGrace;
  }

  NodeId Self() const { return this->settings.node.node; }
  PeerAddress OwnAddress() const;
  void Send(const PeerAddress& to, PeerMessage body);

  // Returns the Retry-After for a refused caller, in seconds: random between
  // `base` and twice `base`, so that callers do not all retry at once.
  std::uint32_t RetryAfter(std::uint32_t base);
  CallId NextCallId() { return CallId{++this->last_call_id}; }
  std::uint32_t RandomBelow(std::uint32_t bound);

  // Adds an entry to the decision log.
  void Record(const Endpoint& caller,
              const Endpoint& service_address,
              ByteView token,
              std::string_view event,
              ResultCode code,
              NodeId chosen,
              std::string_view reason);

  AgentSettings settings;
  ServiceId service;
  const RoutingPolicy& policy;
  Incarnation incarnation;
  TicketKey ticket_key;
  boost::random::mt19937_64 random;
  ControlPlane control;
  ServerMonitor server;
  DecisionLog decisions;
  MetricSet metrics;
  TimePoint now;
  std::optional<TimePoint> started;
  bool stopping = false;
  bool leaving = false;
  TimePoint leaving_since;
  std::vector<PeerAddress> live_balancers;  // updated in Begin()
  AgentOutbox outbox;
  std::uint64_t last_call_id = 0;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_AGENT_AGENT_CONTEXT_H_
