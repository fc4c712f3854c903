#include <utility>

#include "tests/support/flow_simulation_impl.h"

namespace cactuscross::testing {
namespace {

// Factor of the service times during kWarmupTime.
constexpr double kWarmupSlowdown = 1.6;

}  // namespace

void FlowSimulation::Impl::DeliverToServer(std::size_t index,
                                           const Bytes& bytes,
                                           RouteMark mark) {
  Server& server = this->servers[index];
  if (!server.up) {
    return;
  }
  const PacketHeader header = DecodeHeader(bytes);
  const std::uint64_t id = PackFlow(header.flow);
  const auto found = server.flows.find(id);
  if (header.opening) {
    server.openings.push_back(this->simulation.link.Now());
    if (!this->MayOpenAt(header.flow.service_address.port,
                         this->config.services[server.service].name)) {
      this->totals.violations.push_back(
          "flow was opened at a server of the wrong service: " +
          ToString(header.flow));
    }
    Server::Flow& flow = server.flows[id];
    if (flow.sequence == 0) {
      flow.sequence =
          static_cast<std::uint32_t>(this->simulation.link.GetRandom().Next()) |
          1U;
    }
    PacketHeader opening_answer{};
    opening_answer.flow = header.flow;
    opening_answer.opening = true;
    opening_answer.sequence = flow.sequence;
    this->SendFromServer(index, opening_answer);
    return;
  }
  if (found == server.flows.end() ||
      (!found->second.open &&
       header.acknowledgement != found->second.sequence + 1)) {
    this->ReturnToAgent(index, bytes, mark);
    return;
  }
  Server::Flow& flow = found->second;
  flow.open = true;
  if (header.closing || header.reset) {
    server.flows.erase(found);
    return;
  }
  if (flow.answer && flow.last_request == header.sequence) {
    this->SendFromServer(index, *flow.answer);
    return;
  }
  if (flow.last_request == header.sequence) {
    return;  // the request is in progress
  }
  flow.last_request = header.sequence;
  flow.answer.reset();
  const FlowServiceConfig& service = this->config.services[server.service];
  if (server.running < service.slots) {
    this->RunRequest(index, id, header);
  } else if (server.queue.size() < service.queue_capacity) {
    server.queue.emplace_back(
        [this, index, id, header] { this->RunRequest(index, id, header); });
  } else {
    ++this->totals.shed;
    PacketHeader answer = header;
    answer.not_run = true;
    flow.answer = answer;
    this->SendFromServer(index, answer);
  }
}

void FlowSimulation::Impl::RunRequest(std::size_t index,
                                      std::uint64_t flow,
                                      const PacketHeader& header) {
  Server& server = this->servers[index];
  ++server.running;
  ++this->totals.runs;
  Request& request = this->requests[header.request];
  ++request.runs;
  if (request.config != nullptr && !request.config->idempotent &&
      request.runs > 1) {
    this->totals.violations.push_back(
        "request " + std::to_string(header.request) + " ran twice");
  }
  const bool is_warming_up = this->simulation.link.Now() < server.warm_at;
  const double factor =
      server.slowdown * (is_warming_up ? kWarmupSlowdown : 1.0);
  const Duration mean = request.config == nullptr
                            ? Duration{1000}
                            : request.config->mean_service_time;
  const Duration service_time = this->simulation.link.GetRandom().Between(
      Duration(static_cast<std::int64_t>(mean.count() * factor / 2)),
      Duration(static_cast<std::int64_t>(mean.count() * factor * 3 / 2)));
  this->simulation.link.Schedule(
      service_time,
      [this, index, flow, header, incarnation = server.incarnation] {
        Server& server = this->servers[index];
        if (!server.up || server.incarnation != incarnation) {
          return;
        }
        --server.running;
        const auto found = server.flows.find(flow);
        if (found != server.flows.end()) {
          PacketHeader answer = header;
          answer.acknowledgement = header.sequence + header.data_bytes;
          answer.data_bytes = 600;
          found->second.answer = answer;
          this->SendFromServer(index, answer);
        }
        if (!server.queue.empty()) {
          const auto next = std::move(server.queue.front());
          server.queue.pop_front();
          next();
        }
      });
}

void FlowSimulation::Impl::SendFromServer(std::size_t index,
                                          const PacketHeader& header) {
  PacketHeader sent = header;
  sent.from_server = true;
  this->simulation.link.Schedule(kLoopbackDelay,
                                 [this, index, bytes = Encode(sent)] {
                                   FlowAgentInbox inbox;
                                   inbox.from_server.push_back(Decode(bytes));
                                   this->TickAgent(index, inbox);
                                 });
}

void FlowSimulation::Impl::ReturnToAgent(std::size_t index,
                                         const Bytes& bytes,
                                         RouteMark mark) {
  this->simulation.link.Schedule(kLoopbackDelay, [this, index, bytes, mark] {
    FlowAgentInbox inbox;
    inbox.from_server.push_back(Decode(bytes));
    inbox.from_server[0].returned = true;
    inbox.from_server[0].mark.balancer = mark.balancer;
    this->TickAgent(index, inbox);
  });
}

}  // namespace cactuscross::testing
