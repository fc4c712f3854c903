#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <cstdlib>
#include <string>

#include "tests/support/flow_simulation.h"

namespace cactuscross::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeeds = 40;
// Seeds that failed once: an agent with a new and empty table (12, 24), an
// entry hidden while a balancer starts (82, 134, 146, 196), a lost notice of a
// grant (86, 107, 123, 259).
constexpr std::array<std::uint64_t, 10> kKeptSeeds = {12,  24, 82,  134, 146,
                                                      196, 86, 107, 123, 259};
constexpr int kSteps = 8;
constexpr double kCalmInAim = 0.95;

// A disturbance of the schedules.
struct Disturbance {
  const char* name;
  void (*apply)(FlowSimulation& world, Random& random);
};

std::size_t AnyServer(const FlowSimulation& world, Random& random) {
  return random.Below(world.ServerCount());
}

constexpr std::array kDisturbances = {
    Disturbance{"kill_balancer",
                [](FlowSimulation& world, Random& random) {
                  world.KillBalancer(random.Below(6), milliseconds(800));
                }},
    Disturbance{"stop_balancer",
                [](FlowSimulation& world, Random& random) {
                  world.StopBalancer(random.Below(6));
                }},
    Disturbance{"kill_agent",
                [](FlowSimulation& world, Random& random) {
                  world.KillAgent(AnyServer(world, random), milliseconds(600));
                }},
    Disturbance{"restart_server",
                [](FlowSimulation& world, Random& random) {
                  const std::size_t index = AnyServer(world, random);
                  world.CrashServer(index, random.Chance(0.5));
                  world.GetLink().Schedule(
                      random.Between(milliseconds(50), milliseconds(2000)),
                      [&world, index] { world.RestartServer(index); });
                }},
    Disturbance{"drain_and_back",
                [](FlowSimulation& world, Random& random) {
                  const std::size_t index = AnyServer(world, random);
                  world.DrainServer(index);
                  world.GetLink().Schedule(seconds(2), [&world, index] {
                    world.CrashServer(index, false);
                    world.RestartServer(index);
                  });
                }},
    Disturbance{"store_down",
                [](FlowSimulation& world, Random& random) {
                  world.SetStoreDown(true, random.Chance(0.5));
                  world.GetLink().Schedule(
                      random.Between(milliseconds(500), milliseconds(4000)),
                      [&world] { world.SetStoreDown(false, false); });
                }},
    Disturbance{"history",
                [](FlowSimulation& world, Random& /*random*/) {
                  world.DropStoreHistory();
                }},
    Disturbance{"entry_hidden",
                [](FlowSimulation& world, Random& random) {
                  const std::size_t index = AnyServer(world, random);
                  world.SetEntryRemoved(index, true);
                  world.GetLink().Schedule(seconds(1), [&world, index] {
                    world.SetEntryRemoved(index, false);
                  });
                }},
    Disturbance{"lossy_link",
                [](FlowSimulation& world, Random& random) {
                  LinkFaults faults;
                  faults.loss = 0.02;
                  faults.duplication = 0.02;
                  faults.jitter =
                      random.Between(milliseconds(0), milliseconds(3));
                  world.GetLink().SetFaults(faults);
                  world.GetLink().Schedule(seconds(2), [&world] {
                    world.GetLink().SetFaults(LinkFaults());
                  });
                }},
    Disturbance{"power",
                [](FlowSimulation& world, Random& random) {
                  world.PowerOffAll(milliseconds(900), random.Chance(0.5));
                }},
};

std::string RunSchedule(std::uint64_t seed) {
  FlowSimulation world(seed, WorkshopConfig(0.8));
  Random random(seed * 7919 + 1);
  std::string story = "seed " + std::to_string(seed) + ":";
  std::vector<std::string> violations;
  const auto collect = [&violations](const FlowTotals& totals) {
    violations.insert(violations.end(), totals.violations.begin(),
                      totals.violations.end());
  };
  for (int step = 0; step < kSteps; ++step) {
    const Disturbance& disturbance =
        kDisturbances.at(random.Below(kDisturbances.size()));
    story += std::string(" ") + disturbance.name;
    disturbance.apply(world, random);
    collect(world.Run(random.Between(milliseconds(100), milliseconds(2500))));
  }
  collect(world.Run(seconds(8)));
  const FlowTotals calm = world.Run(seconds(4));
  collect(calm);
  if (!violations.empty()) {
    return story + "; " + violations.front() + " and " +
           std::to_string(violations.size() - 1) + " more";
  }
  if (calm.WithinTargetShare() < kCalmInAim) {
    return story + "; calm again, but only " +
           std::to_string(calm.WithinTargetShare()) + " in time";
  }
  return {};
}

class FlowSchedulesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FlowSchedulesTest);
  CPPUNIT_TEST(NoRuleIsBroken);
  CPPUNIT_TEST_SUITE_END();

 public:
  // CACTUSCROSS_FLOW_SEED plays one seed, CACTUSCROSS_FLOW_SEEDS so many.
  void NoRuleIsBroken() {
    const char* one = std::getenv("CACTUSCROSS_FLOW_SEED");
    const char* many = std::getenv("CACTUSCROSS_FLOW_SEEDS");
    const std::uint64_t first = one != nullptr ? std::stoull(one) : 1;
    const std::uint64_t count = one != nullptr    ? 1
                                : many != nullptr ? std::stoull(many)
                                                  : kSeeds;
    std::string failures;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
      const std::string failure = RunSchedule(seed);
      failures += failure.empty() ? "" : failure + "\n";
    }
    for (const std::uint64_t seed : kKeptSeeds) {
      const std::string failure = one == nullptr ? RunSchedule(seed) : "";
      failures += failure.empty() ? "" : failure + "\n";
    }
    CPPUNIT_ASSERT_MESSAGE(failures, failures.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FlowSchedulesTest);

}  // namespace
}  // namespace cactuscross::testing
