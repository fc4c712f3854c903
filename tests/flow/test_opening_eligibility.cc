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
  CPPUNIT_TEST(PortUsedAgainAvoidsALeavingServer);
  CPPUNIT_TEST(RetransmissionAvoidsALeavingServer);
  CPPUNIT_TEST(PortUsedAgainIsNewToItsAgent);
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

  // Guards against new flows at a server that leaves: the cache knew it from
  // the port's last flow (review/5). The initial sequence number may be close
  // to that of the earlier flow by chance.
  void PortUsedAgainAvoidsALeavingServer() {
    const std::string draining =
        MakeEntry("10.0.0.1:1", "draining", R"("seq":501,"born":1000)");
    // An unreadable entry names no server: this one is gone.
    for (const std::string& entry : {draining, std::string()}) {
      for (const std::uint32_t sequence : {kNextClient, kFirstClient + 1000}) {
        SiteWithParts site;
        site.OpenAt(kHostA);
        site.Put("servers/a", entry);
        site.Run(seconds(3));
        CPPUNIT_ASSERT(std::vector{kHostB} ==
                       site.HostsOf(site.Send(MakeOpening(sequence))));
      }
    }
  }

  // The same for an opening without an answer from the server so far.
  void RetransmissionAvoidsALeavingServer() {
    SiteWithParts site;
    site.Notify(NoticeKind::kLoad, kHostB, kFull);
    site.PauseStore();
    CPPUNIT_ASSERT(std::vector{kHostA} ==
                   site.HostsOf(site.Send(MakeOpening(kFirstClient))));
    site.Put("servers/a",
             MakeEntry("10.0.0.1:1", "draining", R"("seq":501,"born":1000)"));
    site.store_answers = true;
    site.Notify(NoticeKind::kLoad, kHostB, 0);
    CPPUNIT_ASSERT(std::vector{kHostB} ==
                   site.HostsOf(site.Send(MakeRetransmission(kFirstClient))));
  }

  // The agent knew the port from its last flow: it sent a new opening to its
  // server although it was stopping or the server had no capacity.
  void PortUsedAgainIsNewToItsAgent() {
    for (const bool stopping : {true, false}) {
      AgentOfServer agent;
      agent.Open(kFirstClient, kFirstServer);
      FlowAgentInbox inbox;
      inbox.stop_requested = stopping;
      if (!stopping) {
        FlowNotice& query = inbox.notices.emplace_back();
        query.kind = NoticeKind::kQuery;
        query.service_tag = kDeskTag;
        query.max_running = 1;
        FlowPacket request = MakePacket(kFirstClient + 1, kFirstServer + 1);
        request.data_bytes = 100;
        agent.FromClient(request);
      }
      agent.Tick(inbox);
      const FlowAgentOutbox refused =
          agent.FromClient(MakeOpening(kNextClient));
      CPPUNIT_ASSERT(refused.to_server.empty());
      CPPUNIT_ASSERT_EQUAL(
          std::size_t{1},
          CountNotices(refused, stopping ? NoticeKind::kRefused
                                         : NoticeKind::kSaturated));
      // A retransmission is answered, whatever the load.
      CPPUNIT_ASSERT_EQUAL(
          std::size_t{1},
          agent.FromClient(MakeRetransmission(kFirstClient)).to_server.size());
    }
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
