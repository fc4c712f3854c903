#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "src/core/control/member_table.h"
#include "src/core/control/outbound.h"
#include "src/core/control/prober.h"
#include "src/core/control/watch_set.h"
#include "tests/control/control_fleet.h"

namespace cactuscross {
namespace {

constexpr Duration kDetectionTime = seconds(15);
constexpr std::size_t kZones = 3;

PeerAddress Balancer(std::uint32_t node, const std::string& zone) {
  return {NodeId{node}, Role::kBalancer, zone, {0x7F000001, 7000}};
}

// Tests the membership view of one process, without a network.
class MemberTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MemberTableTest);
  CPPUNIT_TEST(HigherIncarnationWins);
  CPPUNIT_TEST(DirectContactOverridesAGossipedDeath);
  CPPUNIT_TEST(FalseUpdateAboutSelfIsRefuted);
  CPPUNIT_TEST(HostListMarksLeavingUntilTheNextStart);
  CPPUNIT_TEST(WatchersComeFromTheSameAndOtherZones);
  CPPUNIT_TEST(RequestedProbeOfADownProcessGoesFirst);
  CPPUNIT_TEST_SUITE_END();

 public:
  void HigherIncarnationWins() {
    MemberTable table(Balancer(1, "a"), Incarnation{1});
    const PeerAddress peer = Balancer(2, "a");
    table.Apply(this->now, {peer, Incarnation{5}, MemberState::kAlive});
    table.Apply(this->now, {peer, Incarnation{5}, MemberState::kSuspect});
    table.Apply(this->now, {peer, Incarnation{5}, MemberState::kAlive});
    CPPUNIT_ASSERT(table.StateOf(peer.node) == MemberState::kSuspect);
    table.Apply(this->now, {peer, Incarnation{6}, MemberState::kAlive});
    CPPUNIT_ASSERT(table.StateOf(peer.node) == MemberState::kAlive);
    table.Apply(this->now, {peer, Incarnation{5}, MemberState::kDead});
    CPPUNIT_ASSERT(table.StateOf(peer.node) == MemberState::kAlive);
  }

  void DirectContactOverridesAGossipedDeath() {
    MemberTable table(Balancer(1, "a"), Incarnation{1});
    const PeerAddress peer = Balancer(2, "a");
    table.NoteReceived(this->now, peer, Incarnation{5});
    const auto refutation_target =
        table.Apply(this->now, {peer, Incarnation{5}, MemberState::kDead});
    CPPUNIT_ASSERT(refutation_target == peer.node);
    CPPUNIT_ASSERT(table.StateOf(peer.node) == MemberState::kAlive);
  }

  void FalseUpdateAboutSelfIsRefuted() {
    const PeerAddress self = Balancer(1, "a");
    MemberTable table(self, Incarnation{1});
    table.Apply(this->now, {self, Incarnation{4}, MemberState::kDead});
    const MemberUpdate update = table.SelfUpdate();
    CPPUNIT_ASSERT(update.incarnation == Incarnation{5});
    CPPUNIT_ASSERT(update.state == MemberState::kAlive);
    CPPUNIT_ASSERT(table.HasNoticeUpdates());
  }

  // The host list may be stale. Its leaving mark applies only to the
  // incarnation that was known when the mark appeared.
  void HostListMarksLeavingUntilTheNextStart() {
    MemberTable table(Balancer(1, "a"), Incarnation{1});
    const PeerAddress peer = Balancer(2, "a");
    table.NoteReceived(this->now, peer, Incarnation{5});
    table.RecordHostListEntry(this->now, peer, true);
    CPPUNIT_ASSERT(table.StateOf(peer.node) == MemberState::kLeaving);
    table.NoteReceived(this->now, peer, Incarnation{6});
    table.RecordHostListEntry(this->now, peer, true);
    CPPUNIT_ASSERT(table.StateOf(peer.node) == MemberState::kAlive);
  }

  void WatchersComeFromTheSameAndOtherZones() {
    WatcherPool pool;
    std::vector<PeerAddress> watchers;
    for (std::uint32_t i = 1; i <= 60; ++i) {
      watchers.push_back(Balancer(i, i % 2 == 0 ? "even" : "odd"));
    }
    for (const PeerAddress& watcher : watchers) {
      pool.Add(watcher.node, watcher.zone);
    }
    for (std::uint32_t target = 100; target < 200; ++target) {
      const PeerAddress peer = Balancer(target, "even");
      std::size_t same_zone = 0;
      std::size_t other_zone = 0;
      for (const PeerAddress& watcher : watchers) {
        const bool watches = pool.IsWatcher(watcher, peer, 3);
        same_zone += watches && watcher.zone == "even" ? 1 : 0;
        other_zone += watches && watcher.zone == "odd" ? 1 : 0;
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, same_zone);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, other_zone);
    }
  }

  // Processes that are down are probed one after the other. One that a request
  // needs is probed at once.
  void RequestedProbeOfADownProcessGoesFirst() {
    const PeerAddress self = Balancer(1, "a");
    MemberTable table(self, Incarnation{1});
    Outbound outbound(self, Incarnation{1});
    ControlRandom random(3);
    Prober prober(Role::kBalancer, table, outbound, random);
    for (std::uint32_t node = 2; node < 200; ++node) {
      table.AddMember(this->now, Balancer(node, "a"));
      table.RecordProbeResult(this->now, NodeId{node}, MemberState::kDead);
    }
    static constexpr NodeId kRequested{150};
    prober.RequestProbe(kRequested);
    std::vector<NodeId> renewed_paths;
    prober.Tick(this->now, renewed_paths);
    std::vector<PeerEnvelope> sent;
    outbound.Drain(sent);
    CPPUNIT_ASSERT(
        std::any_of(sent.begin(), sent.end(), [](const PeerEnvelope& envelope) {
          return envelope.to.node == kRequested;
        }));
  }

 private:
  TimePoint now{seconds(100)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemberTableTest);

// Tests failure detection and the gossip of membership updates in three zones
// with four balancers and three agents each.
class MembershipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MembershipTest);
  CPPUNIT_TEST(DeadAgentIsKnownEverywhere);
  CPPUNIT_TEST(DeadBalancerIsKnownEverywhere);
  CPPUNIT_TEST(RestartedProcessIsAliveAgain);
  CPPUNIT_TEST(PacketLossCausesNoDeaths);
  CPPUNIT_TEST(PausedProcessInvalidatesItsViewAndSuspectsNobody);
  CPPUNIT_TEST(PausedAgentIsAliveAgainAfterItsPause);
  CPPUNIT_TEST(BlackholedPathIsRenewedWithoutSuspicion);
  CPPUNIT_TEST(ForwardedMessageWithoutAnswerLeadsToAProbe);
  CPPUNIT_TEST(LeavingIsKnownEverywhere);
  CPPUNIT_TEST(HostListNeverMarksProcessesDead);
  CPPUNIT_TEST(HealedPartitionRevivesBothSides);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    this->fleet = std::make_unique<ControlFleet>(11);
    std::vector<PeerAddress> addresses;
    for (std::size_t i = 0; i < 4 * kZones; ++i) {
      this->fleet->AddBalancer("zone-" + std::to_string(i % kZones));
    }
    addresses.reserve(3 * kZones);
    for (std::size_t i = 0; i < 3 * kZones; ++i) {
      addresses.push_back(this->fleet->AddressOf(this->fleet->AddAgent(
          "zone-" + std::to_string(i % kZones), "workshops")));
    }
    this->fleet->service.Put("workshops", addresses);
    this->fleet->Run(seconds(40));
    this->agent = this->fleet->agents[0];
    this->balancer = this->fleet->balancers[0];
  }

  void DeadAgentIsKnownEverywhere() {
    this->fleet->Kill(this->agent);
    CPPUNIT_ASSERT(
        this->Becomes(this->agent, MemberState::kDead, kDetectionTime));
    CPPUNIT_ASSERT(this->OnlyDown({this->agent}));
  }

  void DeadBalancerIsKnownEverywhere() {
    this->fleet->Kill(this->balancer);
    CPPUNIT_ASSERT(
        this->Becomes(this->balancer, MemberState::kDead, seconds(25)));
    CPPUNIT_ASSERT(this->OnlyDown({this->balancer}));
  }

  void RestartedProcessIsAliveAgain() {
    this->fleet->Kill(this->agent);
    this->fleet->Run(seconds(30));
    this->fleet->Start(this->agent);
    CPPUNIT_ASSERT(
        this->Becomes(this->agent, MemberState::kAlive, kDetectionTime));
  }

  void PacketLossCausesNoDeaths() {
    this->fleet->faults.loss_percent = 5;
    this->fleet->Run(minutes(5));
    CPPUNIT_ASSERT(this->OnlyDown({}));
    CPPUNIT_ASSERT_EQUAL(0.0, this->SumOfMetric("control_deaths_total"));
  }

  // A process receives nothing during its pause. It must not suspect its peers
  // for that, and has to refresh its view before it is ready again.
  void PausedProcessInvalidatesItsViewAndSuspectsNobody() {
    this->fleet->Pause(this->balancer, seconds(30));
    this->fleet->Run(seconds(29));
    const double before = this->SumOfMetric("control_suspicions_total");
    // Nothing answers the paused process while it resumes.
    this->fleet->faults.cut = [this](const PeerAddress& from,
                                     const PeerAddress& to) {
      return from.node == this->balancer || to.node == this->balancer;
    };
    this->fleet->service.down = true;
    this->fleet->Run(seconds(2));
    CPPUNIT_ASSERT(!this->fleet->Ready(this->balancer));
    CPPUNIT_ASSERT_EQUAL(before, this->SumOfMetric("control_suspicions_total"));
    this->fleet->faults.cut = nullptr;
    CPPUNIT_ASSERT(this->fleet->RunUntil(
        [this] { return this->fleet->Ready(this->balancer); }, seconds(5)));
    CPPUNIT_ASSERT(
        this->Becomes(this->balancer, MemberState::kAlive, kDetectionTime));
    CPPUNIT_ASSERT(this->OnlyDown({}));
  }

  void PausedAgentIsAliveAgainAfterItsPause() {
    this->fleet->Pause(this->agent, seconds(40));
    CPPUNIT_ASSERT(
        this->Becomes(this->agent, MemberState::kDead, kDetectionTime));
    this->fleet->Run(seconds(30));
    CPPUNIT_ASSERT(
        this->Becomes(this->agent, MemberState::kAlive, kDetectionTime));
  }

  // Datagrams on the old path from one balancer to one agent are dropped; those
  // from a new source port arrive.
  void BlackholedPathIsRenewedWithoutSuspicion() {
    this->fleet->faults.drop = [this](const PeerEnvelope& envelope) {
      const auto* probe = std::get_if<Probe>(&envelope.body);
      return envelope.from.node == this->balancer &&
             envelope.to.node == this->agent && probe != nullptr &&
             !probe->new_path;
    };
    CPPUNIT_ASSERT(this->fleet->RunUntil(
        [this] { return this->PathIsRenewed(); }, seconds(30)));
    CPPUNIT_ASSERT(this->OnlyDown({}));
  }

  // A process that does not answer a forwarded message is probed without
  // waiting for its next periodic probe cycle.
  void ForwardedMessageWithoutAnswerLeadsToAProbe() {
    this->fleet->Kill(this->agent);
    this->fleet->At(this->balancer)
        .NoteForwarded(this->fleet->now, this->fleet->AddressOf(this->agent));
    CPPUNIT_ASSERT(this->fleet->RunUntil(
        [this] {
          return this->fleet->At(this->balancer).StateOf(this->agent) ==
                 MemberState::kSuspect;
        },
        seconds(4)));
  }

  void LeavingIsKnownEverywhere() {
    this->fleet->At(this->agent).Leave(this->fleet->now);
    CPPUNIT_ASSERT(
        this->Becomes(this->agent, MemberState::kLeaving, seconds(5)));
    this->fleet->At(this->balancer).Leave(this->fleet->now);
    CPPUNIT_ASSERT(
        this->Becomes(this->balancer, MemberState::kLeaving, seconds(5)));
  }

  void HostListNeverMarksProcessesDead() {
    for (const NodeId node : this->fleet->balancers) {
      this->fleet->service.hosts.push_back(
          {this->fleet->AddressOf(node), false});
    }
    this->fleet->service.hosts[1].leaving = true;
    this->fleet->Run(seconds(60));
    const NodeId listed_as_leaving = this->fleet->balancers[1];
    CPPUNIT_ASSERT(
        this->fleet->Disagreeing(listed_as_leaving, MemberState::kLeaving)
            .empty());
    // An empty list, and a list that no longer reports the balancer as leaving.
    const std::vector<HostEntry> hosts =
        std::exchange(this->fleet->service.hosts, {});
    this->fleet->Run(seconds(60));
    CPPUNIT_ASSERT_EQUAL(0.0, this->SumOfMetric("control_suspicions_total"));
    this->fleet->service.hosts = hosts;
    this->fleet->service.hosts[1].leaving = false;
    this->fleet->Run(seconds(60));
    CPPUNIT_ASSERT(this->OnlyDown({}));
  }

  // During a partition, each side records the other as dead. After it, both
  // have to refute that, or they would get no new work.
  void HealedPartitionRevivesBothSides() {
    this->fleet->faults.cut = [](const PeerAddress& from,
                                 const PeerAddress& to) {
      return (from.zone == "zone-0") != (to.zone == "zone-0");
    };
    this->fleet->Run(minutes(3));
    CPPUNIT_ASSERT(
        this->fleet->At(this->fleet->balancers[1]).StateOf(this->balancer) ==
        MemberState::kDead);
    this->fleet->faults.cut = nullptr;
    CPPUNIT_ASSERT(this->fleet->RunUntil([this] { return this->OnlyDown({}); },
                                         seconds(60)));
  }

 private:
  bool Becomes(NodeId node, MemberState state, Duration max_duration) {
    return this->fleet->RunUntil(
        [&] { return this->fleet->Disagreeing(node, state).empty(); },
        max_duration);
  }

  // True if every balancer has all processes except those in `down` as alive.
  bool OnlyDown(const std::vector<NodeId>& down) const {
    for (const auto& [node, process] : this->fleet->processes) {
      const bool expected =
          std::find(down.begin(), down.end(), node) != down.end();
      if (!expected &&
          !this->fleet->Disagreeing(node, MemberState::kAlive).empty()) {
        return false;
      }
    }
    return true;
  }

  bool PathIsRenewed() const {
    const auto& renewed =
        this->fleet->processes.at(this->balancer).renewed_paths;
    return std::find(renewed.begin(), renewed.end(), this->agent) !=
           renewed.end();
  }

  double SumOfMetric(const std::string& name) const {
    double sum = 0;
    for (const NodeId node : this->fleet->balancers) {
      for (const MetricSample& sample : this->fleet->At(node).Metrics()) {
        sum += sample.name == name ? sample.value : 0;
      }
    }
    return sum;
  }

  std::unique_ptr<ControlFleet> fleet;
  NodeId agent = kNoNode;
  NodeId balancer = kNoNode;
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);

}  // namespace
}  // namespace cactuscross
