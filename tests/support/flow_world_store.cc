#include <utility>

#include "tests/support/flow_world_impl.h"

namespace cactuscross::testing {
namespace {

constexpr Duration kStoreDelay{4000};

}  // namespace

void FlowWorld::Impl::PutEntry(std::size_t index, bool removed) {
  Server& server = this->servers[index];
  Item item;
  item.is_server = true;
  item.removed = removed;
  item.revision = ++this->revision;
  item.server.name = server.name;
  item.server.service =
      MakeServiceId(this->shape.services[server.service].name);
  item.server.host = server.host;
  item.server.zone = "z" + std::to_string(index % this->shape.zones);
  item.server.slots = this->shape.services[server.service].slots;
  item.server.phase =
      server.leaving ? ServerPhase::kLeaving : ServerPhase::kServing;
  const Duration age = this->world.link.Now() - server.started_at;
  item.server.warmup_time = age < kColdFor ? kColdFor - age : Duration{0};
  item.server.started_ms = static_cast<std::uint64_t>(
      server.started_at.time_since_epoch().count() / 1000);
  this->history.push_back(std::move(item));
}

void FlowWorld::Impl::PutRoutes() {
  ++this->routes_version;
  ++this->revision;
}

void FlowWorld::Impl::Call(std::size_t balancer, const StoreCall& call) {
  ++this->store_calls;
  const std::uint64_t start = this->balancers[balancer].start;
  const TimePoint began = this->world.link.Now();
  const bool answered = !this->store_down;
  const auto reply = [this, balancer, start](StoreAnswer answer) {
    if (this->balancers[balancer].start == start) {
      FlowBalancerInbox inbox;
      inbox.store_answers.push_back(std::move(answer));
      this->TickBalancer(balancer, std::move(inbox));
    }
  };
  if (!answered) {
    // A silent store leaves the call to its time limit.
    const Duration after = this->store_silent ? call.timeout : kStoreDelay;
    this->world.link.Schedule(after, [call, reply] {
      StoreAnswer answer;
      answer.subject = call.subject;
      answer.kind = call.kind;
      answer.generation = call.generation;
      reply(std::move(answer));
    });
    return;
  }
  const auto poll = std::make_shared<std::function<void()>>();
  *poll = [this, call, reply, began, poll] {
    StoreAnswer answer = this->AnswerOf(call);
    const bool waits = call.kind == StoreCallKind::kWatch &&
                       answer.status == StoreStatus::kOk &&
                       answer.servers.empty() && answer.routes.empty() &&
                       this->world.link.Now() - began < call.wait;
    if (waits && !this->store_down) {
      this->world.link.Schedule(kTick, *poll);
      return;
    }
    if (this->store_down) {
      answer = StoreAnswer();
      answer.subject = call.subject;
      answer.kind = call.kind;
    }
    answer.generation = call.generation;
    reply(std::move(answer));
    *poll = nullptr;
  };
  this->world.link.Schedule(kStoreDelay, *poll);
}

StoreAnswer FlowWorld::Impl::AnswerOf(const StoreCall& call) const {
  StoreAnswer answer;
  answer.subject = call.subject;
  answer.kind = call.kind;
  answer.status = StoreStatus::kOk;
  answer.revision = this->revision;
  const bool list = call.kind == StoreCallKind::kList;
  if (!list && call.after_revision < this->history_from) {
    answer.status = StoreStatus::kHistoryLost;
    return answer;
  }
  if (call.subject == StoreSubject::kRoutes) {
    if (list || call.after_revision < this->routes_version) {
      RouteSet routes;
      routes.version = this->routes_version;
      for (const auto& [port, service] : this->routes) {
        routes.routes.push_back(
            {{kRouteAddress, port}, {{MakeServiceId(service), 1}}});
      }
      answer.routes.push_back(std::move(routes));
    }
    // Watches of routes continue from a version of their own here.
    answer.revision = this->routes_version;
    return answer;
  }
  std::map<std::string, const Item*> newest;
  for (const Item& item : this->history) {
    newest[item.server.name] = &item;
  }
  for (const Item& item : this->history) {
    const bool wanted = list
                            ? newest[item.server.name] == &item && !item.removed
                            : item.revision > call.after_revision;
    if (wanted) {
      answer.servers.push_back(
          {item.revision, item.server.name, item.removed, item.server});
    }
  }
  return answer;
}

}  // namespace cactuscross::testing
