#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "tests/support/flow_simulation.h"

namespace cactuscross::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeed = 1;

std::string Describe(const FlowTotals& totals) {
  std::string text = "requests " + std::to_string(totals.request_count) +
                     ", within target " + std::to_string(totals.within_target) +
                     ", late " + std::to_string(totals.late) + ", failed " +
                     std::to_string(totals.failed) + ", shed " +
                     std::to_string(totals.shed);
  for (const std::string& violation : totals.violations) {
    text += "; " + violation;
  }
  return text;
}

// Asserts that no invariant is violated, that at least the share
// `within_target` of the requests met their latency target, and that at least
// the share `served` was served.
void CheckServed(const FlowTotals& totals,
                 double within_target,
                 double served) {
  CPPUNIT_ASSERT_MESSAGE(Describe(totals), totals.violations.empty());
  CPPUNIT_ASSERT_MESSAGE(Describe(totals),
                         totals.WithinTargetShare() >= within_target);
  CPPUNIT_ASSERT_MESSAGE(Describe(totals), totals.ServedShare() >= served);
}

FlowSimulationConfig ManyBalancersConfig() {
  FlowSimulationConfig config = WorkshopConfig(1.6);
  config.balancers = 23;
  config.services[0] = {"desk", 8080, 16, 3, 12};
  config.users = 900;
  return config;
}

// Runs balancers and agents in a simulated environment, most tests with one
// kind of fault, and checks the invariants and the share of requests that are
// served in time.
class FlowSimulationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FlowSimulationTest);
  CPPUNIT_TEST(RequestsAreServedWithoutFaults);
  CPPUNIT_TEST(KilledBalancerLosesNoFlow);
  CPPUNIT_TEST(StoppedBalancerLosesNoFlow);
  CPPUNIT_TEST(AgentRestartKeepsFlows);
  CPPUNIT_TEST(CrashedServerIsAvoidedAtOnce);
  CPPUNIT_TEST(UnresponsiveServerIsAvoided);
  CPPUNIT_TEST(ServerRestartsUnderTheSameName);
  CPPUNIT_TEST(LeavingServerGetsNoNewFlows);
  CPPUNIT_TEST(HostOfAnotherServiceIsNotUsed);
  CPPUNIT_TEST(StoreOutageDoesNotAffectRequests);
  CPPUNIT_TEST(DrainIsNoticedAfterStoreHistoryIsDropped);
  CPPUNIT_TEST(PowerLossWithStaleEntries);
  CPPUNIT_TEST(PowerLossWithServersThatDoNotReturn);
  CPPUNIT_TEST(PowerLossWithUnresponsiveStore);
  CPPUNIT_TEST(PowerLossBehindSlowLinks);
  CPPUNIT_TEST(ManyBalancersDoNotOverloadServers);
  CPPUNIT_TEST(PriorityAdmissionAfterAPowerLoss);
  CPPUNIT_TEST(RemovedRouteIsRefused);
  CPPUNIT_TEST(SlowServerDoesNotDelayNewFlows);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RequestsAreServedWithoutFaults() {
    FlowSimulation simulation(kSeed, WorkshopConfig(1.0));
    CPPUNIT_ASSERT(simulation.AllReady());
    CheckServed(simulation.Run(seconds(10)), 0.97, 0.99);
  }

  // Routers redistribute flows whenever a balancer starts or stops.
  void KilledBalancerLosesNoFlow() {
    FlowSimulation simulation(kSeed, WorkshopConfig(1.0));
    simulation.Run(seconds(2));
    simulation.KillBalancer(0, seconds(2));
    CheckServed(simulation.Run(seconds(4)), 0.85, 0.99);
    CheckServed(simulation.Run(seconds(4)), 0.97, 0.99);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                         simulation.EventCount(FlowEventKind::kLost));
    CPPUNIT_ASSERT(simulation.EventCount(FlowEventKind::kFound) > 0);
  }

  void StoppedBalancerLosesNoFlow() {
    FlowSimulation simulation(kSeed, WorkshopConfig(1.0));
    simulation.Run(seconds(2));
    simulation.StopBalancer(1);
    CheckServed(simulation.Run(seconds(6)), 0.97, 0.99);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                         simulation.EventCount(FlowEventKind::kLost));
  }

  void AgentRestartKeepsFlows() {
    FlowSimulation simulation(kSeed, WorkshopConfig(1.0));
    simulation.Run(seconds(2));
    simulation.KillAgent(0, milliseconds(600));
    CheckServed(simulation.Run(seconds(4)), 0.9, 0.99);
    CheckServed(simulation.Run(seconds(4)), 0.97, 0.99);
  }

  void CrashedServerIsAvoidedAtOnce() {
    FlowSimulation simulation(kSeed, WorkshopConfig(1.0));
    simulation.Run(seconds(2));
    simulation.CrashServer(0, /*silent=*/false);
    CheckServed(simulation.Run(seconds(2)), 0.93, 0.97);
    CheckServed(simulation.Run(seconds(4)), 0.96, 0.99);
  }

  void UnresponsiveServerIsAvoided() {
    FlowSimulation simulation(kSeed, WorkshopConfig(1.0));
    simulation.Run(seconds(2));
    simulation.CrashServer(0, /*silent=*/true);
    CheckServed(simulation.Run(seconds(3)), 0.88, 0.97);
    CheckServed(simulation.Run(seconds(4)), 0.96, 0.99);
  }

  void ServerRestartsUnderTheSameName() {
    FlowSimulation simulation(kSeed, WorkshopConfig(1.0));
    simulation.Run(seconds(2));
    simulation.CrashServer(0, /*silent=*/false);
    simulation.Run(milliseconds(300));
    simulation.RestartServer(0);
    CheckServed(simulation.Run(seconds(4)), 0.9, 0.98);
    CheckServed(simulation.Run(seconds(4)), 0.97, 0.99);
  }

  void LeavingServerGetsNoNewFlows() {
    FlowSimulation simulation(kSeed, WorkshopConfig(1.0));
    simulation.Run(seconds(2));
    simulation.DrainServer(0);
    const TimePoint drain_requested_at = simulation.GetLink().Now();
    CheckServed(simulation.Run(seconds(4)), 0.97, 0.99);
    CPPUNIT_ASSERT(simulation.LastOpeningAt(0) - drain_requested_at <
                   seconds(1));
  }

  void HostOfAnotherServiceIsNotUsed() {
    FlowSimulation simulation(kSeed, WorkshopConfig(1.0));
    simulation.Run(seconds(2));
    // The store cannot report the change until it is up again; only the agent
    // on the host knows its new service.
    simulation.SetStoreDown(true, /*silent=*/false);
    simulation.Run(milliseconds(500));
    simulation.CrashServer(0, /*silent=*/false);
    simulation.ReuseHost(0, 1);
    CheckServed(simulation.Run(seconds(3)), 0.9, 0.97);
    simulation.SetStoreDown(false, false);
    CheckServed(simulation.Run(seconds(3)), 0.96, 0.99);
  }

  void StoreOutageDoesNotAffectRequests() {
    FlowSimulation simulation(kSeed, WorkshopConfig(1.0));
    simulation.SetStoreDown(true, /*silent=*/true);
    CheckServed(simulation.Run(seconds(10)), 0.97, 0.99);
  }

  void DrainIsNoticedAfterStoreHistoryIsDropped() {
    FlowSimulation simulation(kSeed, WorkshopConfig(1.0));
    simulation.Run(seconds(1));
    simulation.DropStoreHistory();
    simulation.DrainServer(0);
    const TimePoint drain_requested_at = simulation.GetLink().Now();
    CheckServed(simulation.Run(seconds(8)), 0.97, 0.99);
    CPPUNIT_ASSERT(simulation.LastOpeningAt(0) - drain_requested_at <
                   seconds(3));
  }

  // Servers come back under new names while the store still lists the old
  // ones, on the same hosts.
  void PowerLossWithStaleEntries() {
    FlowSimulation simulation(kSeed, WorkshopConfig(0.8));
    simulation.Run(seconds(2));
    simulation.PowerOffAll(seconds(1), /*new_names=*/true);
    simulation.Run(seconds(1));
    CheckServed(simulation.Run(seconds(3)), 0.5, 0.95);
    CheckServed(simulation.Run(seconds(3)), 0.96, 0.99);
    CPPUNIT_ASSERT(simulation.EventCount(FlowEventKind::kLost) > 0);
    CPPUNIT_ASSERT(simulation.EventCount(FlowEventKind::kSearchInconclusive) <
                   simulation.EventCount(FlowEventKind::kLost) / 5);
  }

  // Servers that do not return with the others never answer a search. Once
  // their entries have expired, they must not keep lost flows from being reset.
  void PowerLossWithServersThatDoNotReturn() {
    FlowSimulation simulation(kSeed, WorkshopConfig(0.6));
    simulation.Run(seconds(2));
    simulation.FailServerHost(0);
    simulation.FailServerHost(1);
    simulation.PowerOffAll(seconds(1), /*new_names=*/false);
    simulation.Run(seconds(2));
    simulation.SetEntryRemoved(0, true);
    simulation.SetEntryRemoved(1, true);
    simulation.Run(seconds(4));
    CheckServed(simulation.Run(seconds(3)), 0.96, 0.99);
  }

  // No balancer can be ready before the store responds; then all are ready
  // within 400 ms.
  void PowerLossWithUnresponsiveStore() {
    FlowSimulation simulation(kSeed, WorkshopConfig(0.8));
    simulation.Run(seconds(2));
    simulation.SetStoreDown(true, /*silent=*/true);
    simulation.PowerOffAll(seconds(1), /*new_names=*/false);
    simulation.Run(milliseconds(2250));
    CPPUNIT_ASSERT(!simulation.AllReady());
    simulation.SetStoreDown(false, false);
    simulation.Run(milliseconds(400));
    CPPUNIT_ASSERT(simulation.AllReady());
    CheckServed(simulation.Run(seconds(4)), 0.6, 0.9);
  }

  // Searches for lost flows saturate the links of the balancers: with 40
  // servers, the search for a flow that no server holds costs 40 packets.
  void PowerLossBehindSlowLinks() {
    FlowSimulationConfig config = WorkshopConfig(1.6);
    config.services[0] = {"desk", 8080, 40, 3, 12};
    config.users = 500;
    FlowSimulation simulation(kSeed, config);
    for (std::size_t i = 0; i < config.balancers; ++i) {
      simulation.SlowLink(i, 300000);
    }
    CheckServed(simulation.Run(seconds(2)), 0.95, 0.95);
    simulation.PowerOffAll(seconds(1), /*new_names=*/true);
    simulation.Run(seconds(2));
    CheckServed(simulation.Run(seconds(2)), 0.6, 0.85);
    CheckServed(simulation.Run(seconds(2)), 0.95, 0.95);
  }

  // All clients reconnect at once. Each of many balancers places flows by the
  // last load report, so that all of them may choose a server that was idle
  // then.
  void ManyBalancersDoNotOverloadServers() {
    FlowSimulation simulation(kSeed, ManyBalancersConfig());
    CheckServed(simulation.Run(seconds(2)), 0.95, 0.95);
    simulation.PowerOffAll(seconds(1), /*new_names=*/true);
    simulation.Run(seconds(2));
    const FlowTotals back = simulation.Run(seconds(2));
    CheckServed(back, 0.45, 0.75);
    CPPUNIT_ASSERT_MESSAGE(Describe(back),
                           back.shed * 100 <= back.request_count);
    CheckServed(simulation.Run(seconds(2)), 0.85, 0.95);
    CheckServed(simulation.Run(seconds(2)), 0.97, 0.99);
  }

  // All clients reconnect at once, and openings wait at balancers that admit by
  // priority and deadline. Guards against resets of open flows and against
  // refusals of requests that could be served.
  void PriorityAdmissionAfterAPowerLoss() {
    FlowSimulationConfig config = ManyBalancersConfig();
    config.priority_admission = true;
    for (FlowRequestConfig& request : config.requests) {
      request.priority = request.long_flows ? 2 : 1;
    }
    FlowSimulation simulation(kSeed, config);
    CheckServed(simulation.Run(seconds(2)), 0.95, 0.95);
    simulation.PowerOffAll(seconds(1), /*new_names=*/true);
    simulation.Run(seconds(2));
    const FlowTotals back = simulation.Run(seconds(2));
    CheckServed(back, 0.45, 0.75);
    CPPUNIT_ASSERT(simulation.EventCount(FlowEventKind::kWaiting) > 0);
    CheckServed(simulation.Run(seconds(2)), 0.85, 0.95);
    CheckServed(simulation.Run(seconds(2)), 0.97, 0.99);
  }

  void RemovedRouteIsRefused() {
    FlowSimulation simulation(kSeed, WorkshopConfig(1.0));
    simulation.Run(seconds(1));
    simulation.RemoveRoute(8443);
    simulation.Run(seconds(1));
    const std::uint64_t before = simulation.EventCount(FlowEventKind::kNoRoute);
    const FlowTotals totals = simulation.Run(seconds(2));
    CPPUNIT_ASSERT(totals.violations.empty());
    CPPUNIT_ASSERT(simulation.EventCount(FlowEventKind::kNoRoute) > before);
    CPPUNIT_ASSERT(totals.failed > 0);
  }

  void SlowServerDoesNotDelayNewFlows() {
    FlowSimulation simulation(kSeed, WorkshopConfig(1.0));
    simulation.Run(seconds(2));
    simulation.SlowServer(0, 5.0);
    // Long flows stay on the slow server; only new flows go elsewhere.
    CheckServed(simulation.Run(seconds(6)), 0.8, 0.98);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FlowSimulationTest);

}  // namespace
}  // namespace cactuscross::testing
