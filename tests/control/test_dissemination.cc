#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdlib>
#include <memory>
#include <string>
#include <vector>

#include "src/wire/peer_codec.h"
#include "tests/control/control_fleet.h"

namespace cactuscross {
namespace {

constexpr Duration kMaxContractDelay = seconds(12);
constexpr std::size_t kZones = 3;
constexpr std::size_t kBalancers = 12;

std::string ZoneName(std::size_t index) {
  return "zone-" + std::to_string(index % kZones);
}

// Tests the gossip of contracts and the reads from the configuration service in
// three zones with four balancers and one agent each.
class DisseminationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DisseminationTest);
  CPPUNIT_TEST(ChangeIsInForceEverywhere);
  CPPUNIT_TEST(OnlyDesignatedReadersReadTheService);
  CPPUNIT_TEST(MissedAnnouncementsAreRecovered);
  CPPUNIT_TEST(StaleServiceRevertsNothing);
  CPPUNIT_TEST(DeletionSurvivesAStaleService);
  CPPUNIT_TEST(ServiceDownAfterAcceptance);
  CPPUNIT_TEST(LongServiceOutage);
  CPPUNIT_TEST(MessagesAreEncodableAfterAnHourWithoutService);
  CPPUNIT_TEST(BurstOfChanges);
  CPPUNIT_TEST(RejectedVersionIsReportedAndThePreviousOneStays);
  CPPUNIT_TEST(DeadReadersAreReplaced);
  CPPUNIT_TEST(ZoneWhoseReadersCannotReachTheService);
  CPPUNIT_TEST(OthersReadWhenAllReadersLoseTheService);
  CPPUNIT_TEST(AllBecomeReadyAfterAPauseWithoutService);
  CPPUNIT_TEST(HealedPartitionConverges);
  CPPUNIT_TEST(JoinWithoutService);
  CPPUNIT_TEST(JoinWithoutServiceOrSyncedPeers);
  CPPUNIT_TEST(JoinAppliesTheHighestVersionDespiteAStaleService);
  CPPUNIT_TEST(AgentPullsTheVersionOfARequestAtOnce);
  CPPUNIT_TEST(AgentsReadTheServiceOnlyWithoutBalancers);
  CPPUNIT_TEST(EqualSeedsGiveEqualRuns);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { this->Build(7); }

  void ChangeIsInForceEverywhere() {
    CPPUNIT_ASSERT(this->WaitUntilInForce(this->ChangeContract()));
  }

  void OnlyDesignatedReadersReadTheService() {
    CPPUNIT_ASSERT_EQUAL(kZones * 2, this->fleet->Readers().size());
  }

  // Half of the processes receive no announcement and have to get the change
  // from the periodic exchange of digests.
  void MissedAnnouncementsAreRecovered() {
    this->fleet->faults.drop = [](const PeerEnvelope& envelope) {
      const auto* digest = std::get_if<ContractDigest>(&envelope.body);
      const bool announcement = digest != nullptr && !digest->reply_requested &&
                                !digest->since && digest->sequence == 0;
      return announcement && ToNumber(envelope.to.node) % 2 == 0;
    };
    CPPUNIT_ASSERT(this->WaitUntilInForce(this->ChangeContract()));
  }

  // Readers restart while the service serves an old revision. No process may
  // return to the older version.
  void StaleServiceRevertsNothing() {
    const ContractVersion old = this->fleet->service.revision;
    const ContractVersion newest = this->ChangeContract();
    CPPUNIT_ASSERT(this->WaitUntilInForce(newest));
    this->fleet->service.stale_revision = old;
    this->RestartReaders();
    this->fleet->Run(seconds(30));
    CPPUNIT_ASSERT(this->WaitUntilInForce(newest));
    CPPUNIT_ASSERT(this->AllHaveVersion(newest));
  }

  // Readers restart and a balancer joins while the service serves a state from
  // before a deletion. The deleted contract must not come into force again.
  void DeletionSurvivesAStaleService() {
    const ContractVersion old = this->fleet->service.revision;
    this->fleet->service.Delete("workshops");
    CPPUNIT_ASSERT(this->fleet->RunUntil(
        [this] { return this->AllHaveVersion(0); }, kMaxContractDelay));
    this->fleet->service.stale_revision = old;
    this->RestartReaders();
    const NodeId joined = this->fleet->AddBalancer("zone-0");
    this->fleet->Run(seconds(30));
    CPPUNIT_ASSERT(this->AllHaveVersion(0));
    CPPUNIT_ASSERT(this->fleet->Ready(joined));
  }

  // The service fails as soon as one process has a change in force. The other
  // processes have to receive it by gossip.
  void ServiceDownAfterAcceptance() {
    const ContractVersion version = this->ChangeContract();
    this->fleet->RunUntil(
        [&] {
          return std::any_of(
              this->all_nodes.begin(), this->all_nodes.end(), [&](NodeId node) {
                return this->fleet->VersionAt(node, "workshops") == version;
              });
        },
        seconds(5));
    this->fleet->service.down = true;
    CPPUNIT_ASSERT(this->WaitUntilInForce(version));
  }

  // All processes stay ready during an outage of the service and limit their
  // reads. A change has to be in force everywhere soon after the outage.
  void LongServiceOutage() {
    this->fleet->service.down = true;
    const std::uint64_t before = this->fleet->service.calls;
    this->fleet->Run(minutes(10));
    // After so long an outage every balancer may read, but at most once in half
    // of the maximum backoff. 1,500 balancers then stay below the 2,000 calls a
    // second that the service can handle.
    const std::uint64_t calls = this->fleet->service.calls - before;
    CPPUNIT_ASSERT(calls < kBalancers * 2 * 600 / 5);
    for (const NodeId node : this->all_nodes) {
      CPPUNIT_ASSERT(this->fleet->Ready(node));
    }
    const ContractVersion version = this->ChangeContract();
    this->fleet->service.down = false;
    CPPUNIT_ASSERT(this->fleet->RunUntil(
        [&] { return this->AllHaveVersion(version); }, seconds(12)));
  }

  // Guards against digests that cannot be encoded: during a long outage the age
  // of the last contact with the service exceeded the maximum duration of the
  // codec, and all digests were dropped.
  void MessagesAreEncodableAfterAnHourWithoutService() {
    this->fleet->service.down = true;
    this->fleet->tick = milliseconds(100);
    this->fleet->Run(minutes(65));
    std::size_t dropped = 0;
    this->fleet->observer = [&dropped](const PeerEnvelope& envelope) {
      dropped += EncodeEnvelope(envelope).empty() ? 1 : 0;
    };
    this->fleet->Run(minutes(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, dropped);
  }

  // 500 changes within a minute exceed the rate of announcements. All of them
  // still have to reach every balancer.
  void BurstOfChanges() {
    constexpr int kChanges = 500;
    for (int i = 0; i < kChanges; ++i) {
      const std::string customer = "burst-" + std::to_string(i % 100);
      this->fleet->service.Put(customer);
      this->fleet->Run(milliseconds(120));
    }
    const ContractVersion last = this->ChangeContract();
    CPPUNIT_ASSERT(this->WaitUntilInForce(last));
    CPPUNIT_ASSERT(this->fleet->RunUntil(
        [this] { return this->BalancersHaveConverged(); }, kMaxContractDelay));
  }

  void RejectedVersionIsReportedAndThePreviousOneStays() {
    const ContractVersion valid_version = this->ChangeContract();
    CPPUNIT_ASSERT(this->WaitUntilInForce(valid_version));
    const ContractVersion invalid_version =
        this->fleet->service.PutInvalid("workshops");
    this->fleet->Run(kMaxContractDelay);
    CPPUNIT_ASSERT(this->AllHaveVersion(valid_version));
    for (const NodeId node : this->all_nodes) {
      const nlohmann::json dump = this->fleet->At(node).Dump();
      const nlohmann::json& entry = dump["contracts"]["workshops"];
      CPPUNIT_ASSERT(entry["rejected"]["version"] == invalid_version);
    }
    CPPUNIT_ASSERT(this->WaitUntilInForce(this->ChangeContract()));
  }

  void DeadReadersAreReplaced() {
    for (const NodeId reader : this->fleet->Readers()) {
      this->fleet->Kill(reader);
    }
    CPPUNIT_ASSERT(this->fleet->RunUntil(
        [this] { return this->fleet->Readers().size() >= kZones; },
        seconds(30)));
    CPPUNIT_ASSERT(this->WaitUntilInForce(this->ChangeContract()));
  }

  // No process of one zone can read the service. The zone has to receive the
  // change by gossip from the other zones.
  void ZoneWhoseReadersCannotReachTheService() {
    this->fleet->faults.service_cut = [this](NodeId node) {
      return this->fleet->AddressOf(node).zone == "zone-0";
    };
    CPPUNIT_ASSERT(this->WaitUntilInForce(this->ChangeContract()));
  }

  // The designated readers of all zones cannot reach the service. Other
  // balancers can, and start to read when the contact with the service is too
  // old.
  void OthersReadWhenAllReadersLoseTheService() {
    const std::vector<NodeId> readers = this->fleet->Readers();
    this->fleet->faults.service_cut = [&readers](NodeId node) {
      return std::find(readers.begin(), readers.end(), node) != readers.end();
    };
    const ContractVersion version = this->ChangeContract();
    CPPUNIT_ASSERT(this->fleet->RunUntil(
        [&] { return this->AllHaveVersion(version); }, seconds(60)));
  }

  // All processes pause at once while the service is down, so that all views
  // are stale. If stale processes did not answer polls, none would become
  // ready.
  void AllBecomeReadyAfterAPauseWithoutService() {
    this->fleet->service.down = true;
    for (const NodeId node : this->all_nodes) {
      this->fleet->Pause(node, seconds(30));
    }
    this->fleet->Run(seconds(30));
    CPPUNIT_ASSERT(!this->fleet->Ready(this->all_nodes.front()));
    CPPUNIT_ASSERT(this->fleet->RunUntil(
        [this] {
          return std::all_of(
              this->all_nodes.begin(), this->all_nodes.end(),
              [this](NodeId node) { return this->fleet->Ready(node); });
        },
        seconds(10)));
  }

  // One zone is partitioned from its peers and the service; the service accepts
  // changes meanwhile.
  void HealedPartitionConverges() {
    const auto in_zone_0 = [](const PeerAddress& peer) {
      return peer.zone == "zone-0";
    };
    this->fleet->faults.cut = [in_zone_0](const PeerAddress& from,
                                          const PeerAddress& to) {
      return in_zone_0(from) != in_zone_0(to);
    };
    this->fleet->faults.service_cut = [this](NodeId node) {
      return this->fleet->AddressOf(node).zone == "zone-0";
    };
    for (int i = 0; i < 200; ++i) {
      this->fleet->service.Put("partition-" + std::to_string(i));
    }
    const ContractVersion version = this->ChangeContract();
    this->fleet->Run(minutes(3));
    CPPUNIT_ASSERT(!this->AllHaveVersion(version));
    this->fleet->faults.cut = nullptr;
    CPPUNIT_ASSERT(this->fleet->RunUntil(
        [&] {
          return this->AllHaveVersion(version) &&
                 this->BalancersHaveConverged();
        },
        seconds(30)));
  }

  // A balancer that joins while the service is down becomes ready only when it
  // has all contracts from its peers.
  void JoinWithoutService() {
    for (int i = 0; i < 300; ++i) {
      this->fleet->service.Put("many-" + std::to_string(i));
    }
    this->fleet->Run(kMaxContractDelay);
    this->fleet->service.down = true;
    const NodeId joined = this->fleet->AddBalancer("zone-1");
    CPPUNIT_ASSERT(!this->fleet->Ready(joined));
    CPPUNIT_ASSERT(this->fleet->RunUntil(
        [&] { return this->fleet->Ready(joined); }, seconds(10)));
    CPPUNIT_ASSERT(this->BalancersHaveConverged());
  }

  // Two balancers without any contracts must not become ready through each
  // other's answers.
  void JoinWithoutServiceOrSyncedPeers() {
    this->fleet->service.down = true;
    for (const NodeId node : this->all_nodes) {
      this->fleet->Kill(node);
    }
    this->fleet->Start(this->fleet->balancers[0]);
    this->fleet->Start(this->fleet->balancers[1]);
    this->fleet->Run(minutes(2));
    CPPUNIT_ASSERT(!this->fleet->Ready(this->fleet->balancers[0]));
    CPPUNIT_ASSERT(!this->fleet->Ready(this->fleet->balancers[1]));
    this->fleet->service.down = false;
    CPPUNIT_ASSERT(this->fleet->RunUntil(
        [&] { return this->fleet->Ready(this->fleet->balancers[0]); },
        seconds(30)));
  }

  // A stale answer of the service must not make a joining balancer ready before
  // it has the newest version from its peers.
  void JoinAppliesTheHighestVersionDespiteAStaleService() {
    const ContractVersion old = this->fleet->service.revision;
    const ContractVersion newest = this->ChangeContract();
    CPPUNIT_ASSERT(this->WaitUntilInForce(newest));
    this->fleet->service.stale_revision = old;
    const NodeId joined = this->fleet->AddBalancer("zone-2");
    CPPUNIT_ASSERT(this->fleet->RunUntil(
        [&] { return this->fleet->Ready(joined); }, seconds(10)));
    CPPUNIT_ASSERT_EQUAL(newest, this->fleet->VersionAt(joined, "workshops"));
  }

  // A request may name a newer contract version than its agent has. The agent
  // has to pull that version without waiting for its next poll.
  void AgentPullsTheVersionOfARequestAtOnce() {
    // The digests that the agent polls with are dropped.
    const NodeId agent = this->fleet->agents[0];
    this->fleet->faults.drop = [agent](const PeerEnvelope& envelope) {
      const auto* digest = std::get_if<ContractDigest>(&envelope.body);
      return digest != nullptr && envelope.from.node == agent;
    };
    const ContractVersion version = this->ChangeContract();
    const NodeId balancer = this->fleet->balancers[0];
    CPPUNIT_ASSERT(this->fleet->RunUntil(
        [&] {
          return this->fleet->VersionAt(balancer, "workshops") == version;
        },
        kMaxContractDelay));
    this->fleet->At(agent).NoteVersion(this->fleet->now,
                                       this->fleet->AddressOf(balancer),
                                       "workshops", version);
    this->fleet->Run(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(version, this->fleet->VersionAt(agent, "workshops"));
  }

  void AgentsReadTheServiceOnlyWithoutBalancers() {
    this->fleet->Run(minutes(2));
    for (const NodeId agent : this->fleet->agents) {
      CPPUNIT_ASSERT(!this->fleet->At(agent).Dump()["reads_service"]);
    }
    for (const NodeId balancer : this->fleet->balancers) {
      this->fleet->Kill(balancer);
    }
    CPPUNIT_ASSERT(this->fleet->RunUntil(
        [this] {
          return this->fleet->At(this->fleet->agents[0])
              .Dump()["reads_service"]
              .get<bool>();
        },
        minutes(2)));
  }

  void EqualSeedsGiveEqualRuns() {
    this->fleet->Run(seconds(30));
    const std::string first = this->DumpAll();
    this->Build(7);
    this->fleet->Run(seconds(30));
    CPPUNIT_ASSERT_EQUAL(first, this->DumpAll());
  }

 private:
  void Build(std::uint64_t seed) {
    this->fleet = std::make_unique<ControlFleet>(seed);
    this->agent_addresses.clear();
    for (std::size_t i = 0; i < kBalancers; ++i) {
      this->fleet->AddBalancer(ZoneName(i));
    }
    for (std::size_t i = 0; i < kZones; ++i) {
      this->agent_addresses.push_back(this->fleet->AddressOf(
          this->fleet->AddAgent(ZoneName(i), "workshops")));
    }
    this->all_nodes = this->fleet->balancers;
    this->all_nodes.insert(this->all_nodes.end(), this->fleet->agents.begin(),
                           this->fleet->agents.end());
    CPPUNIT_ASSERT(this->WaitUntilInForce(this->ChangeContract()));
    this->fleet->Run(seconds(20));
  }

  ContractVersion ChangeContract() {
    return this->fleet->service.Put("workshops", this->agent_addresses);
  }

  bool AllHaveVersion(ContractVersion version) const {
    return std::all_of(
        this->all_nodes.begin(), this->all_nodes.end(), [&](NodeId node) {
          return !this->fleet->Alive(node) ||
                 this->fleet->VersionAt(node, "workshops") == version;
        });
  }

  bool WaitUntilInForce(ContractVersion version) {
    return this->fleet->RunUntil(
        [&] {
          return this->fleet->AllHave(this->all_nodes, "workshops", version);
        },
        kMaxContractDelay);
  }

  bool BalancersHaveConverged() const {
    std::vector<std::uint64_t> hashes;
    for (const NodeId node : this->fleet->balancers) {
      if (this->fleet->Alive(node)) {
        hashes.push_back(this->fleet->At(node).Dump()["contracts_hash"]);
      }
    }
    return std::all_of(
        hashes.begin(), hashes.end(),
        [&hashes](std::uint64_t hash) { return hash == hashes.front(); });
  }

  void RestartReaders() {
    for (const NodeId reader : this->fleet->Readers()) {
      this->fleet->Start(reader);
    }
  }

  std::string DumpAll() const {
    std::string all;
    for (const NodeId node : this->all_nodes) {
      all += this->fleet->At(node).Dump().dump();
    }
    return all;
  }

  std::unique_ptr<ControlFleet> fleet;
  std::vector<PeerAddress> agent_addresses;
  std::vector<NodeId> all_nodes;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DisseminationTest);

}  // namespace
}  // namespace cactuscross
