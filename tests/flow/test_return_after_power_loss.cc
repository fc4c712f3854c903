#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <vector>

#include "tests/support/flow_simulation.h"

namespace cactuscross::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeed = 1;
constexpr std::size_t kStream = 0;
constexpr std::size_t kCheck = 1;

// The mod host at its larger size: 35 servers of a catalog and 9 of a report
// service behind 15 balancers. Download streams keep their flows and have the
// lower priority; version checks open a flow each and may not run twice.
FlowSimulationConfig ModHostConfig() {
  FlowSimulationConfig config;
  config.balancers = 15;
  config.zones = 4;
  config.users = 3576;
  config.priority_admission = true;
  config.services = {{"catalog", 8080, 35, 2, 8}, {"reports", 8443, 9, 2, 8}};
  FlowRequestConfig stream;
  stream.long_flows = true;
  stream.per_second = 1288;
  stream.request_bytes = 200;
  stream.mean_service_time = milliseconds(30);
  stream.latency_target = milliseconds(250);
  stream.deadline = milliseconds(1200);
  stream.priority = 2;
  FlowRequestConfig check;
  check.port = 8081;
  check.idempotent = false;
  check.per_second = 368;
  check.request_bytes = 900;
  check.mean_service_time = milliseconds(39);
  check.latency_target = milliseconds(250);
  check.deadline = milliseconds(1500);
  check.priority = 1;
  FlowRequestConfig report;
  report.service = 1;
  report.idempotent = false;
  report.per_second = 110;
  report.mean_service_time = milliseconds(5);
  report.latency_target = milliseconds(800);
  report.deadline = milliseconds(4000);
  report.priority = 2;
  config.requests = {stream, check, report};
  return config;
}

// Load: all hosts lose power for 1.5 s. All servers are cold for 2 s and bear
// less than is asked of them, all clients hold lost flows, and the agents start
// after their servers, so that they do not know that these hold no flows.
class ReturnAfterPowerLossTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReturnAfterPowerLossTest);
  CPPUNIT_TEST(LostFlowsAreSettledAndUrgentRequestsServed);
  CPPUNIT_TEST(AllProcessesRestartBesideBusyServers);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against clients that learn late that their flow is lost, and against
  // work for requests that are already late while others could be in time.
  void LostFlowsAreSettledAndUrgentRequestsServed() {
    FlowSimulation simulation(kSeed, ModHostConfig());
    simulation.Run(seconds(3));
    simulation.PowerOffAll(milliseconds(1500), /*new_names=*/true);
    simulation.Run(milliseconds(1500));
    const TimePoint returned_at = simulation.GetLink().Now();
    const FlowTotals totals = simulation.Run(milliseconds(3500));
    CPPUNIT_ASSERT_MESSAGE(
        totals.violations.empty() ? "" : totals.violations.front(),
        totals.violations.empty());

    std::vector<Duration> ages = simulation.LostAges();
    CPPUNIT_ASSERT(ages.size() > 1000);
    std::sort(ages.begin(), ages.end());
    CPPUNIT_ASSERT(ages[ages.size() / 2] <= milliseconds(50));
    CPPUNIT_ASSERT(ages[ages.size() * 9 / 10] <= milliseconds(200));

    const FlowOutcomes checks = simulation.OutcomesOf(
        kCheck, returned_at, returned_at + milliseconds(2000));
    const auto in_time = static_cast<double>(checks.within_target) /
                         static_cast<double>(checks.sent);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(in_time), in_time >= 0.98);
    const double streams =
        simulation
            .OutcomesOf(kStream, returned_at + milliseconds(2000),
                        returned_at + milliseconds(2500))
            .Worth();
    CPPUNIT_ASSERT_MESSAGE(std::to_string(streams), streams >= 0.95);
  }

  // Load: all balancers and agents are killed, while the servers hold the flows
  // of all clients and run their requests. Guards against flows that are not
  // found again, and against agents that count load that does not exist.
  void AllProcessesRestartBesideBusyServers() {
    const FlowSimulationConfig config = ModHostConfig();
    FlowSimulation simulation(kSeed, config);
    simulation.Run(seconds(3));
    for (std::size_t i = 0; i < config.balancers; ++i) {
      simulation.KillBalancer(i, milliseconds(1400));
    }
    for (std::size_t i = 0; i < simulation.ServerCount(); ++i) {
      simulation.KillAgent(i, milliseconds(1400));
    }
    const FlowTotals totals = simulation.Run(milliseconds(6500));
    CPPUNIT_ASSERT_MESSAGE(
        totals.violations.empty() ? "" : totals.violations.front(),
        totals.violations.empty());
    const TimePoint until = simulation.GetLink().Now() - milliseconds(1500);
    for (const std::size_t kind : {kStream, kCheck}) {
      const double worth =
          simulation.OutcomesOf(kind, until - seconds(2), until).Worth();
      CPPUNIT_ASSERT_MESSAGE(std::to_string(worth), worth >= 0.95);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReturnAfterPowerLossTest);

}  // namespace
}  // namespace cactuscross::testing
