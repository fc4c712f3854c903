#include <utility>

#include "tests/support/flow_simulation_impl.h"

namespace cactuscross::testing {
namespace {

// Response time of the store in microseconds.
constexpr Duration kStoreDelay{4000};

}  // namespace

void FlowSimulation::Impl::PutEntry(std::size_t index, bool removed) {
  Server& server = this->servers[index];
  StoreEntry entry;
  entry.is_server = true;
  entry.removed = removed;
  entry.revision = ++this->revision;
  entry.server.name = server.name;
  entry.server.service =
      MakeServiceId(this->config.services[server.service].name);
  entry.server.host = server.host;
  entry.server.zone = "z" + std::to_string(index % this->config.zones);
  entry.server.slots = this->config.services[server.service].slots;
  entry.server.phase =
      server.leaving ? ServerPhase::kLeaving : ServerPhase::kServing;
  const Duration age = this->simulation.link.Now() - server.started_at;
  entry.server.warmup_time =
      age < kWarmupTime ? kWarmupTime - age : Duration{0};
  entry.server.started_ms = static_cast<std::uint64_t>(
      server.started_at.time_since_epoch().count() / 1000);
  this->history.push_back(std::move(entry));
}

void FlowSimulation::Impl::PutRoutes() {
  ++this->routes_version;
  ++this->revision;
}

void FlowSimulation::Impl::CallStore(std::size_t balancer,
                                     const StoreCall& call) {
  ++this->store_calls;
  const std::uint64_t start_count = this->balancers[balancer].start_count;
  const TimePoint call_started_at = this->simulation.link.Now();
  const bool answered = !this->store_down;
  const auto reply = [this, balancer, start_count](StoreAnswer answer) {
    if (this->balancers[balancer].start_count == start_count) {
      FlowBalancerInbox inbox;
      inbox.store_answers.push_back(std::move(answer));
      this->TickBalancer(balancer, std::move(inbox));
    }
  };
  if (!answered) {
    // A call to a silent store ends with the caller's timeout.
    const Duration after = this->store_silent ? call.timeout : kStoreDelay;
    this->simulation.link.Schedule(after, [call, reply] {
      StoreAnswer answer;
      answer.subject = call.subject;
      answer.kind = call.kind;
      answer.generation = call.generation;
      reply(std::move(answer));
    });
    return;
  }
  const auto poll = std::make_shared<std::function<void()>>();
  *poll = [this, call, reply, call_started_at, poll] {
    StoreAnswer answer = this->MakeStoreAnswer(call);
    const bool keeps_waiting =
        call.kind == StoreCallKind::kWatch &&
        answer.status == StoreStatus::kOk && answer.servers.empty() &&
        answer.routes.empty() &&
        this->simulation.link.Now() - call_started_at < call.wait;
    if (keeps_waiting && !this->store_down) {
      this->simulation.link.Schedule(kTickInterval, *poll);
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
  this->simulation.link.Schedule(kStoreDelay, *poll);
}

StoreAnswer FlowSimulation::Impl::MakeStoreAnswer(const StoreCall& call) const {
  StoreAnswer answer;
  answer.subject = call.subject;
  answer.kind = call.kind;
  answer.status = StoreStatus::kOk;
  answer.revision = this->revision;
  const bool list = call.kind == StoreCallKind::kList;
  if (!list && call.after_revision < this->history_start_revision) {
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
    // Watches of routes continue from the version of the routes, not from the
    // revision of the store.
    answer.revision = this->routes_version;
    return answer;
  }
  std::map<std::string, const StoreEntry*> newest;
  for (const StoreEntry& entry : this->history) {
    newest[entry.server.name] = &entry;
  }
  for (const StoreEntry& entry : this->history) {
    const bool is_included =
        list ? newest[entry.server.name] == &entry && !entry.removed
             : entry.revision > call.after_revision;
    if (is_included) {
      answer.servers.push_back(
          {entry.revision, entry.server.name, entry.removed, entry.server});
    }
  }
  return answer;
}

}  // namespace cactuscross::testing
