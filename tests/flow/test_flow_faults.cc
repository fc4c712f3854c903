#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "src/wire/flow_codec.h"
#include "tests/flow/flow_cores.h"

namespace cactuscross::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeed = 7;

// Faults that other operators encountered, brought about at the cores of the
// flow path: ports that clients use again, planned stops, entries of other
// writers, malformed messages.
class FlowFaultsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FlowFaultsTest);
  CPPUNIT_TEST(FlowOnAPortThatIsUsedAgainIsOpen);
  CPPUNIT_TEST(LatePacketsOfAnEarlierFlowChangeNothing);
  CPPUNIT_TEST(ReturnedPacketOfAnEarlierFlowResetsNothing);
  CPPUNIT_TEST(StoppingAgentDeliversAnswers);
  CPPUNIT_TEST(StoppingAgentAnnouncesTheEndOfItsServer);
  CPPUNIT_TEST(StoppingAgentOfARunningServerAnnouncesNothing);
  CPPUNIT_TEST(StoppingAgentAcceptsNoFlows);
  CPPUNIT_TEST(StoppingAgentExitsInTime);
  CPPUNIT_TEST(RefusalByTheHolderOfAnEarlierFlowIsFinal);
  CPPUNIT_TEST(OpeningIsNeverSearched);
  CPPUNIT_TEST(StoppedBalancerResetsWaitingOpenings);
  CPPUNIT_TEST(ServerThatStartsAgainIsUsed);
  CPPUNIT_TEST(UnreadableEntryNamesNoServer);
  CPPUNIT_TEST(HostileMessagesDoNotEndATick);
  CPPUNIT_TEST_SUITE_END();

 public:
  // A client may open a new flow on a port whose earlier flow is still closing.
  // The agent must notify the balancer that the server accepted it, or the
  // balancer opens it at a second server; and must not expire it as closing.
  void FlowOnAPortThatIsUsedAgainIsOpen() {
    AgentOfServer agent;
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{1}, CountNotices(agent.OpenTwice(), NoticeKind::kAccepted));
    agent.now += seconds(10);
    agent.Tick();
    FlowPacket packet = MakePacket(kNextClient + 1, kNextServer + 1);
    packet.mark.purpose = MarkPurpose::kSearch;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, CountNotices(agent.FromClient(packet),
                                                      NoticeKind::kHeld));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, agent.OpenFlows());
  }

  // A FIN or data of the earlier flow arrives after the next one was opened on
  // the same port.
  void LatePacketsOfAnEarlierFlowChangeNothing() {
    for (const bool closing : {true, false}) {
      AgentOfServer agent;
      agent.OpenTwice();
      FlowPacket late = MakePacket(kFirstClient + 1, kFirstServer + 1);
      late.closing = closing;
      late.data_bytes = closing ? 0 : 100;
      // The server tells whether the packet is valid.
      CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                           agent.FromClient(late).to_server.size());
      FlowAgentInbox query;
      query.notices.emplace_back();
      query.notices[0].kind = NoticeKind::kQuery;
      query.notices[0].service_tag = kDeskTag;
      agent.now += milliseconds(20);
      const FlowAgentOutbox outbox = agent.Tick(query);
      CPPUNIT_ASSERT_EQUAL(0U, outbox.notices.at(0).notice.load.running);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, agent.OpenFlows());
    }
  }

  // The server returns a packet of the earlier flow. The next flow of the port
  // is open, and a reset would cut it off.
  void ReturnedPacketOfAnEarlierFlowResetsNothing() {
    AgentOfServer agent;
    agent.OpenTwice();
    FlowPacket late = MakePacket(kFirstClient + 1, kFirstServer + 1);
    late.returned = true;
    const FlowAgentOutbox outbox = agent.FromServer(late);
    CPPUNIT_ASSERT(outbox.resets.empty() && outbox.notices.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, agent.OpenFlows());
  }

  // All answers of a server pass its agent. One that exits at once cuts off the
  // requests in progress, and those of flows that were just accepted.
  void StoppingAgentDeliversAnswers() {
    AgentOfServer agent;
    agent.Open(kFirstClient, kFirstServer);
    FlowAgentInbox stop;
    stop.stop_requested = true;
    CPPUNIT_ASSERT(!agent.Tick(stop).may_exit);
    FlowPacket request = MakePacket(kFirstClient + 1, kFirstServer + 1);
    request.data_bytes = 100;
    agent.now += milliseconds(100);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         agent.FromClient(request).to_server.size());
    agent.now += milliseconds(500);
    CPPUNIT_ASSERT(!agent.Tick(stop).may_exit);
    FlowPacket answer = MakePacket(kFirstServer + 1, kFirstClient + 101);
    answer.data_bytes = 100;
    const FlowAgentOutbox outbox = agent.FromServer(answer);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outbox.to_clients.size());
    CPPUNIT_ASSERT(agent.Tick(stop).may_exit);
  }

  // The host of a server that has left is released. Balancers that do not learn
  // it wait for this agent in each search.
  void StoppingAgentAnnouncesTheEndOfItsServer() {
    AgentOfServer agent;
    FlowAgentInbox inbox;
    inbox.notices.emplace_back().kind = NoticeKind::kQuery;
    inbox.notices[0].sender = kBalancer;
    inbox.notices[0].service_tag = kDeskTag;
    agent.Tick(inbox);
    inbox = FlowAgentInbox();
    inbox.probe = ProbeResult::kAccepted;  // of the first probe
    agent.Tick(inbox);
    inbox = FlowAgentInbox();
    inbox.stop_requested = true;
    FlowAgentOutbox outbox = agent.Tick(inbox);
    CPPUNIT_ASSERT(outbox.probe && !outbox.may_exit);
    inbox.probe = ProbeResult::kRefused;
    std::size_t announcements = 0;
    for (int i = 0; i < 20 && !outbox.may_exit; ++i) {
      agent.now += milliseconds(5);
      outbox = agent.Tick(inbox);
      for (const OutgoingNotice& outgoing : outbox.notices) {
        announcements += outgoing.notice.load.ended ? 1 : 0;
      }
      inbox.probe = ProbeResult::kNone;
    }
    CPPUNIT_ASSERT(outbox.may_exit);
    // One that is lost is repeated.
    CPPUNIT_ASSERT(announcements >= 2);
  }

  // Agents are stopped and started in turn beside servers that keep running and
  // hold flows. A probe from before the stop, when the server was not up yet,
  // must not count either.
  void StoppingAgentOfARunningServerAnnouncesNothing() {
    AgentOfServer agent;
    FlowAgentInbox inbox;
    inbox.notices.emplace_back().kind = NoticeKind::kQuery;
    inbox.notices[0].sender = kBalancer;
    inbox.notices[0].service_tag = kDeskTag;
    agent.Tick(inbox);
    inbox = FlowAgentInbox();
    inbox.stop_requested = true;
    inbox.probe = ProbeResult::kRefused;  // of the first probe
    FlowAgentOutbox outbox = agent.Tick(inbox);
    std::size_t notices = 0;
    for (int i = 0; i < 60 && !outbox.may_exit; ++i) {
      for (const OutgoingNotice& outgoing : outbox.notices) {
        CPPUNIT_ASSERT(!outgoing.notice.load.ended);
      }
      notices += outbox.notices.size();
      agent.now += milliseconds(5);
      inbox.probe = i == 0 ? ProbeResult::kAccepted : ProbeResult::kNone;
      outbox = agent.Tick(inbox);
    }
    CPPUNIT_ASSERT(outbox.may_exit);
    // Otherwise the agent had no balancer to announce anything to.
    CPPUNIT_ASSERT(notices > 0);
  }

  // Another server takes the flow at once, instead of after a timeout.
  void StoppingAgentAcceptsNoFlows() {
    AgentOfServer agent;
    agent.Open(kFirstClient, kFirstServer);
    FlowAgentInbox stop;
    stop.stop_requested = true;
    agent.Tick(stop);
    FlowPacket opening = MakeOpening(kNextClient);
    ++opening.flow.client.port;
    const FlowAgentOutbox outbox = agent.FromClient(opening);
    CPPUNIT_ASSERT(outbox.to_server.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         CountNotices(outbox, NoticeKind::kRefused));
    CPPUNIT_ASSERT(outbox.notices.at(0).notice.load.down);
  }

  // A request that is never answered doesn't delay the exit beyond the grace
  // period, which is shorter than the time until SIGKILL.
  void StoppingAgentExitsInTime() {
    AgentOfServer agent;
    agent.Open(kFirstClient, kFirstServer);
    FlowPacket request = MakePacket(kFirstClient + 1, kFirstServer + 1);
    request.data_bytes = 100;
    agent.FromClient(request);
    FlowAgentInbox stop;
    stop.stop_requested = true;
    agent.Tick(stop);
    agent.now += milliseconds(2400);
    CPPUNIT_ASSERT(!agent.Tick(stop).may_exit);
    agent.now += milliseconds(200);
    CPPUNIT_ASSERT(agent.Tick(stop).may_exit);
  }

  // The cache names the server that held the earlier flow of a client's port.
  // If that server refuses the next flow, the client's retransmission must go
  // to another server.
  void RefusalByTheHolderOfAnEarlierFlowIsFinal() {
    for (const NoticeKind refusal :
         {NoticeKind::kSaturated, NoticeKind::kRefused}) {
      BalancerAtStore site;
      site.Run(seconds(3));
      site.Notify(NoticeKind::kLoad, kHostB, 0);
      site.Notify(NoticeKind::kAccepted, kHostA, 0);
      FlowPacket opening = MakeOpening(kNextClient);
      CPPUNIT_ASSERT_EQUAL(
          kHostA, site.Send(opening).forwards.at(0).destination.address);
      site.Notify(refusal, kHostA, 100);
      opening.retransmit_count = 1;
      CPPUNIT_ASSERT_EQUAL(
          kHostB, site.Send(opening).forwards.at(0).destination.address);
    }
  }

  // A cached server's host serves another service now, and its agent sends the
  // opening back. A search would open the flow at several servers.
  void OpeningIsNeverSearched() {
    BalancerAtStore site;
    site.Run(seconds(3));
    site.Notify(NoticeKind::kAccepted, kHostA, 0);
    FlowBalancerInbox inbox;
    FlowNotice& notice = inbox.notices.emplace_back();
    notice.kind = NoticeKind::kWrongService;
    notice.sender = kHostA;
    notice.service_tag = kDeskTag + 1;
    notice.flow = kFlow;
    notice.packet = Bytes(36, 1);
    CPPUNIT_ASSERT(site.Tick(std::move(inbox)).forwards.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         site.Send(MakeOpening(kNextClient)).forwards.size());
  }

  // A balancer with little time to stop exits while openings wait for a server.
  void StoppedBalancerResetsWaitingOpenings() {
    BalancerAtStore site(seconds(1));
    site.Run(seconds(3));
    site.Notify(NoticeKind::kLoad, kHostA, 100);
    site.Notify(NoticeKind::kLoad, kHostB, 100);
    CPPUNIT_ASSERT(site.Send(MakeOpening(kFirstClient)).forwards.empty());
    FlowBalancerOutbox outbox;
    for (int i = 0; i < 100 && !outbox.may_exit; ++i) {
      CPPUNIT_ASSERT(outbox.resets.empty());
      // The client sends its opening again after 200 ms.
      FlowBalancerInbox inbox;
      if (i == 20) {
        inbox.packets = {MakeOpening(kFirstClient)};
        inbox.packets[0].retransmit_count = 1;
      }
      inbox.stop_requested = true;
      outbox = site.Tick(std::move(inbox));
    }
    CPPUNIT_ASSERT(outbox.may_exit);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outbox.resets.size());
  }

  // The server drained, ended and started again under its name: `born` differs
  // and `seq` starts again.
  void ServerThatStartsAgainIsUsed() {
    BalancerAtStore site;
    site.Put("servers/a",
             MakeEntry("10.0.0.1:1", "draining", R"("seq":501,"born":1000)"));
    site.Run(seconds(3));
    CPPUNIT_ASSERT(std::vector{kHostB} == site.HostsOfNewFlows());
    for (const char* const start :
         {R"("seq":1,"born":2000)", R"("seq":1)", R"("seq":0,"born":900)"}) {
      site.Put("servers/a", MakeEntry("10.0.0.1:1", "ready", start));
      site.Run(seconds(1));
      CPPUNIT_ASSERT_MESSAGE(
          start, (std::vector{kHostA, kHostB}) == site.HostsOfNewFlows());
      site.Put("servers/a", MakeEntry("10.0.0.1:1", "draining", start));
      site.Run(seconds(1));
      CPPUNIT_ASSERT_MESSAGE(start,
                             std::vector{kHostB} == site.HostsOfNewFlows());
    }
  }

  // Another writer replaces the entry of a server. It names no usable server,
  // whether the balancer watches or reads it in a list; other entries remain.
  void UnreadableEntryNamesNoServer() {
    const std::array<std::string, 9> entries = {
        "",
        "\xFF\xFE",
        "no json",
        "[1]",
        R"({"service":"desk"})",
        MakeEntry("10.0.0.1:1", "resting", R"("seq":1,"born":2000)"),
        MakeEntry("10.0.0.1:1", "ready", R"("seq":1,"born":"2000")"),
        MakeEntry("10.0.0.1:1", "ready", R"("seq":"1","born":2000)"),
        MakeEntry("10.0.0.1", "ready", R"("seq":1,"born":2000)")};
    for (const std::string& entry : entries) {
      for (const bool watched : {true, false}) {
        BalancerAtStore site;
        if (watched) {
          site.Run(seconds(1));
          CPPUNIT_ASSERT((std::vector{kHostA, kHostB}) ==
                         site.HostsOfNewFlows());
        }
        site.Put("servers/a", entry);
        site.Run(seconds(4));
        CPPUNIT_ASSERT_MESSAGE(entry,
                               std::vector{kHostB} == site.HostsOfNewFlows());
      }
    }
  }

  // Notices and gossip with random changes, as far as they decode, reach the
  // cores of a balancer and an agent. An exception would end the process.
  void HostileMessagesDoNotEndATick() {
    constexpr int kMessages = 20000;
    std::mt19937 random(kSeed);
    BalancerAtStore site;
    site.Run(seconds(3));
    AgentOfServer agent;
    for (int i = 0; i < kMessages; ++i) {
      Bytes notice = EncodeFlowNotice(MakeNotice(random()));
      Bytes gossip = EncodeFlowGossip(MakeGossip(random()));
      for (Bytes* bytes : {&notice, &gossip}) {
        for (std::uint32_t changes = random() % 3; changes > 0; --changes) {
          (*bytes)[random() % bytes->size()] =
              static_cast<std::uint8_t>(random());
        }
      }
      FlowBalancerInbox to_balancer;
      FlowAgentInbox to_agent;
      if (auto decoded = DecodeFlowNotice(notice, kHostA)) {
        to_balancer.notices = {*decoded};
        to_agent.notices = {*decoded};
      }
      if (auto decoded = DecodeFlowGossip(gossip, {kHostB, 1})) {
        to_balancer.gossip = {*decoded};
      }
      site.Tick(std::move(to_balancer));
      agent.Tick(to_agent);
    }
  }

 private:
  static FlowNotice MakeNotice(std::uint32_t number) {
    FlowNotice notice;
    notice.kind = static_cast<NoticeKind>(number % 10 + 1);
    notice.service_tag = kDeskTag;
    notice.flow = kFlow;
    notice.flow.client.port = static_cast<std::uint16_t>(number % 50);
    notice.max_running = number;
    notice.load = {number, number, number % 3 == 0, 7.5, number % 5 == 0};
    notice.orders = {number % 2 == 0, {number, number}, 3.5, seconds(1), 3};
    notice.lookups.assign(number % 91,
                          {notice.flow, static_cast<LookupResult>(number % 3)});
    notice.packet.assign(number % 60, 0xFF);
    notice.acknowledgement = number;
    return notice;
  }

  static GossipMessage MakeGossip(std::uint32_t number) {
    GossipMessage message;
    message.kind = static_cast<GossipKind>(number % 4 + 1);
    message.view_version = {true, 1, {0, number % 30}};
    message.servers_hash = number;
    message.age = milliseconds(number);
    message.peers.assign(number % 9, {number, 5});
    message.readers.assign(number % 3, {{number, 5}, milliseconds(number)});
    message.part = {number % 3, number % 7 == 0 ? number : number % 4};
    FlowRoute route;
    route.service_address = kFlow.service_address;
    route.services = {{MakeServiceId("desk"), number % 3}};
    route.former_services = {{ServiceId{number}, milliseconds(number)}};
    message.routes = {route};
    message.warmup_limits = {{MakeServiceId("desk"), 1.5, milliseconds(7)}};
    message.zone_orders = {{"z", false, {number, number}}};
    ServerChange change;
    change.position = {0, number % 40};
    change.name = number % 2 == 0 ? "a" : std::string(number % 300, 'n');
    change.removed = number % 4 == 0;
    change.server.name = change.name;
    change.server.host = number % 5 == 0 ? kHostA : number;
    change.server.service = MakeServiceId("desk");
    change.server.zone = "z";
    change.server.slots = number;
    message.servers = {change};
    return message;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FlowFaultsTest);

}  // namespace
}  // namespace cactuscross::testing
