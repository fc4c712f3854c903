#ifndef CACTUSCROSS_BENCH_CONTROL_FLEET_BUILDER_H_
#define CACTUSCROSS_BENCH_CONTROL_FLEET_BUILDER_H_

// Builds a fleet in the proportions of the design size: 1,500 balancers, 11,000
// agents and 3,300 contracts.

#include <memory>
#include <string>
#include <vector>

#include "tests/control/control_fleet.h"

namespace cactuscross {

struct FleetPlan {
  std::size_t balancers = 25;
  std::size_t zones = 4;
  std::size_t contracts = 55;
  std::size_t agents_per_contract = 3;
  std::size_t text_bytes = 2000;  // of each contract
  std::uint64_t seed = 1;
};

// Returns the plan of a fleet with this number of balancers.
FleetPlan ProportionalPlan(std::size_t balancers, std::uint64_t seed);

struct BenchFleet {
  std::unique_ptr<ControlFleet> fleet;
  std::vector<std::string> customers;
  // Indexed like `customers`.
  std::vector<std::vector<NodeId>> agents_by_customer;

  // Writes a new version of a contract and returns its version.
  ContractVersion ChangeContract(std::size_t customer, std::size_t text_bytes);
};

BenchFleet BuildFleet(const FleetPlan& plan);

}  // namespace cactuscross

#endif  // CACTUSCROSS_BENCH_CONTROL_FLEET_BUILDER_H_
