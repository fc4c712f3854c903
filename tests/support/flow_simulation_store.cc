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
// Unix time at the start of the simulation; a start time of 0 means unknown.
constexpr Duration kUnixTimeAtStart{1000000000};
// New routes must be in force everywhere within this time.
constexpr Duration kRouteChangeTime{3000000};

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
  entry.server.warmup_time =
      std::max(server.warm_at - this->simulation.link.Now(), Duration{0});
  entry.server.started_ms = static_cast<std::uint64_t>(
      (kUnixTimeAtStart + server.started_at.time_since_epoch()).count() / 1000);
  entry.server.report_number = ++server.report_number;
  this->history.push_back(std::move(entry));
}

void FlowSimulation::Impl::PutRoutes() {
  this->routes_version = ++this->written_version;
  this->routes_history.push_back({this->routes_version,
                                  this->simulation.link.Now(), this->routes,
                                  ++this->revision});
  this->written_routes.push_back(this->routes_history.back());
}

void FlowSimulation::Impl::PutZoneOrder(const std::string& zone,
                                        bool evacuated) {
  this->zone_history.push_back(
      {{zone, evacuated, {0, ++this->revision}}, this->simulation.link.Now()});
}

std::map<std::string, ZoneOrder> FlowSimulation::Impl::CurrentOrders() const {
  std::map<std::string, ZoneOrder> current;
  for (const ZoneEntry& entry : this->zone_history) {
    current[entry.order.zone] = entry.order;
  }
  return current;
}

bool FlowSimulation::Impl::MayOpenAt(std::uint16_t port,
                                     const std::string& service) const {
  const auto names = [port, &service](const Routes& routes) {
    const auto found = routes.find(port);
    return found == routes.end() ||
           std::any_of(found->second.begin(), found->second.end(),
                       [&service](const FlowRouteShare& share) {
                         return share.service == service;
                       });
  };
  if (names(this->routes)) {
    return true;
  }
  // A version is in force until a newer one has reached all balancers. This may
  // wait for the store to answer and to have the newest one.
  const TimePoint now = this->simulation.link.Now();
  for (std::size_t i = 0; i + 1 < this->written_routes.size(); ++i) {
    TimePoint replaced_at = this->written_routes[i + 1].written_at;
    if (replaced_at + kRouteChangeTime >= this->store_unsettled_since) {
      replaced_at = std::max(replaced_at,
                             this->store_down ? now : this->store_settled_at);
    }
    if (now - replaced_at <= kRouteChangeTime &&
        names(this->written_routes[i].routes)) {
      return true;
    }
  }
  return false;
}

void FlowSimulation::Impl::NoteStoreUnsettled(Duration time) {
  const TimePoint now = this->simulation.link.Now();
  if (!this->store_down && now > this->store_settled_at + kRouteChangeTime) {
    this->store_unsettled_since = now;
  }
  this->store_settled_at = std::max(this->store_settled_at, now + time);
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
  const std::map<std::string, ZoneOrder> newest_orders = this->CurrentOrders();
  this->zone_history.erase(std::remove_if(this->zone_history.begin(),
                                          this->zone_history.end(), is_lost),
                           this->zone_history.end());
  RoutesEntry newest{this->written_version, link.Now(), this->routes, 0};
  this->routes_version = this->routes_history.back().version;
  this->revision = this->routes_history.back().revision;
  if (!this->history.empty()) {
    this->revision = std::max(this->revision, this->history.back().revision);
  }
  if (!this->zone_history.empty()) {
    this->revision = std::max(
        this->revision, this->zone_history.back().order.position.revision);
  }
  this->history_start_revision =
      std::min(this->history_start_revision, this->revision);
  ++this->store_era;
  this->NoteStoreUnsettled(kOperatorWritesAgain);
  for (std::size_t i = 0; i < this->servers.size(); ++i) {
    link.Schedule(link.GetRandom().Between(Duration{0}, kServersWriteAgain),
                  [this, i, incarnation = this->servers[i].incarnation] {
                    if (this->servers[i].up &&
                        this->servers[i].incarnation == incarnation) {
                      this->PutEntry(i, false);
                    }
                  });
  }
  link.Schedule(kOperatorWritesAgain, [this, newest, newest_orders]() mutable {
    if (this->routes_version < newest.version) {
      this->routes_version = newest.version;
      newest.revision = ++this->revision;
      this->routes_history.push_back(newest);
    }
    for (const auto& [zone, order] : newest_orders) {
      if (this->CurrentOrders()[zone].evacuated != order.evacuated) {
        this->PutZoneOrder(zone, order.evacuated);
      }
    }
  });
}

void FlowSimulation::Impl::CallStore(std::size_t balancer,
                                     const StoreCall& call) {
  ++this->store_calls;
  const std::uint64_t start_count = this->balancers[balancer].start_count;
  const TimePoint call_started_at = this->simulation.link.Now();
  const bool answered =
      !this->store_down && !this->balancers[balancer].isolated;
  const StoreReply reply = [this, balancer, start_count](StoreAnswer answer) {
    if (this->balancers[balancer].start_count == start_count) {
      if (this->balancers[balancer].isolated) {
        answer.status = StoreStatus::kFailed;
        answer.era.reset();
      }
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
      answer.zone_orders.empty() &&
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

// Takes the first kind of request of the route.
void FlowSimulation::Impl::DescribeRequests(std::uint16_t port,
                                            FlowRoute& route) const {
  for (const FlowRequestConfig& request : this->config.requests) {
    if (this->PortOf(request) == port) {
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
  const bool is_compacted = call.after_revision < this->history_start_revision;
  if (!list && (is_compacted || call.after_revision > this->revision)) {
    answer.status = StoreStatus::kHistoryLost;
    return answer;
  }
  if (call.subject == StoreSubject::kRoutes) {
    this->AddOperatorEntries(call, answer);
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

RouteSet FlowSimulation::Impl::MakeRoutes() const {
  RouteSet routes;
  routes.version = this->routes_version;
  for (const auto& [port, shares] : this->routes_history.back().routes) {
    FlowRoute& route = routes.routes.emplace_back();
    route.service_address = {kRouteAddress, port};
    for (const FlowRouteShare& share : shares) {
      route.services.push_back({MakeServiceId(share.service), share.weight});
    }
    if (this->config.priority_admission) {
      this->DescribeRequests(port, route);
    }
  }
  if (this->config.warmup_openings_per_second > 0) {
    for (const FlowServiceConfig& service : this->config.services) {
      routes.warmup_limits.push_back({MakeServiceId(service.name),
                                      this->config.warmup_openings_per_second,
                                      kWarmupTime});
    }
  }
  return routes;
}

void FlowSimulation::Impl::AddOperatorEntries(const StoreCall& call,
                                              StoreAnswer& answer) const {
  const bool list = call.kind == StoreCallKind::kList;
  if (!this->routes_history.empty() &&
      (list || this->routes_history.back().revision > call.after_revision)) {
    answer.routes.push_back(this->MakeRoutes());
  }
  if (this->config.evacuation_bound == Duration{0}) {
    return;  // the prefix of the calls does not include the orders
  }
  for (const auto& [zone, order] : this->CurrentOrders()) {
    if (list ? order.evacuated
             : order.position.revision > call.after_revision) {
      answer.zone_orders.push_back(order);
    }
  }
}

}  // namespace cactuscross::testing
