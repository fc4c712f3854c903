#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "src/core/flow/view/route_set.h"
#include "tests/support/flow_simulation.h"

namespace cactuscross::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeed = 1;
constexpr TimePoint kStart{seconds(100)};
constexpr Duration kFlowMaxAge{60000000};
constexpr Endpoint kAddress{0xC6120001, 8080};
constexpr ServiceId kOld{1};
constexpr ServiceId kNew{2};
constexpr std::uint16_t kFeedPort = 8080;

RouteSet MakeRoutes(std::uint64_t version,
                    const std::vector<ServiceId>& services) {
  RouteSet routes;
  routes.version = version;
  FlowRoute& route = routes.routes.emplace_back();
  route.service_address = kAddress;
  for (const ServiceId service : services) {
    route.services.push_back({service, 1});
  }
  return routes;
}

// What a peer sends of its routes.
RouteSet FromPeer(const ActiveRoutes& peer, TimePoint now) {
  return {peer.Version(), peer.All(now), {}};
}

// The feed of a search host: one route that names two services whose weights
// change. Each user holds a long-lived flow.
FlowSimulationConfig FeedConfig() {
  FlowSimulationConfig config;
  config.services = {{"feed", kFeedPort, 6, 3, 12}, {"feed-b", 0, 3, 3, 12}};
  FlowRequestConfig feed;
  feed.long_flows = true;
  feed.per_second = 150;
  feed.mean_service_time = milliseconds(30);
  config.requests = {feed};
  return config;
}

// Guards against resets of open flows whose server belongs to a service that
// the route no longer names.
class FormerServicesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FormerServicesTest);
  CPPUNIT_TEST(ServiceIsKeptUntilItsFlowsHaveEnded);
  CPPUNIT_TEST(ServiceThatIsNamedAgainIsNoFormerOne);
  CPPUNIT_TEST(RouteThatIsAddedAgainIsNew);
  CPPUNIT_TEST(NewestRecordOfTwoWins);
  CPPUNIT_TEST(StartedProcessLearnsRecordsFromAPeer);
  CPPUNIT_TEST(RecordsAreIncompleteWithoutAPeer);
  CPPUNIT_TEST(FlowsSurviveAChangeOfTheRoute);
  CPPUNIT_TEST(FlowsSurviveBalancersThatRestartInTurn);
  CPPUNIT_TEST(FlowsSurviveARestartOfAllBalancers);
  CPPUNIT_TEST(ReusedHostOfAFormerServiceIsNotCrossed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ServiceIsKeptUntilItsFlowsHaveEnded() {
    ActiveRoutes routes(kFlowMaxAge);
    routes.Apply(kStart, MakeRoutes(1, {kOld, kNew}));
    routes.Apply(kStart + seconds(1), MakeRoutes(2, {kNew}));
    CheckServices(routes, kStart + seconds(60), {kNew, kOld});
    CheckServices(routes, kStart + seconds(62), {kNew});
  }

  void ServiceThatIsNamedAgainIsNoFormerOne() {
    ActiveRoutes routes(kFlowMaxAge);
    routes.Apply(kStart, MakeRoutes(1, {kOld}));
    routes.Apply(kStart, MakeRoutes(2, {kNew}));
    routes.Apply(kStart, MakeRoutes(3, {kOld}));
    CheckServices(routes, kStart, {kOld, kNew});
  }

  void RouteThatIsAddedAgainIsNew() {
    ActiveRoutes routes(kFlowMaxAge);
    routes.Apply(kStart, MakeRoutes(1, {kOld}));
    routes.Apply(kStart, RouteSet{2, {}, {}});
    routes.Apply(kStart, MakeRoutes(3, {kNew}));
    CheckServices(routes, kStart, {kNew});
  }

  // Two balancers applied the same change at different times.
  void NewestRecordOfTwoWins() {
    ActiveRoutes early(kFlowMaxAge);
    ActiveRoutes late(kFlowMaxAge);
    early.Apply(kStart, MakeRoutes(1, {kOld}));
    late.Apply(kStart, MakeRoutes(1, {kOld}));
    early.Apply(kStart + seconds(1), MakeRoutes(2, {kNew}));
    late.Apply(kStart + seconds(3), MakeRoutes(2, {kNew}));
    const TimePoint now = kStart + seconds(4);
    late.Apply(now, FromPeer(early, now));
    early.Apply(now, FromPeer(late, now));
    CheckServices(early, kStart + seconds(62), {kNew, kOld});
    CheckServices(late, kStart + seconds(62), {kNew, kOld});
  }

  // The process has read the newest routes from the store before.
  void StartedProcessLearnsRecordsFromAPeer() {
    ActiveRoutes peer(kFlowMaxAge);
    peer.Apply(kStart, MakeRoutes(1, {kOld}));
    const TimePoint now = kStart + seconds(70);
    peer.Apply(now, MakeRoutes(2, {kNew}));
    ActiveRoutes started(kFlowMaxAge);
    started.Apply(now, MakeRoutes(2, {kNew}));
    CheckServices(started, now, {kNew});
    CPPUNIT_ASSERT(!started.KnowsFormerServices(now));
    CPPUNIT_ASSERT(!started.Apply(now, FromPeer(peer, now)));
    CheckServices(started, now, {kNew, kOld});
    CPPUNIT_ASSERT(started.KnowsFormerServices(now));
  }

  // A peer that has itself just started, or one of the previous version, knows
  // nothing of earlier changes.
  void RecordsAreIncompleteWithoutAPeer() {
    ActiveRoutes peer(kFlowMaxAge);
    peer.Apply(kStart, MakeRoutes(2, {kNew}));
    ActiveRoutes started(kFlowMaxAge);
    started.Apply(kStart + seconds(1), FromPeer(peer, kStart + seconds(1)));
    CPPUNIT_ASSERT(!started.KnowsFormerServices(kStart + seconds(59)));
    CPPUNIT_ASSERT(started.KnowsFormerServices(kStart + seconds(60)));
    ActiveRoutes with_old_peer(kFlowMaxAge);
    with_old_peer.Apply(kStart, MakeRoutes(2, {kNew}));
    with_old_peer.Apply(kStart + seconds(1), MakeRoutes(2, {kNew}));
    CPPUNIT_ASSERT(!with_old_peer.KnowsFormerServices(kStart + seconds(59)));
  }

  void FlowsSurviveAChangeOfTheRoute() {
    FlowSimulation simulation(kSeed, FeedConfig());
    simulation.Run(seconds(3));
    simulation.PutRoute(kFeedPort, {{"feed", 90}, {"feed-b", 10}});
    simulation.Run(seconds(2));
    simulation.PutRoute(kFeedPort, {{"feed-b", 1}});
    simulation.Run(seconds(1));
    simulation.KillBalancer(0, seconds(1));
    simulation.StopBalancer(3);
    CheckNoFlowIsLost(simulation, simulation.Run(seconds(5)));
  }

  void FlowsSurviveBalancersThatRestartInTurn() {
    FlowSimulation simulation(kSeed, FeedConfig());
    simulation.Run(seconds(3));
    simulation.PutRoute(kFeedPort, {{"feed-b", 1}});
    simulation.Run(seconds(1));
    for (std::size_t i = 0; i < FeedConfig().balancers; ++i) {
      simulation.KillBalancer(i, milliseconds(300));
      CheckNoFlowIsLost(simulation, simulation.Run(milliseconds(1500)));
    }
    simulation.KillBalancer(0, seconds(1));
    CheckNoFlowIsLost(simulation, simulation.Run(seconds(3)));
  }

  // No process is left that knows the former service.
  void FlowsSurviveARestartOfAllBalancers() {
    FlowSimulation simulation(kSeed, FeedConfig());
    simulation.Run(seconds(3));
    simulation.PutRoute(kFeedPort, {{"feed-b", 1}});
    simulation.Run(seconds(1));
    for (std::size_t i = 0; i < FeedConfig().balancers; ++i) {
      simulation.KillBalancer(i, milliseconds(300));
    }
    CheckNoFlowIsLost(simulation, simulation.Run(seconds(4)));
  }

  // The store is down, so that only the agent knows its new service. Flows of
  // the server that it replaced are lost; no other one is, and no opening
  // reaches the host for the wrong route.
  void ReusedHostOfAFormerServiceIsNotCrossed() {
    FlowSimulationConfig config = FeedConfig();
    config.services.push_back({"file", 8443, 2, 3, 12});
    FlowSimulation simulation(kSeed, config);
    simulation.Run(seconds(3));
    simulation.PutRoute(kFeedPort, {{"feed-b", 1}});
    simulation.Run(seconds(4));
    simulation.SetStoreDown(true, /*silent=*/false);
    simulation.CrashServer(0, /*silent=*/false);
    simulation.ReuseHost(0, 2);
    simulation.KillBalancer(1, milliseconds(500));
    FlowTotals totals = simulation.Run(seconds(3));
    CPPUNIT_ASSERT_MESSAGE(Violations(totals), totals.violations.empty());
    simulation.SetStoreDown(false, false);
    totals = simulation.Run(seconds(4));
    CPPUNIT_ASSERT_MESSAGE(Violations(totals), totals.violations.empty());
    const double served = simulation.Run(seconds(3)).ServedShare();
    CPPUNIT_ASSERT_MESSAGE(std::to_string(served), served >= 0.99);
  }

 private:
  static void CheckServices(const ActiveRoutes& routes,
                            TimePoint now,
                            const std::vector<ServiceId>& expected) {
    CPPUNIT_ASSERT(expected == routes.ServicesOfFlows(now, kAddress));
  }

  static std::string Violations(const FlowTotals& totals) {
    return totals.violations.empty()
               ? std::string()
               : totals.violations.front() + ", " +
                     std::to_string(totals.violations.size()) + " in all";
  }

  static void CheckNoFlowIsLost(const FlowSimulation& simulation,
                                const FlowTotals& totals) {
    CPPUNIT_ASSERT_MESSAGE(Violations(totals), totals.violations.empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                         simulation.EventCount(FlowEventKind::kLost));
    CPPUNIT_ASSERT_MESSAGE(std::to_string(totals.ServedShare()),
                           totals.ServedShare() >= 0.98);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FormerServicesTest);

}  // namespace
}  // namespace cactuscross::testing
