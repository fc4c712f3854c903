#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "cactuscross/flow_agent.h"
#include "src/config/file_kind.h"
#include "src/config/settings_parser.h"
#include "src/core/flow/admission/opening_table.h"
#include "src/core/flow/placement/placement.h"
#include "src/core/flow/view/route_set.h"
#include "src/core/flow/view/store_reader.h"
#include "src/wire/flow_codec.h"

namespace cactuscross {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr FlowKey kFlow = {{0x64400007, 40001}, {0xC6120001, 443}};
constexpr std::uint64_t kSeed = 7;
constexpr TimePoint kStart{seconds(100)};

ServerChange MakeChange(const std::string& name,
                        std::uint64_t revision,
                        std::uint32_t host) {
  ServerChange change;
  change.name = name;
  change.position.revision = revision;
  change.server.name = name;
  change.server.service = MakeServiceId("desk");
  change.server.host = host;
  change.server.zone = "z0";
  change.server.slots = 7;
  return change;
}

FlowNotice MakeLoad(std::uint32_t host, std::uint32_t running) {
  FlowNotice notice;
  notice.sender = host;
  notice.service_tag = ServiceTag(MakeServiceId("desk"));
  notice.load.running = running;
  return notice;
}

// Unit tests of the components of the flow path: routes, server table,
// placement, openings, store reader, agent, codec and settings.
class FlowPartsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FlowPartsTest);
  CPPUNIT_TEST(RouteSetVersionsOnlyIncrease);
  CPPUNIT_TEST(SharesOfARouteFollowTheWeights);
  CPPUNIT_TEST(OlderEntriesOfAHostAreSuperseded);
  CPPUNIT_TEST(ExpiredServerGetsNoNewFlowsAfterTheGrace);
  CPPUNIT_TEST(LeavingServerIsDeadOnceItsEntryIsRemoved);
  CPPUNIT_TEST(RestartResetsTheLoad);
  CPPUNIT_TEST(LeastLoadedOfThreeIsChosen);
  CPPUNIT_TEST(SaturatedServersGetNoNewFlows);
  CPPUNIT_TEST(NewestRequestLeavesTheQueueFirst);
  CPPUNIT_TEST(WaitingOpeningsLeaveTimeForAnotherAttempt);
  CPPUNIT_TEST(UnresponsiveStoreGetsConcurrentCalls);
  CPPUNIT_TEST(AnswersToOlderCallsAreIgnored);
  CPPUNIT_TEST(LostHistoryIsFollowedByAList);
  CPPUNIT_TEST(ReturnedPacketOfAnOpenFlowResetsIt);
  CPPUNIT_TEST(AgentThatKnowsAllFlowsDeniesUnknownOnes);
  CPPUNIT_TEST(AgentRejectsOpeningsAtMaxRunning);
  CPPUNIT_TEST(NoticesAndGossipRoundTripThroughTheCodec);
  CPPUNIT_TEST(SettingsAreParsed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RouteSetVersionsOnlyIncrease() {
    ActiveRoutes routes(seconds(60));
    RouteSet newer;
    newer.version = 7;
    newer.routes.emplace_back();
    newer.routes.back().service_address = kFlow.service_address;
    newer.routes.back().services = {{ServiceId{1}, 1}};
    CPPUNIT_ASSERT(routes.Apply(kStart, newer));
    CPPUNIT_ASSERT(!routes.Apply(kStart, RouteSet{6, {}, {}}));
    CPPUNIT_ASSERT(!routes.Apply(kStart, newer));
    CPPUNIT_ASSERT(routes.Find(kFlow.service_address) != nullptr);
    CPPUNIT_ASSERT(routes.Apply(kStart, RouteSet{8, {}, {}}));
    CPPUNIT_ASSERT(routes.Find(kFlow.service_address) == nullptr);
  }

  void SharesOfARouteFollowTheWeights() {
    const std::vector<ServiceShare> shares = {{ServiceId{1}, 90},
                                              {ServiceId{2}, 10}};
    int second = 0;
    FlowKey flow = kFlow;
    for (std::uint16_t port = 1000; port < 11000; ++port) {
      flow.client.port = port;
      second += ChooseService(flow, shares) == ServiceId{2} ? 1 : 0;
    }
    CPPUNIT_ASSERT(second > 850 && second < 1150);
    CPPUNIT_ASSERT(ChooseService(kFlow, {}) == kNoService);
  }

  void OlderEntriesOfAHostAreSuperseded() {
    std::vector<FlowEvent> events;
    ServerTable servers;
    servers.Apply(kStart, MakeChange("new", 9, 1), events);
    servers.Apply(kStart, MakeChange("old", 5, 1), events);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         servers.OfService(MakeServiceId("desk")).size());
    CPPUNIT_ASSERT(servers.Find(MakeServerKey("old"))->superseded);
    CPPUNIT_ASSERT(!servers.Find(MakeServerKey("new"))->superseded);
  }

  // The grace period of an expired entry is 2 s.
  void ExpiredServerGetsNoNewFlowsAfterTheGrace() {
    std::vector<FlowEvent> events;
    ServerTable servers;
    servers.Apply(kStart, MakeChange("a", 5, 1), events);
    ServerChange removed = MakeChange("a", 6, 1);
    removed.removed = true;
    servers.Apply(kStart, removed, events);
    const ServerEntry& entry = *servers.Find(MakeServerKey("a"));
    CPPUNIT_ASSERT(AcceptsNewFlows(kStart + milliseconds(1900), entry));
    CPPUNIT_ASSERT(!AcceptsNewFlows(kStart + milliseconds(2100), entry));
    // Searches still include the server, since it may hold flows.
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         servers.OfService(MakeServiceId("desk")).size());
  }

  // A leaving server removes its entry on purpose. The entry of a serving
  // server may have expired while the server runs, so that it has a grace
  // period.
  void LeavingServerIsDeadOnceItsEntryIsRemoved() {
    std::vector<FlowEvent> events;
    ServerTable servers;
    ServerChange leaving = MakeChange("a", 5, 1);
    leaving.server.phase = ServerPhase::kLeaving;
    servers.Apply(kStart, leaving, events);
    servers.Apply(kStart, MakeChange("b", 6, 2), events);
    for (const auto& [name, host] : {std::pair{"a", 1U}, std::pair{"b", 2U}}) {
      servers.ApplyNotice(kStart, MakeLoad(host, 0), events);
      ServerChange removed = MakeChange(name, 6 + host, host);
      removed.removed = true;
      servers.Apply(kStart + seconds(3), removed, events);
    }
    const ServerEntry& leaving_removed = *servers.Find(MakeServerKey("a"));
    const ServerEntry& expired = *servers.Find(MakeServerKey("b"));
    // A recent load notice from its agent keeps the server from being dead.
    CPPUNIT_ASSERT(!IsDead(kStart + seconds(1), leaving_removed));
    CPPUNIT_ASSERT(IsDead(kStart + seconds(3), leaving_removed));
    CPPUNIT_ASSERT(!IsDead(kStart + seconds(4), expired));
    CPPUNIT_ASSERT(IsDead(kStart + seconds(5), expired));
  }

  void RestartResetsTheLoad() {
    std::vector<FlowEvent> events;
    ServerTable servers;
    ServerChange change = MakeChange("a", 5, 1);
    change.server.started_ms = 1000;
    servers.Apply(kStart, change, events);
    servers.ApplyNotice(kStart, MakeLoad(1, 20), events);
    change.position.revision = 6;
    servers.Apply(kStart, change, events);
    CPPUNIT_ASSERT_EQUAL(20U, servers.Find(MakeServerKey("a"))->load.running);
    change.position.revision = 7;
    change.server.started_ms = 2000;
    servers.Apply(kStart, change, events);
    CPPUNIT_ASSERT_EQUAL(0U, servers.Find(MakeServerKey("a"))->load.running);
  }

  void LeastLoadedOfThreeIsChosen() {
    std::vector<FlowEvent> events;
    ServerTable servers;
    for (std::uint32_t host = 1; host <= 3; ++host) {
      servers.Apply(kStart, MakeChange("s" + std::to_string(host), host, host),
                    events);
      servers.ApplyNotice(kStart, MakeLoad(host, host == 2 ? 1 : 6), events);
    }
    const Placement placement =
        PlaceFlow(kStart, servers, MakeServiceId("desk"), kFlow, "z0", {});
    CPPUNIT_ASSERT(PlacementStatus::kPlaced == placement.status);
    CPPUNIT_ASSERT(MakeServerKey("s2") == placement.server);
  }

  // A server with 7 slots is saturated by a load of 14, two per slot.
  void SaturatedServersGetNoNewFlows() {
    std::vector<FlowEvent> events;
    ServerTable servers;
    servers.Apply(kStart, MakeChange("a", 1, 1), events);
    servers.ApplyNotice(kStart, MakeLoad(1, 14), events);
    const ServiceId service = MakeServiceId("desk");
    CPPUNIT_ASSERT(PlacementStatus::kSaturated ==
                   PlaceFlow(kStart, servers, service, kFlow, "z0", {}).status);
    servers.ApplyNotice(kStart, MakeLoad(1, 13), events);
    CPPUNIT_ASSERT(PlacementStatus::kPlaced ==
                   PlaceFlow(kStart, servers, service, kFlow, "z0", {}).status);
    CPPUNIT_ASSERT(
        PlacementStatus::kNoServer ==
        PlaceFlow(kStart, servers, MakeServiceId("other"), kFlow, "z0", {})
            .status);
  }

  // Load pattern: all clients reconnect at once after an outage. The newest
  // requests go first, since they can still be answered in time; older ones are
  // late already.
  void NewestRequestLeavesTheQueueFirst() {
    OpeningTable openings;
    for (std::uint16_t port = 1; port <= 3; ++port) {
      FlowKey flow = kFlow;
      flow.client.port = port;
      Opening& opening = *openings.Add(flow);
      opening.waiting = true;
      opening.max_wait = MaxWait(Duration{0});
      opening.started_at = kStart;
      opening.request_started_at = kStart + milliseconds(port == 2 ? 50 : port);
    }
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{2},
                         openings.WaitingFlows()[0].client.port);
    CPPUNIT_ASSERT(openings.WaitTimedOut(kStart + milliseconds(1100)).empty());
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{3},
        openings.WaitTimedOut(kStart + milliseconds(1300)).size());
  }

  // Load pattern: all servers are saturated for longer than clients wait. They
  // are told in time for another attempt.
  void WaitingOpeningsLeaveTimeForAnotherAttempt() {
    OpeningTable openings;
    Opening& opening = *openings.Add(kFlow);
    opening.waiting = true;
    opening.started_at = kStart;
    opening.max_wait = MaxWait(milliseconds(1000));
    CPPUNIT_ASSERT(openings.WaitTimedOut(kStart + milliseconds(499)).empty());
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{1},
        openings.WaitTimedOut(kStart + milliseconds(500)).size());
    // With more time, the client's own limit for an opening counts.
    CPPUNIT_ASSERT(Duration(milliseconds(1200)) == MaxWait(seconds(8)));
  }

  // While a call is unanswered, a hedged call is added every 250 ms.
  void UnresponsiveStoreGetsConcurrentCalls() {
    StoreReader reader(StoreSubject::kServers, kSeed);
    int calls = 0;
    for (int ms = 0; ms < 1000; ms += 10) {
      calls += reader.NextCall(kStart + milliseconds(ms)).has_value() ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(4, calls);
  }

  void AnswersToOlderCallsAreIgnored() {
    StoreReader reader(StoreSubject::kServers, kSeed);
    StoreAnswer first = AnswerTo(*reader.NextCall(kStart), 10);
    StoreAnswer second =
        AnswerTo(*reader.NextCall(kStart + milliseconds(300)), 20);
    CPPUNIT_ASSERT(reader.RecordAnswer(kStart, second));
    CPPUNIT_ASSERT(!reader.RecordAnswer(kStart, first));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{20}, reader.CompleteRevision());
  }

  void LostHistoryIsFollowedByAList() {
    StoreReader reader(StoreSubject::kServers, kSeed);
    reader.RecordAnswer(kStart, AnswerTo(*reader.NextCall(kStart), 10));
    const auto watch = reader.NextCall(kStart + seconds(1));
    CPPUNIT_ASSERT(StoreCallKind::kWatch == watch->kind);
    StoreAnswer history_lost = AnswerTo(*watch, 0);
    history_lost.status = StoreStatus::kHistoryLost;
    reader.RecordAnswer(kStart + seconds(1), history_lost);
    const auto list = reader.NextCall(kStart + seconds(1));
    CPPUNIT_ASSERT(StoreCallKind::kList == list->kind);
  }

  // A server returns packets of flows that it does not hold. If the flow was
  // open there, the server has lost it and no other server can hold it.
  void ReturnedPacketOfAnOpenFlowResetsIt() {
    FlowAgent agent(AgentSettings());
    FlowPacket packet = MakePacket();
    packet.opening = true;
    this->FromBalancer(agent, packet);
    FlowPacket opening_answer = MakePacket();
    opening_answer.from_server = true;
    opening_answer.opening = true;
    opening_answer.sequence = 500;
    this->FromServer(agent, opening_answer);
    packet.opening = false;
    packet.acknowledgement = 501;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         this->FromBalancer(agent, packet).to_server.size());
    packet.returned = true;
    const FlowAgentOutbox outbox = this->FromServer(agent, packet);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outbox.resets.size());
    CPPUNIT_ASSERT_EQUAL(501U, outbox.resets[0].sequence);
  }

  // An agent knows all flows of its server only if it has run since the first
  // start of the system. A restarted agent forwards a packet of an unknown
  // flow, since the server may hold the flow.
  void AgentThatKnowsAllFlowsDeniesUnknownOnes() {
    FlowAgentSettings settings = AgentSettings();
    FlowAgent restarted(settings);
    settings.node.first_start = true;
    FlowAgent first(settings);
    const Bytes bytes(100, 'x');
    FlowPacket packet = MakePacket();
    packet.bytes = bytes;
    packet.mark.purpose = MarkPurpose::kSearch;
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{1}, this->FromBalancer(restarted, packet).to_server.size());
    const FlowAgentOutbox outbox = this->FromBalancer(first, packet);
    CPPUNIT_ASSERT(outbox.to_server.empty());
    CPPUNIT_ASSERT(NoticeKind::kNotHeld == outbox.notices[0].notice.kind);
    // A balancer that searches has buffered the packet; one that forwarded it
    // by a cached entry has not, and gets it back.
    CPPUNIT_ASSERT(outbox.notices[0].notice.packet.empty());
    packet.mark.purpose = MarkPurpose::kCached;
    CPPUNIT_ASSERT(
        !this->FromBalancer(first, packet).notices[0].notice.packet.empty());
    packet.mark.service_tag ^= 1U;
    CPPUNIT_ASSERT(NoticeKind::kWrongService ==
                   this->FromBalancer(first, packet).notices[0].notice.kind);
  }

  void AgentRejectsOpeningsAtMaxRunning() {
    FlowAgent agent(AgentSettings());
    FlowAgentInbox inbox;
    FlowNotice query;
    query.kind = NoticeKind::kQuery;
    query.sender = 77;
    query.service_tag = ServiceTag(MakeServiceId("desk"));
    query.max_running = 2;
    inbox.notices = {query};
    agent.Tick(kStart, inbox);
    FlowPacket packet = MakePacket();
    packet.opening = true;
    for (std::uint16_t port = 1; port <= 2; ++port) {
      packet.flow.client.port = port;
      CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                           this->FromBalancer(agent, packet).to_server.size());
    }
    packet.flow.client.port = 3;
    const FlowAgentOutbox refused = this->FromBalancer(agent, packet);
    CPPUNIT_ASSERT(refused.to_server.empty());
    CPPUNIT_ASSERT(NoticeKind::kSaturated == refused.notices[0].notice.kind);
    CPPUNIT_ASSERT_EQUAL(2U, refused.notices[0].notice.load.running);
    // A retransmission of an opening that was forwarded is forwarded too.
    packet.flow.client.port = 2;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         this->FromBalancer(agent, packet).to_server.size());
    // Openings without a request release their reserved capacity.
    agent.Tick(kStart + seconds(1), FlowAgentInbox());
    packet.flow.client.port = 4;
    FlowAgentInbox later;
    later.from_balancers = {packet};
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{1},
        agent.Tick(kStart + seconds(1), later).to_server.size());
  }

  void NoticesAndGossipRoundTripThroughTheCodec() {
    FlowNotice notice = MakeLoad(1, 5);
    notice.kind = NoticeKind::kNotHeld;
    notice.flow = kFlow;
    notice.packet = {1, 2, 3};
    notice.acknowledgement = 99;
    notice.max_running = 6;
    const auto decoded = DecodeFlowNotice(EncodeFlowNotice(notice), 1);
    CPPUNIT_ASSERT(decoded.has_value());
    CPPUNIT_ASSERT(decoded->flow == kFlow && decoded->packet == notice.packet);
    CPPUNIT_ASSERT_EQUAL(5U, decoded->load.running);
    CPPUNIT_ASSERT_EQUAL(99U, decoded->acknowledgement);
    CPPUNIT_ASSERT_EQUAL(6U, decoded->max_running);

    FlowNotice lookup;
    lookup.kind = NoticeKind::kLookupReply;
    lookup.lookups = {{kFlow, LookupResult::kHeld},
                      {kFlow, LookupResult::kNotHeld}};
    const auto reply = DecodeFlowNotice(EncodeFlowNotice(lookup), 1);
    CPPUNIT_ASSERT(reply.has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, reply->lookups.size());
    CPPUNIT_ASSERT(reply->lookups[1].flow == kFlow);
    CPPUNIT_ASSERT(LookupResult::kNotHeld == reply->lookups[1].result);

    FlowNotice query;
    query.kind = NoticeKind::kQuery;
    query.orders = {true, {3, 17}, 8.5, seconds(1), 3};
    const auto orders = DecodeFlowNotice(EncodeFlowNotice(query), 1);
    CPPUNIT_ASSERT(orders.has_value() && orders->orders.evacuated);
    CPPUNIT_ASSERT((StorePosition{3, 17}) ==
                   orders->orders.evacuation_position);
    CPPUNIT_ASSERT_EQUAL(8.5, orders->orders.warmup_openings_per_second);
    CPPUNIT_ASSERT_EQUAL(3U, orders->orders.slots);

    GossipMessage message;
    message.kind = GossipKind::kServers;
    message.view_version = {true, 3, {5, 44}};
    message.servers_hash = 0xABCD;
    message.after = {4, 30};
    message.readers = {{{0x0A010002, 7}, milliseconds(40)}};
    message.age = milliseconds(250);
    message.servers = {MakeChange("a", 41, 9)};
    FlowRoute route;
    route.service_address = kFlow.service_address;
    route.services = {{ServiceId{8}, 3}};
    route.time_limit = seconds(4);
    route.latency_target = milliseconds(200);
    route.priority = 2;
    route.idempotent = true;
    route.former_services = {{ServiceId{9}, seconds(3)}};
    message.routes = {route};
    message.warmup_limits = {{ServiceId{8}, 12.5, seconds(2)}};
    message.zone_orders = {{"zone-1", true, {5, 43}}};
    const auto gossip =
        DecodeFlowGossip(EncodeFlowGossip(message), {0x0A010001, 7});
    CPPUNIT_ASSERT(gossip.has_value());
    CPPUNIT_ASSERT((StorePosition{5, 44}) == gossip->view_version.servers);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0xABCD}, gossip->servers_hash);
    CPPUNIT_ASSERT((StorePosition{4, 30}) == gossip->after);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, gossip->readers.size());
    CPPUNIT_ASSERT((Endpoint{0x0A010002, 7}) == gossip->readers[0].control);
    CPPUNIT_ASSERT(Duration(milliseconds(40)) == gossip->readers[0].age);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), gossip->servers.at(0).name);
    CPPUNIT_ASSERT_EQUAL(9U, gossip->servers.at(0).server.host);
    CPPUNIT_ASSERT_EQUAL(3U, gossip->routes.at(0).services.at(0).weight);
    CPPUNIT_ASSERT(Duration(milliseconds(250)) == gossip->age);
    const FlowRoute& decoded_route = gossip->routes.at(0);
    CPPUNIT_ASSERT(route.time_limit == decoded_route.time_limit);
    CPPUNIT_ASSERT(route.latency_target == decoded_route.latency_target);
    CPPUNIT_ASSERT_EQUAL(2U, decoded_route.priority);
    CPPUNIT_ASSERT(decoded_route.idempotent);
    CPPUNIT_ASSERT(ServiceId{9} == decoded_route.former_services.at(0).service);
    CPPUNIT_ASSERT(Duration(seconds(3)) ==
                   decoded_route.former_services.at(0).age);
    CPPUNIT_ASSERT_EQUAL(12.5, gossip->warmup_limits.at(0).openings_per_second);
    CPPUNIT_ASSERT_EQUAL(std::string("zone-1"), gossip->zone_orders.at(0).zone);
    CPPUNIT_ASSERT(gossip->zone_orders.at(0).evacuated);
    CPPUNIT_ASSERT((StorePosition{5, 43}) ==
                   gossip->zone_orders.at(0).position);
    CPPUNIT_ASSERT(!DecodeFlowGossip(Bytes{0xFF, 0xFF}, {}).has_value());
    CPPUNIT_ASSERT(!DecodeFlowNotice(Bytes{0x08, 0x63}, 1).has_value());
  }

  void SettingsAreParsed() {
    constexpr char kText[] = R"(name: "edge-1"
zone: "Zone A"
data: "10.1.0.10:8172"
peer: "10.1.0.10:7720"
readiness: "10.1.0.10:8167"
first_start: true
flow_max_age_s: 60
stop_bound_s: 6.5
store: "10.200.1.7:8169"
seeds: ["10.1.0.10:8166","10.2.0.40:8166"]
)";
    const auto settings = ParseFlowBalancerSettings(kText, "f.yaml");
    CPPUNIT_ASSERT(settings.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("Zone A"), settings->node.zone);
    CPPUNIT_ASSERT(Duration(6500000) == settings->node.max_stop_time);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, settings->seeds.size());
    CPPUNIT_ASSERT(FileKind::kFlowBalancer == *DetectFileKind(kText));
    const auto invalid = ParseFlowAgentSettings(kText, "f.yaml");
    CPPUNIT_ASSERT(!invalid.has_value());
    CPPUNIT_ASSERT(ResultCode::kUnknownKey == invalid.error()[0].code ||
                   ResultCode::kMissingKey == invalid.error()[0].code);
  }

 private:
  static StoreAnswer AnswerTo(const StoreCall& call, std::uint64_t revision) {
    StoreAnswer answer;
    answer.subject = call.subject;
    answer.kind = call.kind;
    answer.generation = call.generation;
    answer.status = StoreStatus::kOk;
    answer.revision = revision;
    return answer;
  }

  static FlowAgentSettings AgentSettings() {
    FlowAgentSettings settings;
    settings.service = "desk";
    settings.node.data = {9, 1};
    settings.server = {9, 2};
    return settings;
  }

  static FlowPacket MakePacket() {
    FlowPacket packet;
    packet.flow = kFlow;
    packet.mark.purpose = MarkPurpose::kCached;
    packet.mark.service_tag = ServiceTag(MakeServiceId("desk"));
    packet.sender = 77;
    return packet;
  }

  static FlowAgentOutbox FromBalancer(FlowAgent& agent,
                                      const FlowPacket& packet) {
    FlowAgentInbox inbox;
    inbox.from_balancers = {packet};
    return agent.Tick(kStart, inbox);
  }

  static FlowAgentOutbox FromServer(FlowAgent& agent,
                                    const FlowPacket& packet) {
    FlowAgentInbox inbox;
    inbox.from_server = {packet};
    return agent.Tick(kStart, inbox);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FlowPartsTest);

}  // namespace
}  // namespace cactuscross
