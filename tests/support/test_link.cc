#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "tests/support/cluster.h"
#include "tests/support/link.h"

namespace cactuscross::testing {
namespace {

constexpr LinkEnd kLeft{1};
constexpr LinkEnd kRight{2};
constexpr int kMessages = 1000;

// The in-memory network, the fake platform and the cluster that other tests
// use.
class LinkTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LinkTest);
  CPPUNIT_TEST(LosesAndDuplicatesDatagramsOnly);
  CPPUNIT_TEST(BlackholedPathDeliversAfterRenewal);
  CPPUNIT_TEST(CutStopsBothDirections);
  CPPUNIT_TEST(StaleServiceAnswersWithOlderVersion);
  CPPUNIT_TEST(ClusterRunsThroughPauseAndRestart);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LosesAndDuplicatesDatagramsOnly() {
    Link link(1);
    LinkFaults faults;
    faults.loss = 0.1;
    faults.duplication = 0.1;
    faults.jitter = std::chrono::milliseconds(5);
    link.SetFaults(faults);
    int datagrams = 0;
    std::vector<int> stream;
    for (int i = 0; i < kMessages; ++i) {
      link.Send(kLeft, kRight, Transport::kDatagram, [&] { ++datagrams; });
      link.Send(kLeft, kRight, Transport::kStream,
                [&stream, i] { stream.push_back(i); });
    }
    link.AdvanceTo(link.Now() + std::chrono::seconds(1));
    CPPUNIT_ASSERT(datagrams > 900 && datagrams < 1080);
    CPPUNIT_ASSERT_EQUAL(std::size_t{kMessages}, stream.size());
    CPPUNIT_ASSERT(std::is_sorted(stream.begin(), stream.end()));
  }

  void BlackholedPathDeliversAfterRenewal() {
    Link link(1);
    int arrived = 0;
    const auto send = [&](Transport transport) {
      link.Send(kLeft, kRight, transport, [&] { ++arrived; });
      link.AdvanceTo(link.Now() + std::chrono::seconds(1));
    };
    link.Blackhole(kLeft, kRight);
    send(Transport::kDatagram);
    CPPUNIT_ASSERT_EQUAL(0, arrived);
    send(Transport::kNewPathDatagram);
    CPPUNIT_ASSERT_EQUAL(1, arrived);
    link.RenewPath(kLeft, kRight);
    send(Transport::kDatagram);
    CPPUNIT_ASSERT_EQUAL(2, arrived);
  }

  void CutStopsBothDirections() {
    Link link(1);
    int arrived = 0;
    link.Cut(kRight, kLeft);
    link.Send(kLeft, kRight, Transport::kStream, [&] { ++arrived; });
    link.Send(kRight, kLeft, Transport::kNewPathDatagram, [&] { ++arrived; });
    link.Heal(kLeft, kRight);
    link.Send(kLeft, kRight, Transport::kDatagram, [&] { arrived += 10; });
    link.AdvanceTo(link.Now() + std::chrono::seconds(1));
    CPPUNIT_ASSERT_EQUAL(10, arrived);
  }

  void StaleServiceAnswersWithOlderVersion() {
    Link link(1);
    FakePlatform platform(link);
    Contract contract;
    contract.customer = "workshops";
    const ContractVersion first = platform.Publish(contract);
    const ContractVersion second = platform.Publish(contract);
    platform.SetStale(first);
    PlatformResult seen;
    platform.Read(
        {PlatformReadKind::kWatchContracts, second, std::chrono::seconds(5)},
        [&](const PlatformResult& result) { seen = result; });
    link.AdvanceTo(link.Now() + std::chrono::seconds(1));
    CPPUNIT_ASSERT(seen.ok);
    CPPUNIT_ASSERT_EQUAL(first, seen.revision);
    CPPUNIT_ASSERT_EQUAL(first, seen.values.at(0).version);
  }

  void ClusterRunsThroughPauseAndRestart() {
    Cluster cluster(1);
    cluster.AddBalancer(1, "north-1");
    cluster.AddAgent(11, "north-1", "workshops/claims");
    const TimePoint start = cluster.Now();
    cluster.Pause(11);
    cluster.RunFor(std::chrono::seconds(1));
    cluster.Resume(11);
    cluster.Kill(1);
    cluster.Start(1);
    cluster.RunFor(std::chrono::seconds(1));
    CPPUNIT_ASSERT(cluster.Now() == start + std::chrono::seconds(2));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, cluster.GetProcess(1).starts);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LinkTest);

}  // namespace
}  // namespace cactuscross::testing
