#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "cactuscross/flow_balancer.h"

namespace cactuscross {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeed = 7;
constexpr TimePoint kStart{seconds(100)};
constexpr Duration kTickInterval{milliseconds(10)};
constexpr FlowKey kFlow = {{0x64400007, 40001}, {0xC6120001, 443}};
constexpr std::size_t kMaxQueriesPerTick = 64;

FlowBalancerSettings Settings() {
  FlowBalancerSettings settings;
  settings.node.zone = "z0";
  settings.node.evacuation_bound = seconds(5);
  settings.node.warmup_overshoot = 1.5;
  settings.node.warmup_slack = 5;
  return settings;
}

// A balancer whose store and agents the test plays. Server i has the host i + 1
// and is in zone "z0" if i is even, else in "z1".
class BalancerUnderTest {
 public:
  explicit BalancerUnderTest(std::uint32_t server_count)
      : balancer(Settings(), kSeed) {
    RouteSet routes;
    routes.version = 1;
    routes.routes.emplace_back();
    routes.routes[0].service_address = kFlow.service_address;
    routes.routes[0].services = {{MakeServiceId("desk"), 1}};
    routes.warmup_limits = {{MakeServiceId("desk"), 4.0, seconds(3)}};
    StoreAnswer answer;
    answer.routes = {routes};
    this->AnswerStore(StoreSubject::kRoutes, answer);
    StoreAnswer servers;
    for (std::uint32_t i = 0; i < server_count; ++i) {
      servers.servers.push_back(MakeServer(i, Duration{0}));
    }
    this->AnswerStore(StoreSubject::kServers, servers);
    for (std::uint32_t i = 0; i < server_count; ++i) {
      this->Notice(i, NoticeKind::kLoad, ServerLoad());
    }
  }

  static ServerChange MakeServer(std::uint32_t index, Duration warmup_time) {
    ServerChange change;
    change.name = "s" + std::to_string(index);
    change.position.revision = 10;
    change.server.name = change.name;
    change.server.service = MakeServiceId("desk");
    change.server.host = index + 1;
    change.server.zone = "z" + std::to_string(index % 2);
    change.server.warmup_time = warmup_time;
    return change;
  }

  void Tick(const FlowBalancerInbox& inbox) {
    this->now += kTickInterval;
    this->outbox = this->balancer.Tick(this->now, inbox);
    for (const StoreCall& call : this->outbox.store_calls) {
      this->calls[call.subject] = call;
    }
  }

  void WaitForCall(StoreSubject subject) {
    while (this->calls.count(subject) == 0) {
      this->Tick({});
    }
  }

  // Answers the next call for `subject` at a new revision.
  void AnswerStore(StoreSubject subject, StoreAnswer answer) {
    this->WaitForCall(subject);
    answer.subject = subject;
    answer.kind = this->calls[subject].kind;
    answer.generation = this->calls[subject].generation;
    this->calls.erase(subject);
    answer.status = StoreStatus::kOk;
    answer.era = 1;
    answer.revision = ++this->revision;
    for (ZoneOrder& order : answer.zone_orders) {
      order.position.revision = this->revision;
    }
    for (ServerChange& change : answer.servers) {
      change.position.revision = this->revision;
    }
    FlowBalancerInbox inbox;
    inbox.store_answers = {answer};
    this->Tick(inbox);
  }

  void Order(const std::string& zone, bool evacuated) {
    StoreAnswer answer;
    answer.zone_orders = {{zone, evacuated, {}}};
    this->AnswerStore(StoreSubject::kRoutes, answer);
  }

  void Notice(std::uint32_t server, NoticeKind kind, const ServerLoad& load) {
    FlowNotice notice;
    notice.kind = kind;
    notice.sender = server + 1;
    notice.service_tag = ServiceTag(MakeServiceId("desk"));
    notice.flow = kFlow;
    notice.load = load;
    FlowBalancerInbox inbox;
    inbox.notices = {notice};
    this->Tick(inbox);
  }

  void Open(std::uint32_t retransmit_count) {
    FlowPacket packet;
    packet.flow = kFlow;
    packet.opening = true;
    packet.retransmit_count = retransmit_count;
    packet.bytes = this->bytes;
    FlowBalancerInbox inbox;
    inbox.packets = {packet};
    this->Tick(inbox);
  }

  // Index of the server that the last tick sent an opening to; -1: none.
  int SentTo() const {
    return this->outbox.forwards.empty()
               ? -1
               : static_cast<int>(
                     this->outbox.forwards[0].destination.address) -
                     1;
  }

  // Returns whether the last tick reset the client and named this reason.
  bool Refused(std::string_view reason) const {
    return this->outbox.resets.size() == 1 &&
           std::any_of(this->outbox.events.begin(), this->outbox.events.end(),
                       [reason](const FlowEvent& event) {
                         return event.kind == FlowEventKind::kRefused &&
                                event.reason == reason;
                       });
  }

  // Queries of the last tick to the agent of `server`.
  std::vector<AgentOrders> OrdersTo(std::uint32_t server) const {
    std::vector<AgentOrders> orders;
    for (const OutgoingNotice& outgoing : this->outbox.notices) {
      if (outgoing.notice.kind == NoticeKind::kQuery &&
          outgoing.host == server + 1) {
        orders.push_back(outgoing.notice.orders);
      }
    }
    return orders;
  }

  FlowBalancer balancer;
  FlowBalancerOutbox outbox;  // of the last tick

 private:
  TimePoint now = kStart;
  std::map<StoreSubject, StoreCall> calls;
  std::uint64_t revision = 20;
  const Bytes bytes = Bytes(100, 'x');
};

// What a balancer decides on openings in evacuated zones, and what it tells
// agents.
class AgentOrdersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AgentOrdersTest);
  CPPUNIT_TEST(OpeningIsResetAtOnceIfNoZoneIsLeft);
  CPPUNIT_TEST(WaitingOpeningIsResetAtOnce);
  CPPUNIT_TEST(OpeningSentBeforeTheOrderGoesElsewhere);
  CPPUNIT_TEST(RefusalByAnAgentNamesTheOrder);
  CPPUNIT_TEST(CachedServerOfAnEvacuatedZoneIsNotUsed);
  CPPUNIT_TEST(OrderIsRepeatedUntilTheAgentConfirmsIt);
  CPPUNIT_TEST(OrdersOfATickAreBounded);
  CPPUNIT_TEST(ZonesAreInTheMetrics);
  CPPUNIT_TEST(LimitIsToldEverySecondWhileTheServerIsCold);
  CPPUNIT_TEST(ServerThatReachedItsLimitIsPassedOver);
  CPPUNIT_TEST_SUITE_END();

 public:
  void OpeningIsResetAtOnceIfNoZoneIsLeft() {
    BalancerUnderTest site(2);
    site.Order("z0", true);
    site.Order("z1", true);
    site.Open(0);
    CPPUNIT_ASSERT(site.Refused("zone_evacuated"));
    CPPUNIT_ASSERT_EQUAL(-1, site.SentTo());
  }

  // An opening must not wait for the capacity of a server that it cannot get.
  void WaitingOpeningIsResetAtOnce() {
    BalancerUnderTest site(1);
    ServerLoad full;
    full.running = 2;
    site.Notice(0, NoticeKind::kLoad, full);
    site.Open(0);
    CPPUNIT_ASSERT_EQUAL(-1, site.SentTo());
    CPPUNIT_ASSERT(site.outbox.resets.empty());
    site.Order("z0", true);
    CPPUNIT_ASSERT(site.Refused("zone_evacuated"));
  }

  // The client's retransmission must not reach the zone through the balancer
  // that sent the first transmission there, also before the response timeout.
  void OpeningSentBeforeTheOrderGoesElsewhere() {
    BalancerUnderTest site(2);
    site.WaitForCall(StoreSubject::kRoutes);
    site.Open(0);
    const int first = site.SentTo();
    site.Order("z" + std::to_string(first), true);
    site.Open(1);
    CPPUNIT_ASSERT_EQUAL(1 - first, site.SentTo());
  }

  // An agent may know the order before the balancer does.
  void RefusalByAnAgentNamesTheOrder() {
    BalancerUnderTest site(1);
    site.Open(0);
    CPPUNIT_ASSERT_EQUAL(0, site.SentTo());
    ServerLoad evacuated;
    evacuated.evacuated = true;
    site.Notice(0, NoticeKind::kRefused, evacuated);
    CPPUNIT_ASSERT(site.Refused("zone_evacuated"));
  }

  // A client that uses the port of an earlier flow again.
  void CachedServerOfAnEvacuatedZoneIsNotUsed() {
    BalancerUnderTest site(2);
    site.Open(0);
    const int first = site.SentTo();
    site.Notice(static_cast<std::uint32_t>(first), NoticeKind::kAccepted,
                ServerLoad());
    site.Open(0);
    CPPUNIT_ASSERT_EQUAL(first, site.SentTo());
    site.Order("z" + std::to_string(first), true);
    site.Open(0);
    CPPUNIT_ASSERT_EQUAL(1 - first, site.SentTo());
  }

  // A query is lost, or the agent restarts.
  void OrderIsRepeatedUntilTheAgentConfirmsIt() {
    BalancerUnderTest site(2);
    site.Order("z1", true);
    CPPUNIT_ASSERT(site.OrdersTo(0).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, site.OrdersTo(1).size());
    CPPUNIT_ASSERT(site.OrdersTo(1)[0].evacuated);
    CPPUNIT_ASSERT(site.OrdersTo(1)[0].evacuation_position.era == 1);
    // The rate is told for a warm server too: its agent may have just started.
    CPPUNIT_ASSERT_EQUAL(4.0, site.OrdersTo(1)[0].warmup_openings_per_second);
    CPPUNIT_ASSERT(Duration{0} == site.OrdersTo(1)[0].warmup_remaining);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->CountQueries(site, 1, 20));
    ServerLoad evacuated;
    evacuated.evacuated = true;
    site.Notice(1, NoticeKind::kLoad, evacuated);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->CountQueries(site, 1, 20));
    site.Notice(1, NoticeKind::kLoad, ServerLoad());
    CPPUNIT_ASSERT(this->CountQueries(site, 1, 20) >= 1);
  }

  // All agents of a large zone have to be told at once.
  void OrdersOfATickAreBounded() {
    BalancerUnderTest site(200);
    site.Order("z1", true);
    std::size_t told = 0;
    for (int tick = 0; tick < 3; ++tick) {
      CPPUNIT_ASSERT(site.outbox.notices.size() <= kMaxQueriesPerTick);
      told += site.outbox.notices.size();
      site.Tick({});
    }
    CPPUNIT_ASSERT(told >= 100);
  }

  void ZonesAreInTheMetrics() {
    BalancerUnderTest site(4);
    ServerLoad load;
    load.open_flows = 3;
    site.Notice(1, NoticeKind::kLoad, load);
    site.Notice(3, NoticeKind::kLoad, load);
    site.Order("z1", true);
    site.Order("unknown", true);
    std::map<std::string, double> samples;
    for (const MetricSample& sample : site.balancer.Metrics()) {
      samples[sample.name + "{" + sample.labels + "}"] = sample.value;
    }
    CPPUNIT_ASSERT_EQUAL(1.0, samples.at("flow_zone_evacuated{zone=\"z1\"}"));
    CPPUNIT_ASSERT_EQUAL(6.0, samples.at("flow_zone_open_flows{zone=\"z1\"}"));
    CPPUNIT_ASSERT_EQUAL(1.0,
                         samples.at("flow_zone_evacuated{zone=\"unknown\"}"));
  }

  void LimitIsToldEverySecondWhileTheServerIsCold() {
    BalancerUnderTest site(2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->CountQueries(site, 0, 20));
    StoreAnswer answer;
    answer.servers = {BalancerUnderTest::MakeServer(0, seconds(3))};
    site.AnswerStore(StoreSubject::kServers, answer);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, site.OrdersTo(0).size());
    CPPUNIT_ASSERT_EQUAL(4.0, site.OrdersTo(0)[0].warmup_openings_per_second);
    CPPUNIT_ASSERT(Duration(seconds(3)) ==
                   site.OrdersTo(0)[0].warmup_remaining);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->CountQueries(site, 0, 250));
  }

  // The agent's refusal does not show in the load: without a pause the balancer
  // would send the opening there again in each round trip.
  void ServerThatReachedItsLimitIsPassedOver() {
    BalancerUnderTest site(2);
    site.Open(0);
    const int first = site.SentTo();
    site.Notice(static_cast<std::uint32_t>(first), NoticeKind::kSaturated,
                ServerLoad());
    CPPUNIT_ASSERT_EQUAL(1 - first, site.SentTo());
    site.Notice(static_cast<std::uint32_t>(1 - first), NoticeKind::kSaturated,
                ServerLoad());
    CPPUNIT_ASSERT_EQUAL(-1, site.SentTo());
    CPPUNIT_ASSERT(site.outbox.resets.empty());
  }

 private:
  // Returns the number of queries to the agent of `server` in `ticks` ticks, in
  // which all agents report their load.
  std::size_t CountQueries(BalancerUnderTest& site,
                           std::uint32_t server,
                           int ticks) {
    std::size_t queries = 0;
    for (int tick = 0; tick < ticks; ++tick) {
      if (tick % 30 == 10) {
        site.Notice(1 - server, NoticeKind::kLoad, ServerLoad());
      } else if (tick % 30 == 20 && ticks > 30) {
        site.Notice(server, NoticeKind::kLoad, ServerLoad());
      } else {
        site.Tick({});
      }
      queries += site.OrdersTo(server).size();
    }
    return queries;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentOrdersTest);

}  // namespace
}  // namespace cactuscross
