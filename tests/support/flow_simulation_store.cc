#include <algorithm>
#include <utility>

#include "tests/support/flow_simulation_impl.h"

namespace cactuscross::testing {
namespace {

// Response time of the store in microseconds.
constexpr Duration kStoreDelay{4000};
// After the store has come back from a copy, servers and the operator write
// again what they had written within these times.
constexpr Duration kServersWriteAgain{2000000};
constexpr Duration kOperatorWritesAgain{1000000};

}  // namespace

void FlowSimulation::Impl::PutEntry(std::size_t index, bool removed) {
  Server& server = this->servers[index];
  StoreEntry entry;
  entry.is_server = true;
  entry.removed = removed;
  entry.revision = ++this->revision;
  entry.written_at = this->simulation.link.Now();
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
  entry.server.report_number = ++server.report_number;
  this->history.push_back(std::move(entry));
}

void FlowSimulation::Impl::PutRoutes() {
  this->routes_version = ++this->written_version;
  ++this->revision;
  this->routes_history.push_back(
      {this->routes_version, this->simulation.link.Now(), this->routes});
}

void FlowSimulation::Impl::RestoreStore(Duration copy_age) {
  Link& link = this->simulation.link;
  const TimePoint copied_at = link.Now() - copy_age;
  const auto is_lost = [copied_at](const auto& entry) {
    return entry.written_at > copied_at;
  };
  this->history.erase(
      std::remove_if(this->history.begin(), this->history.end(), is_lost),
      this->history.end());
  this->routes_history.erase(
      std::remove_if(this->routes_history.begin() + 1,
                     this->routes_history.end(), is_lost),
      this->routes_history.end());
  const RoutesEntry newest{this->written_version, link.Now(), this->routes};
  this->routes_version = this->routes_history.back().version;
  this->revision = this->history.empty() ? 1 : this->history.back().revision;
  this->history_start_revision =
      std::min(this->history_start_revision, this->revision);
  ++this->store_era;
  for (std::size_t i = 0; i < this->servers.size(); ++i) {
    link.Schedule(link.GetRandom().Between(Duration{0}, kServersWriteAgain),
                  [this, i, incarnation = this->servers[i].incarnation] {
                    if (this->servers[i].up &&
                        this->servers[i].incarnation == incarnation) {
                      this->PutEntry(i, false);
                    }
                  });
  }
  link.Schedule(kOperatorWritesAgain, [this, newest] {
    if (this->routes_version < newest.version) {
      this->routes_version = newest.version;
      this->routes_history.push_back(newest);
    }
  });
}

void FlowSimulation::Impl::CallStore(std::size_t balancer,
                                     const StoreCall& call) {
  ++this->store_calls;
  const std::uint64_t start_count = this->balancers[balancer].start_count;
  const TimePoint call_started_at = this->simulation.link.Now();
  const bool answered = !this->store_down;
  const StoreReply reply = [this, balancer, start_count](StoreAnswer answer) {
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
  this->simulation.link.Schedule(
      kStoreDelay, [this, call, call_started_at, reply] {
        this->AnswerOrWait(call, call_started_at, reply);
      });
}

void FlowSimulation::Impl::AnswerOrWait(const StoreCall& call,
                                        TimePoint call_started_at,
                                        const StoreReply& reply) {
  StoreAnswer answer = this->MakeStoreAnswer(call);
  const bool keeps_waiting =
      call.kind == StoreCallKind::kWatch && answer.status == StoreStatus::kOk &&
      answer.servers.empty() && answer.routes.empty() &&
      this->simulation.link.Now() - call_started_at < call.wait;
  if (keeps_waiting && !this->store_down) {
    this->simulation.link.Schedule(
        kTickInterval, [this, call, call_started_at, reply] {
          this->AnswerOrWait(call, call_started_at, reply);
        });
    return;
  }
  if (this->store_down) {
    answer = StoreAnswer();
    answer.subject = call.subject;
    answer.kind = call.kind;
  }
  answer.generation = call.generation;
  reply(std::move(answer));
}

// Takes the first kind of request of the service.
void FlowSimulation::Impl::DescribeRequests(const std::string& service,
                                            FlowRoute& route) const {
  for (const FlowRequestConfig& request : this->config.requests) {
    if (this->config.services[request.service].name == service) {
      route.latency_target = request.latency_target;
      route.time_limit = request.deadline;
      route.priority = request.priority;
      return;
    }
  }
}

StoreAnswer FlowSimulation::Impl::MakeStoreAnswer(const StoreCall& call) const {
  StoreAnswer answer;
  answer.subject = call.subject;
  answer.kind = call.kind;
  answer.status = StoreStatus::kOk;
  answer.revision = this->revision;
  answer.era = this->store_era;
  const bool list = call.kind == StoreCallKind::kList;
  const std::uint64_t newest_revision = call.subject == StoreSubject::kRoutes
                                            ? this->routes_version
                                            : this->revision;
  const bool is_compacted = call.subject == StoreSubject::kServers &&
                            call.after_revision < this->history_start_revision;
  if (!list && (is_compacted || call.after_revision > newest_revision)) {
    answer.status = StoreStatus::kHistoryLost;
    return answer;
  }
  if (call.subject == StoreSubject::kRoutes) {
    if (this->routes_version > 0 &&
        (list || call.after_revision < this->routes_version)) {
      RouteSet routes;
      routes.version = this->routes_version;
      for (const auto& [port, service] : this->routes_history.back().routes) {
        FlowRoute& route = routes.routes.emplace_back();
        route.service_address = {kRouteAddress, port};
        route.services = {{MakeServiceId(service), 1}};
        if (this->config.priority_admission) {
          this->DescribeRequests(service, route);
        }
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
      answer.servers.push_back({{0, entry.revision},
                                entry.server.name,
                                entry.removed,
                                entry.server});
    }
  }
  return answer;
}

}  // namespace cactuscross::testing
