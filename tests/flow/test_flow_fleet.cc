#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "src/core/flow/view/gossip_peers.h"
#include "src/core/flow/view/store_reader_election.h"
#include "tests/support/flow_simulation.h"

namespace cactuscross::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeed = 1;
constexpr TimePoint kStart{seconds(100)};
constexpr std::uint32_t kSmallFleet = 6;
constexpr std::uint32_t kLargeFleet = 59;

FlowSimulationConfig FleetConfig(std::uint32_t balancers) {
  FlowSimulationConfig config = WorkshopConfig(0.2);
  config.balancers = balancers;
  return config;
}

std::uint64_t CallsWhile(FlowSimulation& simulation, Duration time) {
  const std::uint64_t before = simulation.StoreCalls();
  simulation.Run(time);
  return simulation.StoreCalls() - before;
}

Endpoint Control(std::uint32_t index) {
  return {0x0A010001 + index, 8166};
}

// Load on the store, and the time until changes are in force, in fleets of many
// balancers.
class FlowFleetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FlowFleetTest);
  CPPUNIT_TEST(CallsDoNotDependOnTheNumberOfBalancers);
  CPPUNIT_TEST(StartBeforeTheFirstConfiguration);
  CPPUNIT_TEST(CallsDuringAnOutage);
  CPPUNIT_TEST(ChangeAfterAnOutageIsInForceEverywhere);
  CPPUNIT_TEST(FewBalancersReplaceLostReaders);
  CPPUNIT_TEST(ReaderThatTheStoreRejectsIsReplaced);
  CPPUNIT_TEST(LoadNoticesDoNotGrowWithTheFleet);
  CPPUNIT_TEST(FullPeerTableTakesNewPeers);
  CPPUNIT_TEST(PeersThatWereOnlyNamedExpire);
  CPPUNIT_TEST_SUITE_END();

 public:
  void CallsDoNotDependOnTheNumberOfBalancers() {
    std::map<std::uint32_t, std::uint64_t> calls;
    for (const std::uint32_t balancers : {kSmallFleet, kLargeFleet, 118U}) {
      FlowSimulation simulation(kSeed, FleetConfig(balancers));
      simulation.SetTraffic(false);
      calls[balancers] = CallsWhile(simulation, seconds(20));
    }
    // Two readers, two subjects, one call every 1.2 s.
    constexpr std::uint64_t kExpected = 2 * 2 * 20 * 10 / 12;
    for (const auto& [balancers, count] : calls) {
      CPPUNIT_ASSERT_MESSAGE(std::to_string(balancers) + " balancers: " +
                                 std::to_string(count) + " calls",
                             count <= kExpected * 5 / 4);
    }
  }

  // Load pattern: the operator writes the first configuration long after the
  // balancers have started. Only the designated readers wait for it.
  void StartBeforeTheFirstConfiguration() {
    FlowSimulationConfig config = FleetConfig(kLargeFleet);
    config.routes_delay = seconds(10);
    FlowSimulation simulation(kSeed, config);
    simulation.SetTraffic(false);
    const std::uint64_t calls = CallsWhile(simulation, seconds(6));
    // As in the steady state, for 6 s.
    CPPUNIT_ASSERT_MESSAGE(std::to_string(calls) + " calls", calls <= 25);
    simulation.Run(milliseconds(1500));
    CPPUNIT_ASSERT(simulation.AllReady());
    // Each balancer lists both subjects once and may begin to watch them before
    // it knows the readers.
    CPPUNIT_ASSERT_MESSAGE(
        std::to_string(simulation.StoreCalls()) + " calls",
        simulation.StoreCalls() <= std::uint64_t{4} * kLargeFleet);
  }

  // While the store does not answer, all balancers share the attempts.
  void CallsDuringAnOutage() {
    for (const bool silent : {true, false}) {
      std::map<std::uint32_t, std::uint64_t> calls;
      for (const std::uint32_t balancers : {kSmallFleet, kLargeFleet}) {
        FlowSimulation simulation(kSeed, FleetConfig(balancers));
        simulation.SetTraffic(false);
        simulation.SetStoreDown(true, silent);
        simulation.Run(seconds(5));
        calls[balancers] = CallsWhile(simulation, seconds(10));
      }
      CPPUNIT_ASSERT_MESSAGE(std::to_string(calls[kLargeFleet]) + " calls",
                             calls[kLargeFleet] <= 2 * calls[kSmallFleet]);
    }
  }

  // Routes must be in force within 3 s of a change that the store accepts.
  void ChangeAfterAnOutageIsInForceEverywhere() {
    FlowSimulation simulation(kSeed, FleetConfig(kLargeFleet));
    simulation.SetTraffic(false);
    simulation.SetStoreDown(true, /*silent=*/true);
    simulation.Run(seconds(10));
    simulation.SetStoreDown(false, false);
    const std::uint64_t before =
        simulation.EventCount(FlowEventKind::kRoutesInForce);
    simulation.PutRoute(9000, "parts");
    simulation.Run(milliseconds(2000));
    CPPUNIT_ASSERT_EQUAL(before + kLargeFleet,
                         simulation.EventCount(FlowEventKind::kRoutesInForce));
  }

  // Both readers are lost at once. Their successors tell the others within
  // 100 ms.
  void FewBalancersReplaceLostReaders() {
    std::vector<StoreReaderElection> elections;
    for (std::uint32_t i = 0; i < kLargeFleet; ++i) {
      elections.emplace_back(Control(i));
      elections.back().Note(
          kStart, {{Control(1000), Duration{0}}, {Control(1001), Duration{0}}});
      CPPUNIT_ASSERT(!elections.back().Update(kStart, {{}, true, 58}));
    }
    TimePoint now = kStart;
    std::vector<TimePoint> started_at(kLargeFleet);
    constexpr Duration kPropagationTime{100000};
    for (int step = 0; step < 400; ++step) {
      now += milliseconds(10);
      std::vector<ReaderStatus> known;
      for (std::uint32_t i = 0; i < kLargeFleet; ++i) {
        if (started_at[i] != TimePoint() &&
            now - started_at[i] > kPropagationTime) {
          known.push_back({Control(i), Duration{0}});
        }
      }
      for (std::uint32_t i = 0; i < kLargeFleet; ++i) {
        elections[i].Note(now, known);
        const bool reading = elections[i].Update(now, {now, true, 58});
        if (reading && started_at[i] == TimePoint()) {
          started_at[i] = now;
        }
      }
    }
    const auto volunteers =
        std::count_if(started_at.begin(), started_at.end(),
                      [](TimePoint at) { return at != TimePoint(); });
    CPPUNIT_ASSERT_MESSAGE(std::to_string(volunteers) + " volunteers",
                           volunteers >= 2 && volunteers <= 12);
    const auto first = *std::min_element(
        started_at.begin(), started_at.end(), [](TimePoint a, TimePoint b) {
          return b == TimePoint() ? a != TimePoint() : a < b && a != b;
        });
    CPPUNIT_ASSERT(first - kStart < milliseconds(2600));
  }

  // The store rejects a designated reader and serves the others, which replace
  // it. It resumes when the store answers it.
  void ReaderThatTheStoreRejectsIsReplaced() {
    StoreReaderElection rejected(Control(0));
    CPPUNIT_ASSERT(rejected.Update(kStart, {{}, false, 0}));
    rejected.Note(kStart, {{Control(1), Duration{0}}, {Control(2), {}}});
    CPPUNIT_ASSERT(!rejected.Update(kStart, {{}, true, 5}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                         rejected.DesignatedReaders(kStart).size());
    // One of the two is lost.
    const TimePoint later = kStart + seconds(2);
    rejected.Note(later, {{Control(2), Duration{0}}});
    rejected.Update(kStart + seconds(3), {{}, true, 5});
    CPPUNIT_ASSERT(rejected.Update(kStart + milliseconds(3200), {{}, true, 5}));
  }

  // Load pattern: requests of many balancers keep changing a server's load. Its
  // agent sends at most 200 notices a second.
  void LoadNoticesDoNotGrowWithTheFleet() {
    FlowAgentSettings settings;
    settings.service = "desk";
    settings.node.data = {9, 1};
    settings.server = {9, 2};
    FlowAgent agent(settings);
    std::size_t notices = 0;
    for (int tick = 0; tick < 150; ++tick) {
      FlowAgentInbox inbox;
      for (std::uint32_t i = 0; tick % 50 == 0 && i < kLargeFleet; ++i) {
        FlowNotice query;
        query.kind = NoticeKind::kQuery;
        query.sender = Control(i).address;
        query.service_tag = ServiceTag(MakeServiceId("desk"));
        inbox.notices.push_back(query);
      }
      FlowPacket request;
      request.flow = {{0x64400007, 40001}, {0xC6120001, 443}};
      request.mark.service_tag = ServiceTag(MakeServiceId("desk"));
      request.sender = Control(0).address;
      request.opening = true;
      request.flow.client.port = static_cast<std::uint16_t>(1000 + tick);
      inbox.from_balancers.push_back(request);
      const FlowAgentOutbox outbox =
          agent.Tick(kStart + tick * milliseconds(20), inbox);
      // The first second includes the replies to the first queries.
      notices += tick < 50 ? 0 : outbox.notices.size();
    }
    // 2 s at 200 notices, and the replies to two rounds of queries.
    CPPUNIT_ASSERT_MESSAGE(std::to_string(notices) + " notices",
                           notices <= std::size_t{2} * (200 + kLargeFleet));
    CPPUNIT_ASSERT(notices > std::size_t{2} * kLargeFleet);
  }

  void FullPeerTableTakesNewPeers() {
    GossipPeers peers(Control(0), {Control(1)});
    GossipMessage digest;
    for (std::uint32_t i = 1; i <= 200; ++i) {
      digest.sender = Control(i);
      CPPUNIT_ASSERT(peers.NoteDigest(kStart + milliseconds(i), digest));
      CPPUNIT_ASSERT(!peers.NoteDigest(kStart + milliseconds(i), digest));
    }
    const std::size_t known =
        peers.LivePeers(kStart + milliseconds(200), 1000).size();
    CPPUNIT_ASSERT_EQUAL(std::size_t{64}, known);
  }

  void PeersThatWereOnlyNamedExpire() {
    GossipPeers peers(Control(0), {});
    GossipMessage digest;
    digest.sender = Control(1);
    digest.peers = {Control(2), Control(3)};
    peers.NoteDigest(kStart, digest);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, peers.NextTargets(kStart, 10).size());
    peers.Expire(kStart + seconds(11));
    CPPUNIT_ASSERT(peers.NextTargets(kStart + seconds(11), 10).empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FlowFleetTest);

}  // namespace
}  // namespace cactuscross::testing
