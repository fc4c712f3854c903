#include "tests/support/flow_world.h"

#include <algorithm>
#include <utility>

#include "tests/support/flow_world_impl.h"

namespace cactuscross::testing {

FlowWorldShape WorkshopShape(double load) {
  FlowWorldShape shape;
  shape.services = {{"desk", 8080, 7, 7, 28}, {"parts", 8443, 4, 7, 28}};
  FlowRequestShape status;
  status.long_flows = true;
  status.per_second = 291 * load;
  FlowRequestShape claim;
  claim.idempotent = false;
  claim.per_second = 83 * load;
  claim.work = Duration(72000);
  claim.aim = Duration(300000);
  claim.deadline = Duration(3000000);
  FlowRequestShape diagram;
  diagram.service = 1;
  diagram.per_second = 25 * load;
  diagram.work = Duration(5000);
  diagram.aim = Duration(500000);
  diagram.deadline = Duration(5000000);
  shape.requests = {status, claim, diagram};
  shape.users = 300;
  return shape;
}

double FlowTotals::InAimShare() const {
  return this->asked == 0 ? 1.0
                          : static_cast<double>(this->in_aim) /
                                static_cast<double>(this->asked);
}

double FlowTotals::ServedShare() const {
  return this->asked == 0 ? 1.0
                          : static_cast<double>(this->in_aim + this->late) /
                                static_cast<double>(this->asked);
}

FlowWorld::FlowWorld(std::uint64_t seed, const FlowWorldShape& shape)
    : link(seed), impl(std::make_unique<Impl>(*this, shape)) {
  this->impl->Start();
  // Processes start some seconds before the traffic.
  this->traffic = false;
  this->link.AdvanceTo(this->link.Now() + std::chrono::seconds(3));
  this->traffic = true;
}

FlowWorld::~FlowWorld() = default;

FlowTotals FlowWorld::Run(Duration time) {
  const FlowTotals before = std::exchange(this->impl->totals, {});
  this->link.AdvanceTo(this->link.Now() + time);
  return this->impl->totals;
}

void FlowWorld::KillBalancer(std::size_t index, Duration pause) {
  Impl::Balancer& balancer = this->impl->balancers[index];
  balancer.core.reset();
  balancer.ready = false;
  this->link.Schedule(pause,
                      [this, index] { this->impl->StartBalancer(index); });
}

void FlowWorld::StopBalancer(std::size_t index) {
  this->impl->balancers[index].stopping = true;
}

void FlowWorld::KillAgent(std::size_t index, Duration pause) {
  this->impl->servers[index].agent.reset();
  this->link.Schedule(pause, [this, index] { this->impl->StartAgent(index); });
}

void FlowWorld::PowerOffAll(Duration pause, bool new_names) {
  for (std::size_t i = 0; i < this->impl->balancers.size(); ++i) {
    this->KillBalancer(i, pause);
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
    this->link.Schedule(pause, [this, i, name] {
      this->impl->StartServer(i, name);
      this->impl->StartAgent(i);
    });
  }
}

std::size_t FlowWorld::ServerCount() const {
  return this->impl->servers.size();
}

void FlowWorld::CrashServer(std::size_t index, bool silent) {
  this->impl->servers[index].up = false;
  this->impl->servers[index].silent = silent;
  this->impl->servers[index].flows.clear();
}

void FlowWorld::LoseServer(std::size_t index) {
  Impl::Server& server = this->impl->servers[index];
  server.removed = true;
  server.agent.reset();
  this->CrashServer(index, /*silent=*/true);
}

void FlowWorld::RestartServer(std::size_t index) {
  this->impl->StartServer(index, this->impl->servers[index].name);
}

void FlowWorld::DrainServer(std::size_t index) {
  this->impl->servers[index].leaving = true;
  this->impl->PutEntry(index, false);
}

void FlowWorld::SlowServer(std::size_t index, double factor) {
  this->impl->servers[index].slow = factor;
}

void FlowWorld::SlowLink(std::size_t balancer, double bytes_per_second) {
  this->impl->balancers[balancer].bytes_per_second = bytes_per_second;
}

void FlowWorld::ReuseHost(std::size_t index, std::size_t service) {
  this->impl->servers[index].service = service;
  this->impl->StartServer(index, this->impl->servers[index].name + "-reused");
  this->impl->StartAgent(index);
}

std::uint32_t FlowWorld::RunningOn(std::size_t index) const {
  return this->impl->servers[index].running;
}

void FlowWorld::SetStoreDown(bool down, bool silent) {
  this->impl->store_down = down;
  this->impl->store_silent = silent;
}

void FlowWorld::DropStoreHistory() {
  this->impl->history_from = this->impl->revision + 1;
  ++this->impl->revision;
}

void FlowWorld::HideEntry(std::size_t index, bool hidden) {
  this->impl->PutEntry(index, hidden);
}

void FlowWorld::PutRoute(std::uint16_t port, const std::string& service) {
  this->impl->routes[port] = service;
  this->impl->PutRoutes();
}

void FlowWorld::RemoveRoute(std::uint16_t port) {
  this->impl->routes.erase(port);
  this->impl->PutRoutes();
}

std::uint64_t FlowWorld::StoreCalls() const {
  return this->impl->store_calls;
}

bool FlowWorld::AllReady() const {
  return std::all_of(this->impl->balancers.begin(), this->impl->balancers.end(),
                     [](const Impl::Balancer& balancer) {
                       return balancer.core == nullptr || balancer.ready;
                     });
}

TimePoint FlowWorld::LastOpeningAt(std::size_t server) const {
  return this->impl->servers[server].last_opening_at;
}

std::uint64_t FlowWorld::Events(FlowEventKind kind) const {
  return this->impl->events.at(static_cast<std::size_t>(kind));
}

}  // namespace cactuscross::testing
