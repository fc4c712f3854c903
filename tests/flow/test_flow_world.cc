#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "tests/support/flow_simulation.h"

namespace cactuscross::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeed = 1;

std::string Describe(const FlowTotals& totals) {
  std::string text = "asked " + std::to_string(totals.request_count) +
                     ", in aim " + std::to_string(totals.within_target) +
                     ", late " + std::to_string(totals.late) + ", failed " +
                     std::to_string(totals.failed) + ", shed " +
                     std::to_string(totals.shed);
  for (const std::string& violation : totals.violations) {
    text += "; " + violation;
  }
  return text;
}

// No rule is broken, and at least `in_aim` of the requests met their aim.
void CheckServed(const FlowTotals& totals, double in_aim, double served) {
  CPPUNIT_ASSERT_MESSAGE(Describe(totals), totals.violations.empty());
  CPPUNIT_ASSERT_MESSAGE(Describe(totals),
                         totals.WithinTargetShare() >= in_aim);
  CPPUNIT_ASSERT_MESSAGE(Describe(totals), totals.ServedShare() >= served);
}

class FlowWorldTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FlowWorldTest);
  CPPUNIT_TEST(CalmDayIsServed);
  CPPUNIT_TEST(BalancersComeAndGo);
  CPPUNIT_TEST(StoppedBalancerBreaksNoFlow);
  CPPUNIT_TEST(AgentRestartKeepsFlows);
  CPPUNIT_TEST(CrashedServerIsLeftAtOnce);
  CPPUNIT_TEST(SilentServerIsLeft);
  CPPUNIT_TEST(ServerRestartsUnderItsName);
  CPPUNIT_TEST(LeavingServerGetsNoNewFlows);
  CPPUNIT_TEST(HostOfAnotherServiceIsNotUsed);
  CPPUNIT_TEST(StoreOutageChangesNothing);
  CPPUNIT_TEST(LostHistoryIsReadAgain);
  CPPUNIT_TEST(LossOfPowerWithOldEntries);
  CPPUNIT_TEST(LossOfPowerAfterServersLeft);
  CPPUNIT_TEST(LossOfPowerWithSilentStore);
  CPPUNIT_TEST(LossOfPowerBehindSlowLinks);
  CPPUNIT_TEST(ManyBalancersDoNotOverfillServers);
  CPPUNIT_TEST(RemovedRouteIsRefused);
  CPPUNIT_TEST(SlowServerIsRelieved);
  CPPUNIT_TEST_SUITE_END();

 public:
  void CalmDayIsServed() {
    FlowSimulation world(kSeed, WorkshopConfig(1.0));
    CPPUNIT_ASSERT(world.AllReady());
    CheckServed(world.Run(seconds(10)), 0.97, 0.99);
  }

  // Routers spread flows anew whenever a balancer comes or goes.
  void BalancersComeAndGo() {
    FlowSimulation world(kSeed, WorkshopConfig(1.0));
    world.Run(seconds(2));
    world.KillBalancer(0, seconds(2));
    CheckServed(world.Run(seconds(4)), 0.85, 0.99);
    CheckServed(world.Run(seconds(4)), 0.97, 0.99);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                         world.EventCount(FlowEventKind::kLost));
    CPPUNIT_ASSERT(world.EventCount(FlowEventKind::kFound) > 0);
  }

  void StoppedBalancerBreaksNoFlow() {
    FlowSimulation world(kSeed, WorkshopConfig(1.0));
    world.Run(seconds(2));
    world.StopBalancer(1);
    CheckServed(world.Run(seconds(6)), 0.97, 0.99);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                         world.EventCount(FlowEventKind::kLost));
  }

  void AgentRestartKeepsFlows() {
    FlowSimulation world(kSeed, WorkshopConfig(1.0));
    world.Run(seconds(2));
    world.KillAgent(0, milliseconds(600));
    CheckServed(world.Run(seconds(4)), 0.9, 0.99);
    CheckServed(world.Run(seconds(4)), 0.97, 0.99);
  }

  void CrashedServerIsLeftAtOnce() {
    FlowSimulation world(kSeed, WorkshopConfig(1.0));
    world.Run(seconds(2));
    world.CrashServer(0, /*silent=*/false);
    CheckServed(world.Run(seconds(2)), 0.93, 0.97);
    CheckServed(world.Run(seconds(4)), 0.96, 0.99);
  }

  void SilentServerIsLeft() {
    FlowSimulation world(kSeed, WorkshopConfig(1.0));
    world.Run(seconds(2));
    world.CrashServer(0, /*silent=*/true);
    CheckServed(world.Run(seconds(3)), 0.88, 0.97);
    CheckServed(world.Run(seconds(4)), 0.96, 0.99);
  }

  void ServerRestartsUnderItsName() {
    FlowSimulation world(kSeed, WorkshopConfig(1.0));
    world.Run(seconds(2));
    world.CrashServer(0, /*silent=*/false);
    world.Run(milliseconds(300));
    world.RestartServer(0);
    CheckServed(world.Run(seconds(4)), 0.9, 0.98);
    CheckServed(world.Run(seconds(4)), 0.97, 0.99);
  }

  void LeavingServerGetsNoNewFlows() {
    FlowSimulation world(kSeed, WorkshopConfig(1.0));
    world.Run(seconds(2));
    world.DrainServer(0);
    const TimePoint told = world.GetLink().Now();
    CheckServed(world.Run(seconds(4)), 0.97, 0.99);
    CPPUNIT_ASSERT(world.LastOpeningAt(0) - told < seconds(1));
  }

  void HostOfAnotherServiceIsNotUsed() {
    FlowSimulation world(kSeed, WorkshopConfig(1.0));
    world.Run(seconds(2));
    // The store's news of it come late: the agent knows better.
    world.SetStoreDown(true, /*silent=*/false);
    world.Run(milliseconds(500));
    world.CrashServer(0, /*silent=*/false);
    world.ReuseHost(0, 1);
    CheckServed(world.Run(seconds(3)), 0.9, 0.97);
    world.SetStoreDown(false, false);
    CheckServed(world.Run(seconds(3)), 0.96, 0.99);
  }

  void StoreOutageChangesNothing() {
    FlowSimulation world(kSeed, WorkshopConfig(1.0));
    world.SetStoreDown(true, /*silent=*/true);
    CheckServed(world.Run(seconds(10)), 0.97, 0.99);
  }

  void LostHistoryIsReadAgain() {
    FlowSimulation world(kSeed, WorkshopConfig(1.0));
    world.Run(seconds(1));
    world.DropStoreHistory();
    world.DrainServer(0);
    const TimePoint told = world.GetLink().Now();
    CheckServed(world.Run(seconds(8)), 0.97, 0.99);
    CPPUNIT_ASSERT(world.LastOpeningAt(0) - told < seconds(3));
  }

  // Servers come back under new names while the store still lists the old
  // ones, on the same hosts.
  void LossOfPowerWithOldEntries() {
    FlowSimulation world(kSeed, WorkshopConfig(0.8));
    world.Run(seconds(2));
    world.PowerOffAll(seconds(1), /*new_names=*/true);
    world.Run(seconds(1));
    CheckServed(world.Run(seconds(3)), 0.5, 0.95);
    CheckServed(world.Run(seconds(3)), 0.96, 0.99);
    CPPUNIT_ASSERT(world.EventCount(FlowEventKind::kLost) > 0);
    CPPUNIT_ASSERT(world.EventCount(FlowEventKind::kSearchInconclusive) <
                   world.EventCount(FlowEventKind::kLost) / 5);
  }

  // Servers that did not come back with the others never answer a search. Once
  // their entries have lapsed they must not keep flows from being let go.
  void LossOfPowerAfterServersLeft() {
    FlowSimulation world(kSeed, WorkshopConfig(0.6));
    world.Run(seconds(2));
    world.FailServerHost(0);
    world.FailServerHost(1);
    world.PowerOffAll(seconds(1), /*new_names=*/false);
    world.Run(seconds(2));
    world.SetEntryRemoved(0, true);
    world.SetEntryRemoved(1, true);
    world.Run(seconds(4));
    CheckServed(world.Run(seconds(3)), 0.96, 0.99);
  }

  // Nothing can be served before the store is back; then at once.
  void LossOfPowerWithSilentStore() {
    FlowSimulation world(kSeed, WorkshopConfig(0.8));
    world.Run(seconds(2));
    world.SetStoreDown(true, /*silent=*/true);
    world.PowerOffAll(seconds(1), /*new_names=*/false);
    world.Run(milliseconds(2250));
    CPPUNIT_ASSERT(!world.AllReady());
    world.SetStoreDown(false, false);
    world.Run(milliseconds(400));
    CPPUNIT_ASSERT(world.AllReady());
    CheckServed(world.Run(seconds(4)), 0.6, 0.9);
  }

  // Many servers, and balancers whose links are filled by a search for each of
  // the flows that were lost: 40 packets for one that nobody holds.
  void LossOfPowerBehindSlowLinks() {
    FlowSimulationConfig shape = WorkshopConfig(1.6);
    shape.services[0] = {"desk", 8080, 40, 3, 12};
    shape.users = 500;
    FlowSimulation world(kSeed, shape);
    for (std::size_t i = 0; i < shape.balancers; ++i) {
      world.SlowLink(i, 300000);
    }
    CheckServed(world.Run(seconds(2)), 0.95, 0.95);
    world.PowerOffAll(seconds(1), /*new_names=*/true);
    world.Run(seconds(2));
    CheckServed(world.Run(seconds(2)), 0.6, 0.85);
    CheckServed(world.Run(seconds(2)), 0.95, 0.95);
  }

  // Everybody is back at once, and each of many balancers takes a server that
  // is idle by its last report for idle.
  void ManyBalancersDoNotOverfillServers() {
    FlowSimulationConfig shape = WorkshopConfig(1.6);
    shape.balancers = 23;
    shape.services[0] = {"desk", 8080, 16, 3, 12};
    shape.users = 900;
    FlowSimulation world(kSeed, shape);
    CheckServed(world.Run(seconds(2)), 0.95, 0.95);
    world.PowerOffAll(seconds(1), /*new_names=*/true);
    world.Run(seconds(2));
    const FlowTotals back = world.Run(seconds(2));
    CheckServed(back, 0.45, 0.75);
    CPPUNIT_ASSERT_MESSAGE(Describe(back),
                           back.shed * 100 <= back.request_count);
    CheckServed(world.Run(seconds(2)), 0.85, 0.95);
    CheckServed(world.Run(seconds(2)), 0.97, 0.99);
  }

  void RemovedRouteIsRefused() {
    FlowSimulation world(kSeed, WorkshopConfig(1.0));
    world.Run(seconds(1));
    world.RemoveRoute(8443);
    world.Run(seconds(1));
    const std::uint64_t before = world.EventCount(FlowEventKind::kNoRoute);
    const FlowTotals totals = world.Run(seconds(2));
    CPPUNIT_ASSERT(totals.violations.empty());
    CPPUNIT_ASSERT(world.EventCount(FlowEventKind::kNoRoute) > before);
    CPPUNIT_ASSERT(totals.failed > 0);
  }

  void SlowServerIsRelieved() {
    FlowSimulation world(kSeed, WorkshopConfig(1.0));
    world.Run(seconds(2));
    world.SlowServer(0, 5.0);
    // Long flows stay; only new ones go elsewhere.
    CheckServed(world.Run(seconds(6)), 0.8, 0.98);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FlowWorldTest);

}  // namespace
}  // namespace cactuscross::testing
