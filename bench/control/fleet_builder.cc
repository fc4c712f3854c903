#include "bench/control/fleet_builder.h"

#include <algorithm>

namespace cactuscross {

namespace {

constexpr std::size_t kBalancersPerZone = 25;
constexpr std::size_t kMinZones = 4;
constexpr std::size_t kMaxZones = 17;
constexpr double kContractsPerBalancer = 3300.0 / 1500.0;

std::string ZoneName(std::size_t index) {
  return "zone-" + std::to_string(index);
}

}  // namespace

FleetPlan ProportionalPlan(std::size_t balancers, std::uint64_t seed) {
  FleetPlan plan;
  plan.balancers = balancers;
  plan.zones = std::clamp(balancers / kBalancersPerZone, kMinZones, kMaxZones);
  plan.contracts = static_cast<std::size_t>(static_cast<double>(balancers) *
                                            kContractsPerBalancer);
  plan.seed = seed;
  return plan;
}

ContractVersion BenchFleet::ChangeContract(std::size_t customer,
                                           std::size_t text_bytes) {
  std::vector<PeerAddress> addresses;
  addresses.reserve(this->agents_by_customer[customer].size());
  for (const NodeId agent : this->agents_by_customer[customer]) {
    addresses.push_back(this->fleet->AddressOf(agent));
  }
  return this->fleet->service.Put(this->customers[customer], addresses,
                                  text_bytes);
}

BenchFleet BuildFleet(const FleetPlan& plan) {
  BenchFleet bench_fleet;
  bench_fleet.fleet = std::make_unique<ControlFleet>(plan.seed);
  for (std::size_t i = 0; i < plan.balancers; ++i) {
    bench_fleet.fleet->AddBalancer(ZoneName(i % plan.zones));
  }
  // The design size has 11,000 servers for 3,300 addresses, so every third
  // contract has one additional agent.
  for (std::size_t i = 0; i < plan.contracts; ++i) {
    const std::string customer = "customer-" + std::to_string(i);
    const std::size_t count = plan.agents_per_contract + (i % 3 == 0 ? 1 : 0);
    std::vector<NodeId> agents;
    agents.reserve(count);
    for (std::size_t k = 0; k < count; ++k) {
      agents.push_back(bench_fleet.fleet->AddAgent(
          ZoneName((i + k) % plan.zones), customer));
    }
    bench_fleet.customers.push_back(customer);
    bench_fleet.agents_by_customer.push_back(std::move(agents));
    bench_fleet.ChangeContract(i, plan.text_bytes);
  }
  for (const auto& [node, process] : bench_fleet.fleet->processes) {
    bench_fleet.fleet->service.hosts.push_back(
        {bench_fleet.fleet->AddressOf(node), false});
  }
  return bench_fleet;
}

}  // namespace cactuscross
