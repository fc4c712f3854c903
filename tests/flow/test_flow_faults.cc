#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "cactuscross/flow_agent.h"
#include "cactuscross/flow_balancer.h"
#include "platform/entry_decoder.h"
#include "src/wire/flow_codec.h"

namespace cactuscross {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr FlowKey kFlow = {{0x64400007, 40001}, {0xC6120001, 443}};
constexpr TimePoint kStart{seconds(100)};
constexpr std::uint64_t kSeed = 7;
constexpr std::uint32_t kBalancer = 77;
constexpr std::uint32_t kHostA = 0x0A000001;
constexpr std::uint32_t kHostB = 0x0A000002;
const std::uint32_t kDeskTag = ServiceTag(MakeServiceId("desk"));

// Initial sequence numbers of a client and a server in the first flow of a
// client's port and in the next one.
constexpr std::uint32_t kFirstClient = 100;
constexpr std::uint32_t kFirstServer = 500;
constexpr std::uint32_t kNextClient = 70000000;
constexpr std::uint32_t kNextServer = 90000000;

FlowPacket MakePacket(std::uint32_t sequence, std::uint32_t acknowledgement) {
  static const Bytes bytes(100, 'x');
  FlowPacket packet;
  packet.flow = kFlow;
  packet.sequence = sequence;
  packet.acknowledgement = acknowledgement;
  packet.mark.purpose = MarkPurpose::kCached;
  packet.mark.service_tag = kDeskTag;
  packet.mark.balancer = kBalancer;
  packet.sender = kBalancer;
  packet.bytes = bytes;
  return packet;
}

FlowPacket MakeOpening(std::uint32_t sequence) {
  FlowPacket packet = MakePacket(sequence, 0);
  packet.opening = true;
  return packet;
}

std::size_t CountNotices(const FlowAgentOutbox& outbox, NoticeKind kind) {
  return static_cast<std::size_t>(
      std::count_if(outbox.notices.begin(), outbox.notices.end(),
                    [kind](const OutgoingNotice& outgoing) {
                      return outgoing.notice.kind == kind;
                    }));
}

// An agent that knows all flows of its server.
class AgentOfServer {
 public:
  AgentOfServer() : agent(Settings()) {}

  FlowAgentOutbox Tick(const FlowAgentInbox& inbox = FlowAgentInbox()) {
    return this->agent.Tick(this->now, inbox);
  }
  FlowAgentOutbox FromClient(const FlowPacket& packet) {
    FlowAgentInbox inbox;
    inbox.from_balancers = {packet};
    return this->Tick(inbox);
  }
  FlowAgentOutbox FromServer(FlowPacket packet) {
    packet.from_server = !packet.returned;
    FlowAgentInbox inbox;
    inbox.from_server = {packet};
    return this->Tick(inbox);
  }
  // Opens the flow; returns what the agent does when the server accepts it.
  FlowAgentOutbox Open(std::uint32_t client, std::uint32_t server) {
    this->FromClient(MakeOpening(client));
    FlowAgentOutbox accepted = this->FromServer(MakeOpening(server));
    this->FromClient(MakePacket(client + 1, server + 1));
    return accepted;
  }
  // Opens the flow, closes it, and opens it again.
  FlowAgentOutbox OpenTwice() {
    this->Open(kFirstClient, kFirstServer);
    FlowPacket closing = MakePacket(kFirstClient + 1, kFirstServer + 1);
    closing.closing = true;
    this->FromClient(closing);
    return this->Open(kNextClient, kNextServer);
  }
  // Flows that the agent resets when its server dies.
  std::size_t OpenFlows() {
    FlowAgentInbox inbox;
    inbox.probe = ProbeResult::kRefused;
    return this->Tick(inbox).resets.size();
  }

  TimePoint now = kStart;

 private:
  static FlowAgentSettings Settings() {
    FlowAgentSettings settings;
    settings.node.first_start = true;
    settings.node.data = {9, 1};
    settings.service = "desk";
    settings.server = {9, 2};
    return settings;
  }

  FlowAgent agent;
};

std::string EncodeBase64(const std::string& text) {
  constexpr std::string_view kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string encoded;
  std::uint32_t bits = 0;
  unsigned count = 0;
  for (const char byte : text) {
    bits = (bits << 8U) | static_cast<std::uint8_t>(byte);
    for (count += 8; count >= 6; count -= 6) {
      encoded += kDigits[(bits >> (count - 6)) & 63U];
    }
  }
  if (count > 0) {
    encoded += kDigits[(bits << (6 - count)) & 63U];
  }
  encoded.append((4 - encoded.size() % 4) % 4, '=');
  return encoded;
}

std::string MakeEntry(const std::string& address,
                      const std::string& state,
                      const std::string& rest) {
  return R"({"service":"desk","address":")" + address +
         R"(","zone":"z","version":"v1","slots":3,"coldRemainingMs":0,)"
         R"("state":")" +
         state + "\"," + rest + "}";
}

// A balancer that reads a store through the platform's decoder.
class BalancerAtStore {
 public:
  explicit BalancerAtStore(Duration max_stop_time = seconds(6))
      : balancer(Settings(max_stop_time), kSeed) {
    this->Put("op/config", R"({"version":1,"routes":[{"host":"198.18.0.1",)"
                           R"("prefix":"/443/","service":"desk"}]})");
    this->Put("servers/a",
              MakeEntry("10.0.0.1:1", "ready", R"("seq":500,"born":1000)"));
    this->Put("servers/b",
              MakeEntry("10.0.0.2:1", "ready", R"("seq":9,"born":1000)"));
  }

  void Put(const std::string& key, const std::string& value) {
    this->items[key] = {EncodeBase64(value), ++this->revision};
  }

  // Ticks once and answers the calls of the tick before.
  FlowBalancerOutbox Tick(FlowBalancerInbox inbox = FlowBalancerInbox()) {
    this->now += milliseconds(10);
    for (const StoreCall& call : std::exchange(this->calls, {})) {
      inbox.store_answers.push_back(this->Answer(call));
    }
    FlowBalancerOutbox outbox = this->balancer.Tick(this->now, inbox);
    this->calls = outbox.store_calls;
    return outbox;
  }
  void Run(Duration time) {
    for (const TimePoint end = this->now + time; this->now < end;) {
      this->Tick();
    }
  }
  FlowBalancerOutbox Send(const FlowPacket& packet) {
    FlowBalancerInbox inbox;
    inbox.packets = {packet};
    return this->Tick(std::move(inbox));
  }
  FlowBalancerOutbox Notify(NoticeKind kind,
                            std::uint32_t host,
                            std::uint32_t running) {
    FlowBalancerInbox inbox;
    FlowNotice& notice = inbox.notices.emplace_back();
    notice.kind = kind;
    notice.sender = host;
    notice.service_tag = kDeskTag;
    notice.flow = kFlow;
    notice.load.running = running;
    return this->Tick(std::move(inbox));
  }
  // Hosts that get one of the new flows of 40 clients.
  std::vector<std::uint32_t> HostsOfNewFlows() {
    std::vector<std::uint32_t> hosts;
    for (int i = 0; i < 40; ++i) {
      FlowPacket packet = MakeOpening(kFirstClient);
      packet.flow.client.port = this->next_port++;
      for (const FlowForward& forward : this->Send(packet).forwards) {
        hosts.push_back(forward.destination.address);
      }
    }
    std::sort(hosts.begin(), hosts.end());
    hosts.erase(std::unique(hosts.begin(), hosts.end()), hosts.end());
    return hosts;
  }

  TimePoint now = kStart;

 private:
  static FlowBalancerSettings Settings(Duration max_stop_time) {
    FlowBalancerSettings settings;
    settings.node.zone = "z";
    settings.node.data = {kBalancer, 1};
    settings.node.max_stop_time = max_stop_time;
    return settings;
  }

  StoreAnswer Answer(const StoreCall& call) const {
    const bool list = call.kind == StoreCallKind::kList;
    const std::string prefix =
        call.subject == StoreSubject::kRoutes ? "op/config" : "servers/";
    std::string body = list ? R"({"items":[)" : R"({"events":[)";
    for (const auto& [key, item] : this->items) {
      if (key.rfind(prefix, 0) == 0 &&
          (list || item.second > call.after_revision)) {
        body += body.back() == '[' ? "" : ",";
        body += R"({"key":")" + key + R"(","value":")" + item.first +
                R"(","rev":)" + std::to_string(item.second) + "}";
      }
    }
    body += R"(],"at":)" + std::to_string(this->revision) + "}";
    StoreAnswer answer = platform::DecodeAnswer(call, body);
    answer.generation = call.generation;
    return answer;
  }

  FlowBalancer balancer;
  std::map<std::string, std::pair<std::string, std::uint64_t>> items;
  std::uint64_t revision = 0;
  std::vector<StoreCall> calls;
  std::uint16_t next_port = 1000;
};

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
}  // namespace cactuscross
