#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <vector>

#include "tests/flow/flow_cores.h"

namespace cactuscross::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kFull = 100;  // running requests at a saturated server

// Packets of the first flow of the port, and of the next one, which another
// server holds.
FlowPacket FirstPacket() {
  return MakePacket(kFirstClient + 1, kFirstServer + 1);
}
FlowPacket NextPacket() {
  return MakePacket(kNextClient + 1, kNextServer + 1);
}

LookupResult LookUp(AgentOfServer& agent) {
  FlowAgentInbox inbox;
  FlowNotice& lookup = inbox.notices.emplace_back();
  lookup.kind = NoticeKind::kLookup;
  lookup.service_tag = kDeskTag;
  lookup.lookups = {{kFlow, LookupResult::kUnknown}};
  for (const OutgoingNotice& outgoing : agent.Tick(inbox).notices) {
    if (outgoing.notice.kind == NoticeKind::kLookupReply) {
      return outgoing.notice.lookups.at(0).result;
    }
  }
  CPPUNIT_FAIL("the agent did not answer");
  return LookupResult::kUnknown;
}

// Hosts whose agents are asked whether their servers hold kFlow.
std::vector<std::uint32_t> AskedHosts(const FlowBalancerOutbox& outbox) {
  std::vector<std::uint32_t> hosts;
  for (const OutgoingNotice& outgoing : outbox.notices) {
    if (outgoing.notice.kind == NoticeKind::kLookup) {
      hosts.push_back(outgoing.host);
    }
  }
  std::sort(hosts.begin(), hosts.end());
  return hosts;
}

// A balancer to which kFlow may have been opened before, and answers of agents.
class Site : public BalancerAtStore {
 public:
  Site() { this->Run(seconds(3)); }

  // Opens the first flow of the port at host A.
  void OpenAtA() {
    this->Notify(NoticeKind::kLoad, kHostB, kFull);
    this->Send(MakeOpening(kFirstClient));
    this->Notify(NoticeKind::kAccepted, kHostA, 0);
    this->Notify(NoticeKind::kLoad, kHostB, 0);
    CPPUNIT_ASSERT_EQUAL(
        kHostA, this->Send(FirstPacket()).forwards.at(0).destination.address);
  }
  FlowBalancerOutbox Reply(std::uint32_t host, LookupResult result) {
    FlowBalancerInbox inbox;
    FlowNotice& notice = inbox.notices.emplace_back();
    notice.kind = NoticeKind::kLookupReply;
    notice.sender = host;
    notice.service_tag = kDeskTag;
    notice.lookups = {{kFlow, result}};
    return this->Tick(std::move(inbox));
  }
};

// A client uses a port again. The new flow has the key of the earlier one, and
// may be held by another server, to which another balancer has assigned it.
class FlowIdentityTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FlowIdentityTest);
  CPPUNIT_TEST(AgentDeniesALaterFlowOfThePort);
  CPPUNIT_TEST(DenialOfAnOpeningLeavesTheKeyCertain);
  CPPUNIT_TEST(RestartedAgentDeniesALaterFlowOfThePort);
  CPPUNIT_TEST(ReturnedPacketOfALaterFlowIsDenied);
  CPPUNIT_TEST(CacheDoesNotKnowALaterFlowOfThePort);
  CPPUNIT_TEST(DenialsOfAnEarlierFlowDoNotCount);
  CPPUNIT_TEST(SearchForAnEarlierFlowResetsNoLaterOne);
  CPPUNIT_TEST(HolderOfAnEarlierFlowIsNotRecorded);
  CPPUNIT_TEST(LatePacketDoesNotEndAnOpening);
  CPPUNIT_TEST(OpeningOfALaterFlowReplacesTheEarlierOne);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against flows whose packets all go to a server that does not hold
  // them: the agent knew the key from the earlier flow (review/3). It must tell
  // the balancer, whether that flow is still open, as after a crash of the
  // client, or is closing.
  void AgentDeniesALaterFlowOfThePort() {
    for (const bool closing : {true, false}) {
      AgentOfServer agent;
      agent.Open(kFirstClient, kFirstServer);
      CPPUNIT_ASSERT(LookupResult::kHeld == LookUp(agent));
      FlowPacket last = FirstPacket();
      last.closing = closing;
      agent.FromClient(last);
      const FlowAgentOutbox denied = agent.FromClient(NextPacket());
      CPPUNIT_ASSERT(denied.to_server.empty());
      CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                           CountNotices(denied, NoticeKind::kNotHeld));
      // The balancer needs the packet for its search.
      CPPUNIT_ASSERT(!denied.notices.at(0).notice.packet.empty());
      // Otherwise the search would end at this server again.
      CPPUNIT_ASSERT(LookupResult::kUnknown == LookUp(agent));
      // The earlier flow is not affected.
      CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                           agent.FromClient(FirstPacket()).to_server.size());
      // The client opens the next flow here.
      agent.Open(kNextClient, kNextServer);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                           agent.FromClient(NextPacket()).to_server.size());
      CPPUNIT_ASSERT(LookupResult::kHeld == LookUp(agent));
    }
  }

  // Two servers have accepted the same opening, and the other one's packets
  // reach this agent. That is no other flow of the port: once the client has
  // chosen this server, its flow is found by its key, and the denial is not
  // counted.
  void DenialOfAnOpeningLeavesTheKeyCertain() {
    AgentOfServer agent;
    agent.FromClient(MakeOpening(kFirstClient));
    agent.FromServer(MakeOpening(kFirstServer));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         CountNotices(agent.FromClient(MakePacket(
                                          kFirstClient + 1, kNextServer)),
                                      NoticeKind::kNotHeld));
    CPPUNIT_ASSERT_EQUAL(0.0, agent.Metric("flow_packets_denied"));
    agent.FromClient(FirstPacket());
    CPPUNIT_ASSERT(LookupResult::kHeld == LookUp(agent));
    agent.FromClient(NextPacket());
    CPPUNIT_ASSERT_EQUAL(1.0, agent.Metric("flow_packets_denied"));
  }

  // The agent knows the earlier flow only from packets of its server, and
  // leaves it to the server. It must not take the returned packet for one of a
  // flow that the server has lost, whose client is reset.
  void RestartedAgentDeniesALaterFlowOfThePort() {
    AgentOfServer agent;
    FlowPacket answer = MakePacket(kFirstServer + 1, kFirstClient + 1);
    answer.data_bytes = 100;
    agent.FromServer(answer);
    FlowPacket next = NextPacket();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         agent.FromClient(next).to_server.size());
    next.returned = true;
    const FlowAgentOutbox denied = agent.FromServer(next);
    CPPUNIT_ASSERT(denied.resets.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         CountNotices(denied, NoticeKind::kNotHeld));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         agent.FromClient(FirstPacket()).to_server.size());
  }

  // The packet was on its way to the server when the agent learned of a flow
  // with the same key.
  void ReturnedPacketOfALaterFlowIsDenied() {
    AgentOfServer agent;
    agent.Open(kFirstClient, kFirstServer);
    FlowPacket returned = NextPacket();
    returned.returned = true;
    const FlowAgentOutbox outbox = agent.FromServer(returned);
    CPPUNIT_ASSERT(outbox.resets.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         CountNotices(outbox, NoticeKind::kNotHeld));
    CPPUNIT_ASSERT_EQUAL(kBalancer, outbox.notices.at(0).host);
  }

  // The same fault at the balancer: routers used it for the earlier flow, and
  // send it packets of the next one after a change of the rotation.
  void CacheDoesNotKnowALaterFlowOfThePort() {
    Site site;
    site.OpenAtA();
    const FlowBalancerOutbox outbox = site.Send(NextPacket());
    CPPUNIT_ASSERT(outbox.forwards.empty());
    CPPUNIT_ASSERT((std::vector{kHostA, kHostB}) == AskedHosts(outbox));
    site.Reply(kHostA, LookupResult::kNotHeld);
    CPPUNIT_ASSERT_EQUAL(kHostB, site.Reply(kHostB, LookupResult::kHeld)
                                     .forwards.at(0)
                                     .destination.address);
    CPPUNIT_ASSERT_EQUAL(
        kHostB, site.Send(NextPacket()).forwards.at(0).destination.address);
  }

  // Servers denied the earlier flow in a search without a result. One of them
  // holds the next flow, which must not be reset as lost.
  void DenialsOfAnEarlierFlowDoNotCount() {
    Site site;
    site.Send(FirstPacket());
    site.Reply(kHostB, LookupResult::kNotHeld);
    // Agent A is silent until the search ends.
    site.Run(seconds(2));
    const FlowBalancerOutbox outbox = site.Send(NextPacket());
    CPPUNIT_ASSERT((std::vector{kHostA, kHostB}) == AskedHosts(outbox));
  }

  // A late packet has started a search. A reset with the acknowledgement of the
  // next flow would cut that one off.
  void SearchForAnEarlierFlowResetsNoLaterOne() {
    Site site;
    site.Send(FirstPacket());
    site.Send(NextPacket());
    site.Reply(kHostA, LookupResult::kNotHeld);
    const FlowBalancerOutbox outbox =
        site.Reply(kHostB, LookupResult::kNotHeld);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outbox.resets.size());
    CPPUNIT_ASSERT_EQUAL(kFirstServer + 1, outbox.resets[0].sequence);
  }

  // The answer to a query for the earlier flow arrives after the client has
  // opened the next one.
  void HolderOfAnEarlierFlowIsNotRecorded() {
    Site site;
    site.Send(FirstPacket());
    site.Notify(NoticeKind::kLoad, kHostA, kFull);
    CPPUNIT_ASSERT_EQUAL(
        kHostB,
        site.Send(MakeOpening(kNextClient)).forwards.at(0).destination.address);
    site.Notify(NoticeKind::kHeld, kHostA, 0);
    site.Notify(NoticeKind::kAccepted, kHostB, 0);
    CPPUNIT_ASSERT_EQUAL(
        kHostB, site.Send(NextPacket()).forwards.at(0).destination.address);
  }

  // A packet of the earlier flow arrives while the next one is being opened.
  void LatePacketDoesNotEndAnOpening() {
    Site site;
    site.Notify(NoticeKind::kLoad, kHostA, kFull);
    site.Notify(NoticeKind::kLoad, kHostB, kFull);
    CPPUNIT_ASSERT(site.Send(MakeOpening(kNextClient)).forwards.empty());
    const FlowBalancerOutbox outbox = site.Send(FirstPacket());
    CPPUNIT_ASSERT(outbox.forwards.empty() && AskedHosts(outbox).empty());
    CPPUNIT_ASSERT_EQUAL(kHostA, site.Notify(NoticeKind::kLoad, kHostA, 0)
                                     .forwards.at(0)
                                     .destination.address);
  }

  // The client has given up an opening that waits, and uses the port again. Its
  // new opening packet must be sent, not the one kept for the earlier flow.
  void OpeningOfALaterFlowReplacesTheEarlierOne() {
    Site site;
    site.Notify(NoticeKind::kLoad, kHostA, kFull);
    site.Notify(NoticeKind::kLoad, kHostB, kFull);
    site.Send(MakeOpening(kFirstClient));
    const Bytes next_bytes(100, 'n');
    FlowPacket next = MakeOpening(kNextClient);
    next.bytes = next_bytes;
    site.Send(next);
    const FlowBalancerOutbox outbox = site.Notify(NoticeKind::kLoad, kHostA, 0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outbox.forwards.size());
    CPPUNIT_ASSERT(next_bytes == outbox.forwards[0].bytes);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FlowIdentityTest);

}  // namespace
}  // namespace cactuscross::testing
