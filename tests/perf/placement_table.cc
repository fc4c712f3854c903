// Prints the table "Placement by measured capacity" of docs/POLICY.md.

#include <cstdio>
#include <string>

#include "tests/support/placement_simulation.h"

namespace cactuscross::testing {
namespace {

constexpr const char* kPolicyNames[] = {"load", "capacity", "central queue"};

void PrintRows(const std::string& name, PlacementSimulationConfig config) {
  for (const PlacementPolicy policy :
       {PlacementPolicy::kLoad, PlacementPolicy::kCapacity,
        PlacementPolicy::kCentral}) {
    config.policy = policy;
    const PlacementSimulationResult result = SimulatePlacement(1, config);
    std::printf("| %s | %s | %.3f | %.4f | %.4f |\n", name.c_str(),
                kPolicyNames[static_cast<std::size_t>(policy)], result.busiest,
                result.in_time, result.refused);
  }
}

void PrintTable() {
  PlacementSimulationConfig tail = UnevenServers();
  PlacementSimulationConfig no_tail = tail;
  no_tail.tail_share = 0;
  PrintRows("0.7/0.7/1.7, 90 %", no_tail);
  PrintRows("the same, tail of 3 %", tail);
  PlacementSimulationConfig herd = FleetWithOldNotices();
  PrintRows("tail, 59 balancers, notices 0.5 s old, 70 %", herd);
  PlacementSimulationConfig loss = tail;
  loss.notice_loss = 0.5;
  PrintRows("tail, half of the notices lost, 90 %", loss);
  tail.agents_restart_at = tail.warm_up;
  PrintRows("tail, agents restart, 90 %", tail);
}

}  // namespace
}  // namespace cactuscross::testing

int main() {
  cactuscross::testing::PrintTable();
  return 0;
}
