#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "tests/flow/flow_cores.h"

namespace cactuscross::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kHostC = 0x0A000003;
constexpr std::uint32_t kFull = 100;  // running requests at a saturated server

// A balancer whose view includes a server of another service.
class SiteWithParts : public BalancerAtStore {
 public:
  SiteWithParts() {
    this->Put("servers/c", MakeEntry("10.0.0.3:1", "ready",
                                     R"("seq":1,"born":1000)", "parts"));
    this->Run(seconds(3));
  }

  // Opens kFlow at `host`, on which its server accepts it.
  void OpenAt(std::uint32_t host) {
    this->Notify(NoticeKind::kLoad, host == kHostA ? kHostB : kHostA, kFull);
    CPPUNIT_ASSERT(std::vector{host} ==
                   HostsOf(this->Send(MakeOpening(kFirstClient))));
    this->Notify(NoticeKind::kAccepted, host, 0);
    this->Notify(NoticeKind::kLoad, host == kHostA ? kHostB : kHostA, 0);
    CPPUNIT_ASSERT(
        std::vector{host} ==
        HostsOf(this->Send(MakePacket(kFirstClient + 1, kFirstServer + 1))));
  }

  // The next change of the store reaches the balancer in the tick after
  // `store_answers` is set.
  void PauseStore() {
    this->store_answers = false;
    this->Run(milliseconds(500));
  }

  static std::vector<std::uint32_t> HostsOf(const FlowBalancerOutbox& outbox) {
    std::vector<std::uint32_t> hosts;
    for (const FlowForward& forward : outbox.forwards) {
      hosts.push_back(forward.destination.address);
    }
    return hosts;
  }
};

FlowPacket MakeRetransmission(std::uint32_t sequence) {
  FlowPacket packet = MakeOpening(sequence);
  packet.retransmit_count = 1;
  return packet;
}

// Each transmission of an opening goes to a server that may take a new flow of
// its route at that time, whatever the balancer knew of the port before.
class OpeningEligibilityTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OpeningEligibilityTest);
  CPPUNIT_TEST(PortUsedAgainFollowsTheRoute);
  CPPUNIT_TEST(RetransmissionFollowsTheRoute);
  CPPUNIT_TEST(WaitingOpeningFollowsTheRoute);
  CPPUNIT_TEST(WaitingOpeningOfADroppedRouteIsRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against new flows that are run by the service which the route named
  // before: the cache knew the server of the port's last flow (review/2).
  void PortUsedAgainFollowsTheRoute() {
    SiteWithParts site;
    site.OpenAt(kHostA);
    site.PutRoute("parts");
    site.Run(seconds(1));
    CPPUNIT_ASSERT(std::vector{kHostC} ==
                   site.HostsOf(site.Send(MakeOpening(kNextClient))));
  }

  // The same for an opening without an answer from the server so far.
  void RetransmissionFollowsTheRoute() {
    SiteWithParts site;
    site.PauseStore();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         site.Send(MakeOpening(kFirstClient)).forwards.size());
    site.PutRoute("parts");
    site.store_answers = true;
    site.Tick();
    CPPUNIT_ASSERT(std::vector{kHostC} ==
                   site.HostsOf(site.Send(MakeRetransmission(kFirstClient))));
  }

  // The same for an opening that waits for a place, under both admission
  // policies.
  void WaitingOpeningFollowsTheRoute() {
    for (const int priority : {0, 1}) {
      SiteWithParts site;
      site.PutRoute("desk", priority);
      site.Run(seconds(1));
      site.Notify(NoticeKind::kLoad, kHostA, kFull);
      site.Notify(NoticeKind::kLoad, kHostB, kFull);
      CPPUNIT_ASSERT(site.Send(MakeOpening(kFirstClient)).forwards.empty());
      site.PutRoute("parts", priority);
      std::vector<std::uint32_t> hosts;
      for (int i = 0; i < 60; ++i) {
        // The servers of the old service become free again.
        for (const std::uint32_t host : site.HostsOf(
                 site.Notify(NoticeKind::kLoad, kHostA, i < 50 ? kFull : 0))) {
          hosts.push_back(host);
        }
      }
      CPPUNIT_ASSERT_MESSAGE(std::to_string(priority),
                             !hosts.empty() && hosts.front() == kHostC);
    }
  }

  // A route that no longer exists gets no new flows.
  void WaitingOpeningOfADroppedRouteIsRefused() {
    SiteWithParts site;
    site.Notify(NoticeKind::kLoad, kHostA, kFull);
    site.Notify(NoticeKind::kLoad, kHostB, kFull);
    CPPUNIT_ASSERT(site.Send(MakeOpening(kFirstClient)).forwards.empty());
    site.PutRoute("");
    std::size_t resets = 0;
    for (int i = 0; i < 60; ++i) {
      const FlowBalancerOutbox outbox =
          site.Notify(NoticeKind::kLoad, kHostA, i < 50 ? kFull : 0);
      CPPUNIT_ASSERT(outbox.forwards.empty());
      resets += outbox.resets.size();
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, resets);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OpeningEligibilityTest);

}  // namespace
}  // namespace cactuscross::testing
