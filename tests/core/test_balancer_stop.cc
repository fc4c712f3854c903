#include <cppunit/extensions/HelperMacros.h>

#include "tests/support/cluster.h"

namespace cactuscross::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Endpoint kClaims{0x0A000001, 5683};
constexpr std::uint32_t kFirstAgent = 11;
constexpr std::uint32_t kAgents = 4;
constexpr std::uint32_t kBalancers = 3;
constexpr std::uint32_t kLeaving = 3;
constexpr int kCallers = 24;

void StartClaims(Cluster& cluster) {
  FleetConfig config;
  config.address = kClaims;
  config.balancers = kBalancers;
  config.first_agent = kFirstAgent;
  config.agents = kAgents;
  StartFleet(cluster, config);
}

// A graceful shutdown of a balancer that agents send notifications through.
class BalancerStopTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BalancerStopTest);
  CPPUNIT_TEST(AgentsSwitchBalancersWhileSessionsAreBusy);
  CPPUNIT_TEST(AgentStartsAfterItsSeedsWereReplaced);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AgentsSwitchBalancersWhileSessionsAreBusy() {
    Cluster cluster(7);
    StartClaims(cluster);
    for (int i = 0; i < kCallers; ++i) {
      cluster.AddCaller().Observe(kClaims, "jobs");
    }
    cluster.RunFor(seconds(5));

    cluster.SetSprayTarget(kLeaving, false);
    cluster.RequestStop(kLeaving);
    // The data changes all the time, so that an agent that continued to send
    // notifications through the leaving balancer would keep it busy forever.
    for (int step = 0; step < 15; ++step) {
      cluster.GetLedger().data_version["workshops/claims"] += 1;
      cluster.RunFor(milliseconds(200));
    }
    CPPUNIT_ASSERT(cluster.GetProcess(kLeaving).exited);
    for (int i = 0; i < kCallers; ++i) {
      const CallerSession& session = cluster.GetCaller(i).Sessions().at(0);
      CPPUNIT_ASSERT(session.open);
      CPPUNIT_ASSERT_EQUAL(1, session.registrations);
    }
  }

  // All balancers that the agent's settings name as seeds have been replaced;
  // it learns the new ones from the host list.
  void AgentStartsAfterItsSeedsWereReplaced() {
    Cluster cluster(7);
    StartClaims(cluster);
    for (std::uint32_t old = 1; old <= kBalancers; ++old) {
      cluster.AddBalancer(old + kBalancers, "north-1");
      cluster.RunFor(seconds(3));
      cluster.SetSprayTarget(old, false);
      cluster.RequestStop(old);
      cluster.RunFor(seconds(3));
      CPPUNIT_ASSERT(cluster.GetProcess(old).exited);
      cluster.PublishHostList();
    }
    cluster.Kill(kFirstAgent);
    cluster.Start(kFirstAgent);
    cluster.RunFor(seconds(8));
    const auto dump = cluster.GetProcess(kFirstAgent).agent->Dump();
    CPPUNIT_ASSERT(dump["control"]["ready"].get<bool>());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BalancerStopTest);

}  // namespace
}  // namespace cactuscross::testing
