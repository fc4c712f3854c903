#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <vector>

#include "cactuscross/flow_agent.h"
#include "src/core/flow/view/store_view.h"
#include "src/core/flow/view/zone_orders.h"
#include "src/wire/flow_codec.h"
#include "tests/support/flow_simulation.h"

namespace cactuscross::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeed = 1;
constexpr TimePoint kStart{seconds(100)};
constexpr std::size_t kMaxDatagramBytes = 1400;
constexpr char kZone[] = "z1";
constexpr std::uint32_t kBalancerHost = 77;

ZoneOrder Evacuate(StorePosition position) {
  return {kZone, true, position};
}

ZoneOrder Return(StorePosition position) {
  return {kZone, false, position};
}

// Orders in the view of a balancer.
class ZoneOrdersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ZoneOrdersTest);
  CPPUNIT_TEST(NewestPositionCounts);
  CPPUNIT_TEST(ListWithdrawsWhatItLacks);
  CPPUNIT_TEST(OutdatedOrderOfAPeerIsCorrected);
  CPPUNIT_TEST(OutdatedWithdrawalOfAPeerIsCorrected);
  CPPUNIT_TEST(CopyWithoutAnOrderHasAGracePeriod);
  CPPUNIT_TEST(OrderOfANewEraGoesFirst);
  CPPUNIT_TEST(UnknownZonesAreBounded);
  CPPUNIT_TEST(OrdersLeaveTheRoutesAsTheyAre);
  CPPUNIT_TEST(OrdersWithoutABoundAreIgnored);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Two balancers disagree: an older order must not undo a newer one.
  void NewestPositionCounts() {
    ZoneOrders orders;
    orders.Apply(Evacuate({1, 50}), this->events);
    orders.Apply(Return({1, 60}), this->events);
    orders.Apply(Evacuate({1, 50}), this->events);
    CPPUNIT_ASSERT(!orders.IsEvacuated(kZone));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->events.size());
    CPPUNIT_ASSERT(FlowEventKind::kZoneEvacuated == this->events[0].kind);
    CPPUNIT_ASSERT(FlowEventKind::kZoneReturned == this->events[1].kind);
    CPPUNIT_ASSERT_EQUAL(std::string(kZone), this->events[1].zone);
    CPPUNIT_ASSERT(std::uint64_t{60} == this->events[1].version);
  }

  // The store drops its history: the deletion of an order is never seen.
  void ListWithdrawsWhatItLacks() {
    ZoneOrders orders;
    orders.Apply(Evacuate({1, 50}), this->events);
    orders.Apply({"newer", true, {1, 71}}, this->events);
    orders.Apply({"listed", true, {1, 40}}, this->events);
    orders.FinishList(kStart, {"listed"}, {1, 70}, this->events);
    CPPUNIT_ASSERT(!orders.IsEvacuated(kZone));
    CPPUNIT_ASSERT(orders.IsEvacuated("newer"));
    CPPUNIT_ASSERT(orders.IsEvacuated("listed"));
    // A reader that was cut off since before the withdrawal.
    orders.ApplyFromPeer(kStart, Evacuate({1, 50}), {1, 70}, this->events);
    CPPUNIT_ASSERT(!orders.IsEvacuated(kZone));
  }

  // All balancers but one restart after an order was withdrawn. The one that
  // was cut off must not bring the order back.
  void OutdatedOrderOfAPeerIsCorrected() {
    ZoneOrders orders;
    orders.ApplyFromPeer(kStart, Evacuate({1, 50}), {1, 70}, this->events);
    CPPUNIT_ASSERT(!orders.IsEvacuated(kZone));
    // The answer to the peer is newer than what it knows.
    CPPUNIT_ASSERT((StorePosition{1, 70}) == orders.ForDigest()[0].position);
    // An order that the own reading does not cover is taken over.
    orders.ApplyFromPeer(kStart, Evacuate({1, 71}), {1, 70}, this->events);
    CPPUNIT_ASSERT(orders.IsEvacuated(kZone));
  }

  void OutdatedWithdrawalOfAPeerIsCorrected() {
    ZoneOrders orders;
    orders.Apply(Evacuate({1, 50}), this->events);
    orders.ApplyFromPeer(kStart, Return({1, 55}), {1, 70}, this->events);
    CPPUNIT_ASSERT(orders.IsEvacuated(kZone));
    CPPUNIT_ASSERT((StorePosition{1, 70}) == orders.ForDigest()[0].position);
    orders.ApplyFromPeer(kStart, Return({1, 72}), {1, 70}, this->events);
    CPPUNIT_ASSERT(!orders.IsEvacuated(kZone));
  }

  // The store comes back from a copy made before the order. The order must stay
  // in force until the operator has written it again.
  void CopyWithoutAnOrderHasAGracePeriod() {
    ZoneOrders orders;
    orders.Apply(Evacuate({1, 50}), this->events);
    orders.FinishList(kStart, {}, {2, 40}, this->events);
    // A peer that still has the order must not prolong it.
    orders.ApplyFromPeer(kStart + seconds(1), Evacuate({1, 51}), {2, 40},
                         this->events);
    // An agent that was told the position of the copy would take the
    // withdrawal for an old one.
    CPPUNIT_ASSERT(orders.StateOf(kZone, {2, 40}).position <
                   (StorePosition{2, 40}));
    orders.Expire(kStart + milliseconds(1999), this->events);
    CPPUNIT_ASSERT(orders.IsEvacuated(kZone));
    ZoneOrders written_again = orders;
    written_again.Apply(Evacuate({2, 41}), this->events);
    written_again.Expire(kStart + seconds(3), this->events);
    CPPUNIT_ASSERT(written_again.IsEvacuated(kZone));
    orders.Expire(kStart + seconds(2), this->events);
    CPPUNIT_ASSERT(!orders.IsEvacuated(kZone));
  }

  void OrderOfANewEraGoesFirst() {
    ZoneOrders orders;
    orders.Apply(Return({1, 60}), this->events);
    orders.Apply(Evacuate({2, 30}), this->events);
    CPPUNIT_ASSERT(orders.IsEvacuated(kZone));
    orders.ApplyFromPeer(kStart, Return({1, 90}), {2, 35}, this->events);
    CPPUNIT_ASSERT(orders.IsEvacuated(kZone));
  }

  // Orders for many zones that do not exist must not enlarge digests beyond a
  // datagram, nor push out orders in force.
  void UnknownZonesAreBounded() {
    ZoneOrders orders;
    orders.Apply(Evacuate({1, 1}), this->events);
    for (std::uint64_t i = 2; i < 100; ++i) {
      const std::string zone = std::string(60, 'z') + std::to_string(i);
      orders.Apply({zone, false, {1, i << 40U}}, this->events);
    }
    CPPUNIT_ASSERT(orders.IsEvacuated(kZone));
    CPPUNIT_ASSERT_EQUAL(kMaxZoneOrders, orders.All().size());
    GossipMessage digest;
    digest.view_version = {true, ~0ULL, {~0ULL, ~0ULL}};
    digest.servers_hash = ~0ULL;
    digest.peers.assign(8, {~0U, 65535});
    digest.readers.assign(2, {{~0U, 65535}, seconds(1)});
    digest.zone_orders = orders.ForDigest();
    CPPUNIT_ASSERT(digest.zone_orders.size() > 10);
    CPPUNIT_ASSERT(EncodeFlowGossip(digest).size() <= kMaxDatagramBytes);
  }

  // Orders are in the answers for routes. An answer without routes must neither
  // remove the routes in force nor count as routes.
  void OrdersLeaveTheRoutesAsTheyAre() {
    StoreView view(kSeed, seconds(60), /*uses_zone_orders=*/true);
    this->Answer(view, 50, {Evacuate({0, 50})}, {});
    CPPUNIT_ASSERT(view.Orders().IsEvacuated(kZone));
    CPPUNIT_ASSERT(!view.Routes().IsLoaded());
    RouteSet routes;
    routes.version = 3;
    routes.routes.emplace_back();
    this->Answer(view, 55, {}, {routes});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, view.Routes().Size());
    this->Answer(view, 60, {Return({0, 60})}, {});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, view.Routes().Size());
    CPPUNIT_ASSERT(!view.Orders().IsEvacuated(kZone));
    CPPUNIT_ASSERT((StorePosition{1, 60}) == view.OrdersReadPosition());
  }

  // Deployments without the bound must not change.
  void OrdersWithoutABoundAreIgnored() {
    StoreView view(kSeed, seconds(60));
    this->Answer(view, 50, {Evacuate({0, 50})}, {});
    view.ApplyPeerZoneOrders(kStart, {Evacuate({1, 50})}, this->events);
    CPPUNIT_ASSERT(view.Orders().All().empty());
  }

 private:
  // Answers the next call of `view` for routes, in era 1.
  void Answer(StoreView& view,
              std::uint64_t revision,
              const std::vector<ZoneOrder>& orders,
              const std::vector<RouteSet>& routes) {
    FlowBalancerOutbox outbox;
    const auto find_call = [&outbox] {
      return std::find_if(outbox.store_calls.begin(), outbox.store_calls.end(),
                          [](const StoreCall& call) {
                            return call.subject == StoreSubject::kRoutes;
                          });
    };
    while (find_call() == outbox.store_calls.end()) {
      this->now += milliseconds(50);
      view.Tick(this->now, {}, outbox);
    }
    StoreAnswer answer;
    answer.kind = find_call()->kind;
    answer.generation = find_call()->generation;
    answer.status = StoreStatus::kOk;
    answer.era = 1;
    answer.revision = revision;
    answer.zone_orders = orders;
    answer.routes = routes;
    FlowBalancerOutbox ignored;
    view.Tick(this->now, {answer}, ignored);
  }

  TimePoint now = kStart;
  std::vector<FlowEvent> events;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ZoneOrdersTest);

FlowNotice MakeQuery(bool evacuated, StorePosition position) {
  FlowNotice query;
  query.kind = NoticeKind::kQuery;
  query.sender = kBalancerHost;
  query.service_tag = ServiceTag(MakeServiceId("desk"));
  query.orders.evacuated = evacuated;
  query.orders.evacuation_position = position;
  return query;
}

// Agents of servers in an evacuated zone.
class EvacuatedAgentTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EvacuatedAgentTest);
  CPPUNIT_TEST(OpeningsAreRefusedWhileTheOrderIsInForce);
  CPPUNIT_TEST(NewestOrderCounts);
  CPPUNIT_TEST_SUITE_END();

 public:
  // A balancer that has not learned of the order must not open a flow, also not
  // with an opening that the agent has seen before. Open flows continue.
  void OpeningsAreRefusedWhileTheOrderIsInForce() {
    FlowAgent agent(Settings());
    CPPUNIT_ASSERT(this->Forwards(agent, 1, /*opening=*/true));
    FlowAgentInbox accepted;
    accepted.from_server = {MakePacket(1, /*opening=*/true)};
    accepted.from_server[0].sequence = 500;
    agent.Tick(kStart, accepted);
    this->Tell(agent, true, {1, 50});
    CPPUNIT_ASSERT(!this->Forwards(agent, 1, /*opening=*/true));
    CPPUNIT_ASSERT(!this->Forwards(agent, 2, /*opening=*/true));
    const FlowNotice& refusal = this->outbox.notices.at(0).notice;
    CPPUNIT_ASSERT(NoticeKind::kRefused == refusal.kind);
    CPPUNIT_ASSERT(refusal.load.evacuated);
    CPPUNIT_ASSERT_EQUAL(std::string_view("zone_evacuated"),
                         this->outbox.events.at(0).reason);
    CPPUNIT_ASSERT(this->Forwards(agent, 1, /*opening=*/false));
    this->Tell(agent, false, {1, 60});
    CPPUNIT_ASSERT(this->Forwards(agent, 2, /*opening=*/true));
  }

  // Two balancers disagree, or one of them has no order to tell.
  void NewestOrderCounts() {
    FlowAgent agent(Settings());
    this->Tell(agent, true, {1, 50});
    CPPUNIT_ASSERT(FlowEventKind::kZoneEvacuated ==
                   this->outbox.events.at(0).kind);
    this->Tell(agent, false, {1, 40});
    this->Tell(agent, false, {});
    CPPUNIT_ASSERT(!this->Forwards(agent, 1, /*opening=*/true));
    this->Tell(agent, false, {2, 30});
    CPPUNIT_ASSERT(this->Forwards(agent, 1, /*opening=*/true));
  }

 private:
  static FlowAgentSettings Settings() {
    FlowAgentSettings settings;
    settings.service = "desk";
    return settings;
  }

  void Tell(FlowAgent& agent, bool evacuated, StorePosition position) {
    FlowAgentInbox inbox;
    inbox.notices = {MakeQuery(evacuated, position)};
    this->outbox = agent.Tick(kStart, inbox);
  }

  static FlowPacket MakePacket(std::uint16_t port, bool opening) {
    FlowPacket packet;
    packet.flow = {{0x64400007, port}, {0xC6120001, 443}};
    packet.opening = opening;
    packet.acknowledgement = opening ? 0 : 501;
    packet.sender = kBalancerHost;
    packet.mark.service_tag = ServiceTag(MakeServiceId("desk"));
    return packet;
  }

  bool Forwards(FlowAgent& agent, std::uint16_t port, bool opening) {
    FlowAgentInbox inbox;
    inbox.from_balancers = {MakePacket(port, opening)};
    this->outbox = agent.Tick(kStart, inbox);
    return !this->outbox.to_server.empty();
  }

  FlowAgentOutbox outbox;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvacuatedAgentTest);

// Evacuations in the simulated environment, with one kind of failure each. From
// 5 s after an order no server of the zone may get an opening.
class ZoneEvacuationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ZoneEvacuationTest);
  CPPUNIT_TEST(EvacuatedZoneGetsNoOpenings);
  CPPUNIT_TEST(LostDatagramsDelayNoOrder);
  CPPUNIT_TEST(BalancerThatDoesNotKnowTheOrder);
  CPPUNIT_TEST(RestartedAgentIsToldAgain);
  CPPUNIT_TEST(BalancersRestartWhileTheStoreIsDown);
  CPPUNIT_TEST(OrderIsWithdrawnWhileAllBalancersAreDown);
  CPPUNIT_TEST(StoreDropsItsHistory);
  CPPUNIT_TEST(OrderIsWithdrawnWhileAReaderIsCutOff);
  CPPUNIT_TEST(StoreComesBackFromACopyWithoutTheOrder);
  CPPUNIT_TEST(ZonesAreEvacuatedOneAfterTheOther);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EvacuatedZoneGetsNoOpenings() {
    FlowSimulation simulation(kSeed, Config());
    simulation.Run(seconds(2));
    simulation.SetEvacuated(1, true);
    simulation.Run(seconds(1));
    const TimePoint in_force = simulation.GetLink().Now();
    // Six balancers, most of which do not read the store, and four agents.
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{10},
                         simulation.EventCount(FlowEventKind::kZoneEvacuated));
    const FlowTotals totals = simulation.Run(seconds(6));
    CPPUNIT_ASSERT(totals.violations.empty());
    CPPUNIT_ASSERT(totals.ServedShare() >= 0.99);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                         simulation.EventCount(FlowEventKind::kLost));
    CheckNoOpenings(simulation, 1, in_force);
    CPPUNIT_ASSERT(OpeningsSince(simulation, 0, in_force));
    simulation.SetEvacuated(1, false);
    simulation.Run(seconds(3));
    CPPUNIT_ASSERT(OpeningsSince(simulation, 1, in_force));
  }

  // A query, and any other datagram, may be lost.
  void LostDatagramsDelayNoOrder() {
    FlowSimulation simulation(kSeed, Config());
    LinkFaults faults;
    faults.delay = milliseconds(1);
    faults.loss = 0.3;
    simulation.GetLink().SetFaults(faults);
    this->EvacuateAndCheck(simulation);
  }

  // The balancer is cut off from the store and its peers, but its packets still
  // reach the agents.
  void BalancerThatDoesNotKnowTheOrder() {
    FlowSimulation simulation(kSeed, Config());
    simulation.IsolateBalancer(5, true);
    this->EvacuateAndCheck(simulation);
  }

  void RestartedAgentIsToldAgain() {
    FlowSimulation simulation(kSeed, Config());
    simulation.IsolateBalancer(5, true);
    this->EvacuateAndCheck(simulation);
    // Servers 1, 4, 7 and 10 are in the zone.
    simulation.KillAgent(1, milliseconds(300));
    simulation.KillAgent(4, milliseconds(600));
    simulation.Run(seconds(5));
    const TimePoint told_at = simulation.GetLink().Now();
    simulation.Run(seconds(4));
    CheckNoOpenings(simulation, 1, told_at);
  }

  void BalancersRestartWhileTheStoreIsDown() {
    FlowSimulation simulation(kSeed, Config());
    this->EvacuateAndCheck(simulation);
    const TimePoint down_at = simulation.GetLink().Now();
    simulation.SetStoreDown(true, /*silent=*/true);
    for (std::size_t i = 0; i < 5; ++i) {
      simulation.KillBalancer(i, milliseconds(300));
      simulation.Run(seconds(2));
    }
    CPPUNIT_ASSERT(simulation.AllReady());
    CheckNoOpenings(simulation, 1, down_at);
  }

  // No balancer has ever known the order, but the agents have: they must not
  // refuse openings for ever.
  void OrderIsWithdrawnWhileAllBalancersAreDown() {
    FlowSimulation simulation(kSeed, Config());
    this->EvacuateAndCheck(simulation);
    for (std::size_t i = 0; i < 6; ++i) {
      simulation.KillBalancer(i, seconds(1));
    }
    simulation.SetEvacuated(1, false);
    simulation.Run(seconds(2));
    const TimePoint restarted_at = simulation.GetLink().Now();
    simulation.Run(seconds(4));
    CPPUNIT_ASSERT(OpeningsSince(simulation, 1, restarted_at));
  }

  void StoreDropsItsHistory() {
    FlowSimulation simulation(kSeed, Config());
    this->EvacuateAndCheck(simulation);
    const TimePoint dropped_at = simulation.GetLink().Now();
    simulation.DropStoreHistory();
    simulation.Run(seconds(4));
    CheckNoOpenings(simulation, 1, dropped_at);
    // The withdrawal is only seen as an order that a list lacks.
    simulation.SetEvacuated(1, false);
    simulation.DropStoreHistory();
    simulation.Run(seconds(4));
    CPPUNIT_ASSERT(OpeningsSince(simulation, 1, dropped_at));
  }

  void OrderIsWithdrawnWhileAReaderIsCutOff() {
    FlowSimulation simulation(kSeed, Config());
    this->EvacuateAndCheck(simulation);
    const TimePoint withdrawn_at = simulation.GetLink().Now();
    for (std::size_t i = 0; i < 3; ++i) {
      simulation.IsolateBalancer(i, true);
    }
    simulation.SetEvacuated(1, false);
    simulation.Run(seconds(4));
    CPPUNIT_ASSERT(OpeningsSince(simulation, 1, withdrawn_at));
    const std::uint64_t evacuations =
        simulation.EventCount(FlowEventKind::kZoneEvacuated);
    for (std::size_t i = 0; i < 3; ++i) {
      simulation.IsolateBalancer(i, false);
    }
    simulation.Run(seconds(4));
    CPPUNIT_ASSERT_EQUAL(evacuations,
                         simulation.EventCount(FlowEventKind::kZoneEvacuated));
  }

  void StoreComesBackFromACopyWithoutTheOrder() {
    FlowSimulation simulation(kSeed, Config());
    this->EvacuateAndCheck(simulation);
    const TimePoint restored_at = simulation.GetLink().Now();
    simulation.RestoreStore(seconds(20));
    simulation.Run(seconds(6));
    CheckNoOpenings(simulation, 1, restored_at);
    simulation.SetEvacuated(1, false);
    simulation.Run(seconds(3));
    CPPUNIT_ASSERT(OpeningsSince(simulation, 1, restored_at));
  }

  // Each order applies independently. When no zone is left, callers are told at
  // once that nothing has run, and nothing waits.
  void ZonesAreEvacuatedOneAfterTheOther() {
    FlowSimulation simulation(kSeed, Config());
    for (std::size_t zone = 0; zone < 3; ++zone) {
      simulation.SetEvacuated(zone, true);
      simulation.Run(seconds(2));
    }
    const TimePoint in_force = simulation.GetLink().Now();
    const std::uint64_t waiting =
        simulation.EventCount(FlowEventKind::kWaiting);
    const std::uint64_t refused =
        simulation.EventCount(FlowEventKind::kRefused);
    simulation.Run(seconds(2));
    for (std::size_t zone = 0; zone < 3; ++zone) {
      CheckNoOpenings(simulation, zone, in_force);
    }
    CPPUNIT_ASSERT_EQUAL(waiting,
                         simulation.EventCount(FlowEventKind::kWaiting));
    CPPUNIT_ASSERT(simulation.EventCount(FlowEventKind::kRefused) > refused);
    simulation.SetEvacuated(2, false);
    simulation.Run(seconds(2));
    CPPUNIT_ASSERT(OpeningsSince(simulation, 2, in_force));
    CheckNoOpenings(simulation, 0, in_force);
  }

 private:
  static FlowSimulationConfig Config() {
    FlowSimulationConfig config = WorkshopConfig(0.5);
    config.evacuation_bound = seconds(5);
    return config;
  }

  static bool OpeningsSince(const FlowSimulation& simulation,
                            std::size_t zone,
                            TimePoint since) {
    for (std::size_t i = zone; i < simulation.ServerCount(); i += 3) {
      if (simulation.LastOpeningAt(i) > since) {
        return true;
      }
    }
    return false;
  }

  static void CheckNoOpenings(const FlowSimulation& simulation,
                              std::size_t zone,
                              TimePoint since) {
    CPPUNIT_ASSERT_MESSAGE("zone " + std::to_string(zone) + " got openings",
                           !OpeningsSince(simulation, zone, since));
  }

  // Evacuates zone 1 and checks the bound of 5 s.
  void EvacuateAndCheck(FlowSimulation& simulation) {
    simulation.Run(seconds(2));
    simulation.SetEvacuated(1, true);
    simulation.Run(seconds(5));
    const TimePoint bound = simulation.GetLink().Now();
    CPPUNIT_ASSERT(simulation.Run(seconds(5)).violations.empty());
    CheckNoOpenings(simulation, 1, bound);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ZoneEvacuationTest);

}  // namespace
}  // namespace cactuscross::testing
