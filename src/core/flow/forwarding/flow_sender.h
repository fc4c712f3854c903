#ifndef CACTUSCROSS_SRC_CORE_FLOW_FORWARDING_FLOW_SENDER_H_
#define CACTUSCROSS_SRC_CORE_FLOW_FORWARDING_FLOW_SENDER_H_

// Collects what a balancer sends and reports during a tick.

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "cactuscross/flow_balancer.h"
#include "cactuscross/flow_event.h"
#include "src/core/flow/view/server_table.h"

namespace cactuscross {

struct LostFlow {
  FlowKey flow;
  TimePoint request_started_at;
};

class FlowSender {
 public:
  explicit FlowSender(const FlowBalancerSettings& settings)
      : settings(settings) {}

  void BeginTick(TimePoint tick_time);

  void Forward(const ServerEntry& entry, MarkPurpose purpose, Bytes bytes);
  // Resets `flow`, which no server holds, at its client. `sequence`: the
  // client's last acknowledgement. `request_started_at`: estimated start of the
  // request that the client will repeat.
  void ResetLost(const FlowKey& flow,
                 std::uint32_t sequence,
                 TimePoint request_started_at);
  // Resets a flow whose route does not exist.
  void ResetUnrouted(const FlowKey& flow, std::uint32_t sequence);
  // Resets a refused opening.
  void ResetOpening(const FlowKey& flow);
  FlowEvent& Report(FlowEventKind kind, const FlowKey& flow);

  // Time of the last reset sent to this client, or nullopt if there was none
  // recently (kResetClientRetention).
  std::optional<TimePoint> LastResetAt(std::uint32_t client_address) const;

  // Flows that ResetLost() has reset in this tick.
  const std::vector<LostFlow>& LostFlows() const { return this->lost_flows; }

  FlowBalancerOutbox& Outbox() { return this->outbox; }

 private:
  void SendReset(const FlowKey& flow, std::uint32_t sequence);

  const FlowBalancerSettings& settings;
  // Clients with a recent reset, and the time of the reset.
  std::unordered_map<std::uint32_t, TimePoint> reset_clients;
  std::vector<LostFlow> lost_flows;
  TimePoint now;
  FlowBalancerOutbox outbox;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_FORWARDING_FLOW_SENDER_H_
