#include "tests/support/flow_simulation.h"

#include <algorithm>
#include <utility>

#include "tests/support/flow_simulation_impl.h"

namespace cactuscross::testing {

FlowSimulationConfig WorkshopConfig(double load) {
  FlowSimulationConfig config;
  config.services = {{"desk", 8080, 7, 7, 28}, {"parts", 8443, 4, 7, 28}};
  FlowRequestConfig status;
  status.long_flows = true;
  status.per_second = 291 * load;
  FlowRequestConfig claim;
  claim.idempotent = false;
  claim.per_second = 83 * load;
  claim.mean_service_time = Duration(72000);
  claim.latency_target = Duration(300000);
  claim.deadline = Duration(3000000);
  FlowRequestConfig diagram;
  diagram.service = 1;
  diagram.per_second = 25 * load;
  diagram.mean_service_time = Duration(5000);
  diagram.latency_target = Duration(500000);
  diagram.deadline = Duration(5000000);
  config.requests = {status, claim, diagram};
  config.users = 300;
  return config;
}

double FlowTotals::WithinTargetShare() const {
  return this->request_count == 0
             ? 1.0
             : static_cast<double>(this->within_target) /
                   static_cast<double>(this->request_count);
}

double FlowTotals::ServedShare() const {
  return this->request_count == 0
             ? 1.0
             : static_cast<double>(this->within_target + this->late) /
                   static_cast<double>(this->request_count);
}

double FlowOutcomes::Worth() const {
  return this->sent == 0 ? 1.0
                         : (static_cast<double>(this->within_target) +
                            0.3 * static_cast<double>(this->late)) /
                               static_cast<double>(this->sent);
}

FlowSimulation::FlowSimulation(std::uint64_t seed,
                               const FlowSimulationConfig& config)
    : link(seed), impl(std::make_unique<Impl>(*this, config)) {
  this->impl->Start();
  // Processes run for three seconds before the traffic starts.
  this->traffic = false;
  this->link.AdvanceTo(this->link.Now() + std::chrono::seconds(3));
  this->traffic = true;
}

FlowSimulation::~FlowSimulation() = default;

FlowTotals FlowSimulation::Run(Duration time) {
  const FlowTotals before = std::exchange(this->impl->totals, {});
  this->link.AdvanceTo(this->link.Now() + time);
  return this->impl->totals;
}

FlowOutcomes FlowSimulation::OutcomesOf(std::size_t kind,
                                        TimePoint from,
                                        TimePoint until) const {
  FlowOutcomes outcomes;
  const FlowRequestConfig* config = &this->impl->config.requests[kind];
  for (const auto& [id, request] : this->impl->requests) {
    if (request.config != config || request.started_at < from ||
        request.started_at >= until) {
      continue;
    }
    ++outcomes.sent;
    if (request.answered_after.has_value()) {
      ++(*request.answered_after <= config->latency_target
             ? outcomes.within_target
             : outcomes.late);
    }
  }
  return outcomes;
}

void FlowSimulation::StartRequests(std::size_t kind) {
  for (std::size_t user = 0; user < this->impl->config.users; ++user) {
    this->impl->StartRequest(kind, user);
  }
}

void FlowSimulation::KillBalancer(std::size_t index, Duration restart_delay) {
  Impl::Balancer& balancer = this->impl->balancers[index];
  balancer.core.reset();
  balancer.ready = false;
  this->link.Schedule(restart_delay,
                      [this, index] { this->impl->StartBalancer(index); });
}

void FlowSimulation::StopBalancer(std::size_t index) {
  this->impl->balancers[index].stopping = true;
}

void FlowSimulation::KillAgent(std::size_t index, Duration restart_delay) {
  this->impl->servers[index].agent.reset();
  this->link.Schedule(restart_delay,
                      [this, index] { this->impl->StartAgent(index); });
}

void FlowSimulation::PowerOffAll(Duration restart_delay, bool new_names) {
  for (std::size_t i = 0; i < this->impl->balancers.size(); ++i) {
    this->KillBalancer(i, restart_delay);
  }
  for (std::size_t i = 0; i < this->impl->servers.size(); ++i) {
    Impl::Server& server = this->impl->servers[i];
    if (server.removed) {
      continue;
    }
    server.up = false;
    server.silent = true;
    server.agent.reset();
    const std::string name = server.name + (new_names ? "'" : "");
    const Duration server_delay = this->impl->config.server_start_delay;
    this->link.Schedule(restart_delay, [this, i, name, server_delay] {
      if (server_delay == Duration{0}) {
        this->impl->StartServer(i, name);
      } else {
        this->impl->servers[i].silent = false;
        this->link.Schedule(server_delay, [this, i, name] {
          this->impl->StartServer(i, name);
        });
      }
      this->impl->StartAgent(i);
    });
  }
}

void FlowSimulation::SetLookupFault(LookupFault fault) {
  this->impl->lookup_fault = fault;
}

std::uint64_t FlowSimulation::SearchBytes() const {
  return this->impl->search_bytes;
}

std::uint64_t FlowSimulation::LostInUse() const {
  return this->impl->lost_in_use;
}

const std::vector<Duration>& FlowSimulation::LostAges() const {
  return this->impl->lost_ages;
}

TimePoint FlowSimulation::LastLostAt() const {
  return this->impl->last_lost_at;
}

std::size_t FlowSimulation::ServerCount() const {
  return this->impl->servers.size();
}

void FlowSimulation::CrashServer(std::size_t index, bool silent) {
  this->impl->servers[index].up = false;
  this->impl->servers[index].silent = silent;
  this->impl->servers[index].flows.clear();
}

void FlowSimulation::FailServerHost(std::size_t index) {
  Impl::Server& server = this->impl->servers[index];
  server.removed = true;
  server.agent.reset();
  this->CrashServer(index, /*silent=*/true);
}

void FlowSimulation::RestartServer(std::size_t index) {
  this->impl->StartServer(index, this->impl->servers[index].name);
}

void FlowSimulation::DrainServer(std::size_t index) {
  this->impl->servers[index].leaving = true;
  this->impl->PutEntry(index, false);
}

void FlowSimulation::SlowServer(std::size_t index, double factor) {
  this->impl->servers[index].slowdown = factor;
}

void FlowSimulation::SlowLink(std::size_t balancer, double bytes_per_second) {
  this->impl->balancers[balancer].bytes_per_second = bytes_per_second;
}

void FlowSimulation::ReuseHost(std::size_t index, std::size_t service) {
  this->impl->servers[index].service = service;
  this->impl->StartServer(index, this->impl->servers[index].name + "-reused");
  this->impl->StartAgent(index);
}

std::uint32_t FlowSimulation::RunningRequests(std::size_t index) const {
  return this->impl->servers[index].running;
}

void FlowSimulation::SetStoreDown(bool down, bool silent) {
  this->impl->NoteStoreUnsettled(Duration{0});
  this->impl->store_down = down;
  this->impl->store_silent = silent;
}

void FlowSimulation::DropStoreHistory() {
  this->impl->history_start_revision = this->impl->revision + 1;
  ++this->impl->revision;
}

void FlowSimulation::RestoreStore(Duration copy_age) {
  this->impl->RestoreStore(copy_age);
}

void FlowSimulation::SetEntryRemoved(std::size_t index, bool removed) {
  this->impl->PutEntry(index, removed);
}

void FlowSimulation::PutRoute(std::uint16_t port, const std::string& service) {
  this->PutRoute(port, FlowRouteShares{{service, 1}});
}

void FlowSimulation::PutRoute(std::uint16_t port,
                              const FlowRouteShares& shares) {
  this->impl->routes[port] = shares;
  this->impl->PutRoutes();
}

void FlowSimulation::RemoveRoute(std::uint16_t port) {
  this->impl->routes.erase(port);
  this->impl->PutRoutes();
}

void FlowSimulation::SetEvacuated(std::size_t zone, bool evacuated) {
  this->impl->PutZoneOrder("z" + std::to_string(zone), evacuated);
}

void FlowSimulation::IsolateBalancer(std::size_t index, bool isolated) {
  this->impl->balancers[index].isolated = isolated;
}

std::uint64_t FlowSimulation::StoreCalls() const {
  return this->impl->store_calls;
}

bool FlowSimulation::AllReady() const {
  return std::all_of(this->impl->balancers.begin(), this->impl->balancers.end(),
                     [](const Impl::Balancer& balancer) {
                       return balancer.core == nullptr || balancer.ready;
                     });
}

TimePoint FlowSimulation::LastOpeningAt(std::size_t server) const {
  const std::vector<TimePoint>& openings = this->impl->servers[server].openings;
  return openings.empty() ? TimePoint() : openings.back();
}

std::size_t FlowSimulation::MaxOpeningsPerSecond(std::size_t server,
                                                 TimePoint since) const {
  const std::vector<TimePoint>& openings = this->impl->servers[server].openings;
  std::size_t most = 0;
  auto first = std::lower_bound(openings.begin(), openings.end(), since);
  for (auto last = first; last != openings.end(); ++last) {
    while (*last - *first > std::chrono::seconds(1)) {
      ++first;
    }
    most = std::max(most, static_cast<std::size_t>(last - first) + 1);
  }
  return most;
}

std::uint64_t FlowSimulation::EventCount(FlowEventKind kind) const {
  return this->impl->events.at(static_cast<std::size_t>(kind));
}

}  // namespace cactuscross::testing
