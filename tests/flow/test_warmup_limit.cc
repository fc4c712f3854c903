#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "cactuscross/flow_agent.h"
#include "src/core/flow/agent/opening_rate_limit.h"
#include "src/core/flow/view/route_set.h"
#include "tests/support/flow_simulation.h"

namespace cactuscross::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeed = 1;
constexpr TimePoint kStart{seconds(100)};
constexpr double kOvershoot = 1.5;
constexpr double kSlack = 5;
constexpr double kRate = 4;
// kRate * kOvershoot + kSlack
constexpr std::size_t kMaxPerSecond = 11;

// Limit of the openings that a server gets while it warms up.
class WarmupLimitTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WarmupLimitTest);
  CPPUNIT_TEST(NoSecondHasMoreOpeningsThanTheLimit);
  CPPUNIT_TEST(OnlySlackUntilABalancerTellsTheRate);
  CPPUNIT_TEST(NoLimitWithoutBoundOrRate);
  CPPUNIT_TEST(BalancersThatDisagree);
  CPPUNIT_TEST(BalancersThatDoNotKnowOfTheStart);
  CPPUNIT_TEST(LimitsFollowTheRoutes);
  CPPUNIT_TEST(RestartedServerStaysBelowTheLimit);
  CPPUNIT_TEST(ServerRestartsWhileTheStoreIsDown);
  CPPUNIT_TEST(ServerWithoutALimitExceedsIt);
  CPPUNIT_TEST(LostQueries);
  CPPUNIT_TEST(AgentRestartsBesideAWarmServer);
  CPPUNIT_TEST(ReturnedZoneStaysBelowTheLimit);
  CPPUNIT_TEST_SUITE_END();

 public:
  // All balancers see an idle server at once. A window that is counted from
  // fixed times would let through twice the limit around their bounds.
  void NoSecondHasMoreOpeningsThanTheLimit() {
    OpeningRateLimit limit(kOvershoot, kSlack);
    limit.NoteRate(kStart, kRate, seconds(10));
    std::vector<TimePoint> forwarded;
    for (TimePoint now = kStart; now < kStart + seconds(7);
         now += milliseconds(7)) {
      if (!limit.IsReached(now)) {
        limit.NoteForwarded(now);
        forwarded.push_back(now);
      }
    }
    CPPUNIT_ASSERT(forwarded.size() > 6 * kMaxPerSecond);
    for (std::size_t i = kMaxPerSecond; i < forwarded.size(); ++i) {
      CPPUNIT_ASSERT(forwarded[i] - forwarded[i - kMaxPerSecond] > seconds(1));
    }
    CPPUNIT_ASSERT_EQUAL(kMaxPerSecond, Burst(limit, kStart + seconds(9), 50));
    CPPUNIT_ASSERT_EQUAL(std::size_t{50},
                         Burst(limit, kStart + seconds(11), 50));
  }

  // An agent that has just started, or whose server has, may have been told of
  // no limit because no balancer knows the server yet.
  void OnlySlackUntilABalancerTellsTheRate() {
    OpeningRateLimit limit(kOvershoot, kSlack);
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, Burst(limit, kStart, 50));
    limit.NoteRate(kStart, 0, Duration{0});
    CPPUNIT_ASSERT_EQUAL(std::size_t{50}, Burst(limit, kStart, 50));
    limit.NoteServerStart(kStart + seconds(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, Burst(limit, kStart + seconds(2), 50));
  }

  void NoLimitWithoutBoundOrRate() {
    OpeningRateLimit unbounded(0, 0);
    unbounded.NoteRate(kStart, kRate, seconds(10));
    CPPUNIT_ASSERT_EQUAL(std::size_t{50}, Burst(unbounded, kStart, 50));
    OpeningRateLimit unlimited(kOvershoot, kSlack);
    unlimited.NoteRate(kStart, 0, seconds(10));
    CPPUNIT_ASSERT_EQUAL(std::size_t{50}, Burst(unlimited, kStart, 50));
  }

  // A balancer that lags does not know that the server has started again.
  void BalancersThatDisagree() {
    OpeningRateLimit limit(kOvershoot, kSlack);
    limit.NoteRate(kStart, kRate, seconds(10));
    limit.NoteRate(kStart, 0, Duration{0});
    limit.NoteRate(kStart, kRate, seconds(1));
    CPPUNIT_ASSERT_EQUAL(kMaxPerSecond, Burst(limit, kStart + seconds(9), 50));
  }

  // Balancers that have not read the new entry take the server for a warm one.
  void BalancersThatDoNotKnowOfTheStart() {
    OpeningRateLimit limit(kOvershoot, kSlack);
    limit.NoteServerStart(kStart);
    limit.NoteRate(kStart, kRate, Duration{0});
    CPPUNIT_ASSERT_EQUAL(kMaxPerSecond, Burst(limit, kStart, 50));
    CPPUNIT_ASSERT_EQUAL(std::size_t{50},
                         Burst(limit, kStart + seconds(3), 50));
  }

  // A process of the previous version passes on routes without limits; the
  // same routes from the store must bring them.
  void LimitsFollowTheRoutes() {
    const ServiceId service{8};
    ActiveRoutes routes(std::chrono::seconds(60));
    RouteSet set;
    set.version = 3;
    CPPUNIT_ASSERT(routes.Apply(TimePoint(), set));
    CPPUNIT_ASSERT(routes.FindWarmupLimit(service) == nullptr);
    set.warmup_limits = {{service, kRate, seconds(2)}};
    CPPUNIT_ASSERT(!routes.Apply(TimePoint(), set));
    CPPUNIT_ASSERT_EQUAL(kRate,
                         routes.FindWarmupLimit(service)->openings_per_second);
    CPPUNIT_ASSERT(routes.Apply(TimePoint(), RouteSet{4, {}, {}}));
    CPPUNIT_ASSERT(routes.FindWarmupLimit(service) == nullptr);
  }

  // Six balancers send to a server that has just started.
  void RestartedServerStaysBelowTheLimit() {
    FlowSimulation simulation(kSeed, Config(kRate));
    CPPUNIT_ASSERT(RestartAndCount(simulation) <= kMaxPerSecond);
  }

  // The new entry can be read 1.5 s after the start.
  void ServerRestartsWhileTheStoreIsDown() {
    FlowSimulation simulation(kSeed, Config(kRate));
    simulation.Run(seconds(2));
    simulation.CrashServer(0, /*silent=*/false);
    simulation.Run(milliseconds(500));
    simulation.SetStoreDown(true, /*silent=*/false);
    simulation.RestartServer(0);
    const TimePoint restarted_at = simulation.GetLink().Now();
    simulation.Run(milliseconds(1500));
    simulation.SetStoreDown(false, /*silent=*/false);
    simulation.Run(milliseconds(500));
    CPPUNIT_ASSERT(simulation.LastOpeningAt(0) > restarted_at);
    CPPUNIT_ASSERT(simulation.MaxOpeningsPerSecond(0, restarted_at) <=
                   kMaxPerSecond);
  }

  // The load of these tests would exceed the limit.
  void ServerWithoutALimitExceedsIt() {
    FlowSimulation simulation(kSeed, Config(0));
    CPPUNIT_ASSERT(RestartAndCount(simulation) > 2 * kMaxPerSecond);
  }

  void LostQueries() {
    FlowSimulation simulation(kSeed, Config(kRate));
    LinkFaults faults;
    faults.loss = 0.2;
    simulation.GetLink().SetFaults(faults);
    CPPUNIT_ASSERT_EQUAL(kMaxPerSecond, RestartAndCount(simulation));
  }

  // An agent that has restarted accepts few openings until it is told that its
  // server is warm; it must be told soon.
  void AgentRestartsBesideAWarmServer() {
    FlowSimulation simulation(kSeed, Config(kRate));
    simulation.Run(seconds(3));
    simulation.KillAgent(0, milliseconds(300));
    simulation.Run(milliseconds(500));
    const TimePoint started_at = simulation.GetLink().Now();
    const FlowTotals totals = simulation.Run(seconds(3));
    CPPUNIT_ASSERT(totals.ServedShare() >= 0.99);
    CPPUNIT_ASSERT(simulation.MaxOpeningsPerSecond(0, started_at) >
                   kMaxPerSecond);
  }

  // The entries of the servers report the warm-up some time after the zone has
  // returned.
  void ReturnedZoneStaysBelowTheLimit() {
    FlowSimulationConfig config = Config(kRate);
    config.evacuation_bound = seconds(5);
    FlowSimulation simulation(kSeed, config);
    simulation.SetEvacuated(0, true);
    simulation.Run(seconds(5));
    simulation.SetEvacuated(0, false);
    const TimePoint returned_at = simulation.GetLink().Now();
    simulation.Run(seconds(2));
    CPPUNIT_ASSERT(simulation.LastOpeningAt(0) > returned_at);
    CPPUNIT_ASSERT(simulation.MaxOpeningsPerSecond(0, returned_at) <=
                   kMaxPerSecond);
  }

 private:
  static FlowSimulationConfig Config(double rate) {
    FlowSimulationConfig config = WorkshopConfig(2.0);
    config.warmup_overshoot = kOvershoot;
    config.warmup_slack = kSlack;
    config.warmup_openings_per_second = rate;
    return config;
  }

  // Returns how many of `count` openings at `now` are forwarded.
  static std::size_t Burst(OpeningRateLimit& limit,
                           TimePoint now,
                           std::size_t count) {
    std::size_t accepted = 0;
    for (std::size_t i = 0; i < count; ++i) {
      if (!limit.IsReached(now)) {
        limit.NoteForwarded(now);
        ++accepted;
      }
    }
    return accepted;
  }

  // Restarts server 0 and returns the maximum of its openings per second while
  // it warms up.
  static std::size_t RestartAndCount(FlowSimulation& simulation) {
    simulation.Run(seconds(2));
    simulation.CrashServer(0, /*silent=*/false);
    simulation.Run(milliseconds(500));
    simulation.RestartServer(0);
    const TimePoint restarted_at = simulation.GetLink().Now();
    simulation.Run(seconds(2));
    CPPUNIT_ASSERT(simulation.LastOpeningAt(0) > restarted_at);
    return simulation.MaxOpeningsPerSecond(0, restarted_at);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WarmupLimitTest);

}  // namespace
}  // namespace cactuscross::testing
