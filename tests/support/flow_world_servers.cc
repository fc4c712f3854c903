#include <utility>

#include "tests/support/flow_world_impl.h"

namespace cactuscross::testing {
namespace {

constexpr double kColdFactor = 1.6;

}  // namespace

void FlowWorld::Impl::AtServer(std::size_t index,
                               const Bytes& bytes,
                               RouteMark mark) {
  Server& server = this->servers[index];
  if (!server.up) {
    return;
  }
  const Head head = DecodeHead(bytes);
  const std::uint64_t id = PackFlow(head.flow);
  const auto found = server.flows.find(id);
  if (head.opening) {
    server.last_opening_at = this->world.link.Now();
    const auto route = this->routes.find(head.flow.service_address.port);
    if (route != this->routes.end() &&
        route->second != this->shape.services[server.service].name) {
      this->totals.violations.push_back("wrong service opened " +
                                        ToString(head.flow));
    }
    Server::Flow& flow = server.flows[id];
    if (flow.sequence == 0) {
      flow.sequence =
          static_cast<std::uint32_t>(this->world.link.GetRandom().Next()) | 1U;
    }
    Head grant{};
    grant.flow = head.flow;
    grant.opening = true;
    grant.sequence = flow.sequence;
    this->FromServer(index, grant);
    return;
  }
  if (found == server.flows.end() ||
      (!found->second.open &&
       head.acknowledgement != found->second.sequence + 1)) {
    this->Return(index, bytes, mark);
    return;
  }
  Server::Flow& flow = found->second;
  flow.open = true;
  if (head.closing || head.reset) {
    server.flows.erase(found);
    return;
  }
  if (flow.answer && flow.last_request == head.sequence) {
    this->FromServer(index, *flow.answer);
    return;
  }
  if (flow.last_request == head.sequence) {
    return;  // in progress
  }
  flow.last_request = head.sequence;
  flow.answer.reset();
  const FlowServiceShape& service = this->shape.services[server.service];
  if (server.running < service.slots) {
    this->RunRequest(index, id, head);
  } else if (server.queue.size() < service.queue) {
    server.queue.emplace_back(
        [this, index, id, head] { this->RunRequest(index, id, head); });
  } else {
    ++this->totals.shed;
    Head answer = head;
    answer.not_run = true;
    flow.answer = answer;
    this->FromServer(index, answer);
  }
}

void FlowWorld::Impl::RunRequest(std::size_t index,
                                 std::uint64_t flow,
                                 const Head& head) {
  Server& server = this->servers[index];
  ++server.running;
  ++this->totals.runs;
  Request& request = this->requests[head.request];
  ++request.runs;
  if (request.shape != nullptr && !request.shape->idempotent &&
      request.runs > 1) {
    this->totals.violations.push_back(
        "request " + std::to_string(head.request) + " ran twice");
  }
  const bool cold = this->world.link.Now() - server.started_at < kColdFor;
  const double factor = server.slow * (cold ? kColdFactor : 1.0);
  const Duration mean =
      request.shape == nullptr ? Duration{1000} : request.shape->work;
  const Duration work = this->world.link.GetRandom().Between(
      Duration(static_cast<std::int64_t>(mean.count() * factor / 2)),
      Duration(static_cast<std::int64_t>(mean.count() * factor * 3 / 2)));
  this->world.link.Schedule(
      work, [this, index, flow, head, incarnation = server.incarnation] {
        Server& server = this->servers[index];
        if (!server.up || server.incarnation != incarnation) {
          return;
        }
        --server.running;
        const auto found = server.flows.find(flow);
        if (found != server.flows.end()) {
          Head answer = head;
          answer.data_bytes = 600;
          found->second.answer = answer;
          this->FromServer(index, answer);
        }
        if (!server.queue.empty()) {
          const auto next = std::move(server.queue.front());
          server.queue.pop_front();
          next();
        }
      });
}

void FlowWorld::Impl::FromServer(std::size_t index, const Head& head) {
  Head sent = head;
  sent.from_server = true;
  this->world.link.Schedule(kOnHost, [this, index, bytes = Encode(sent)] {
    FlowAgentInbox inbox;
    inbox.from_server.push_back(Decode(bytes));
    this->TickAgent(index, inbox);
  });
}

void FlowWorld::Impl::Return(std::size_t index,
                             const Bytes& bytes,
                             RouteMark mark) {
  this->world.link.Schedule(kOnHost, [this, index, bytes, mark] {
    FlowAgentInbox inbox;
    inbox.from_server.push_back(Decode(bytes));
    inbox.from_server[0].returned = true;
    inbox.from_server[0].mark.balancer = mark.balancer;
    this->TickAgent(index, inbox);
  });
}

// Counts events; CACTUSCROSS_FLOW_TRACE=1 also prints them.

}  // namespace cactuscross::testing
