#include "src/core/flow/forwarding/flow_sender.h"

#include <iterator>
#include <utility>

namespace cactuscross {
namespace {

// A client repeats the request of a reset flow at once. An opening that arrives
// later than this after a reset is considered part of another request.
constexpr Duration kResetClientRetention{100000};
constexpr std::size_t kMaxResetClients = 4096;

}  // namespace

void FlowSender::BeginTick(TimePoint tick_time) {
  this->now = tick_time;
  this->outbox = FlowBalancerOutbox();
  this->lost_flows.clear();
  for (auto entry = this->reset_clients.begin();
       entry != this->reset_clients.end();) {
    entry = this->now - entry->second > kResetClientRetention
                ? this->reset_clients.erase(entry)
                : std::next(entry);
  }
}

void FlowSender::Forward(const ServerEntry& entry,
                         MarkPurpose purpose,
                         Bytes bytes) {
  FlowForward forward;
  forward.destination = {entry.server.host, this->settings.node.data.port};
  forward.mark = {purpose, ServiceTag(entry.server.service),
                  this->settings.node.data.address};
  forward.bytes = std::move(bytes);
  this->outbox.forwards.push_back(std::move(forward));
}

void FlowSender::ResetLost(const FlowKey& flow,
                           std::uint32_t sequence,
                           TimePoint request_started_at) {
  this->lost_flows.push_back({flow, request_started_at});
  this->SendReset(flow, sequence);
}

void FlowSender::ResetUnrouted(const FlowKey& flow, std::uint32_t sequence) {
  this->SendReset(flow, sequence);
}

void FlowSender::ResetOpening(const FlowKey& flow) {
  this->SendReset(flow, 0);
}

void FlowSender::SendReset(const FlowKey& flow, std::uint32_t sequence) {
  if (this->reset_clients.size() < kMaxResetClients) {
    this->reset_clients[flow.client.address] = this->now;
  }
  this->outbox.resets.push_back({flow, sequence});
}

FlowEvent& FlowSender::Report(FlowEventKind kind, const FlowKey& flow) {
  FlowEvent& event = this->outbox.events.emplace_back();
  event.kind = kind;
  event.flow = flow;
  return event;
}

std::optional<TimePoint> FlowSender::LastResetAt(
    std::uint32_t client_address) const {
  const auto found = this->reset_clients.find(client_address);
  return found == this->reset_clients.end() ? std::nullopt
                                            : std::optional(found->second);
}

}  // namespace cactuscross
