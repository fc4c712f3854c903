#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <vector>

#include "src/core/flow/view/store_view.h"
#include "src/core/flow/view/view_gossip.h"
#include "tests/support/flow_simulation.h"

namespace cactuscross::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};
constexpr std::uint64_t kSeed = 7;
constexpr ServiceId kDesk{1};
constexpr ServiceId kParts{2};
constexpr std::uint32_t kHost = 9;

ServerChange MakeServer(const std::string& name,
                        std::uint64_t revision,
                        std::uint64_t report_number,
                        ServerPhase phase = ServerPhase::kServing) {
  ServerChange change;
  change.name = name;
  change.position.revision = revision;
  change.server.name = name;
  change.server.service = kDesk;
  change.server.host = kHost;
  change.server.phase = phase;
  change.server.started_ms = 5000;
  change.server.report_number = report_number;
  return change;
}

ServerChange MakeRemoval(const std::string& name, std::uint64_t revision) {
  ServerChange change = MakeServer(name, revision, 0);
  change.removed = true;
  return change;
}

std::size_t CountEvents(const std::vector<FlowEvent>& events,
                        FlowEventKind kind) {
  return static_cast<std::size_t>(std::count_if(
      events.begin(), events.end(),
      [kind](const FlowEvent& event) { return event.kind == kind; }));
}

// A view and the store that it reads. The store answers when the test says so.
class ViewOfStore {
 public:
  ViewOfStore() : view(kSeed, seconds(60)) {}

  // Collects the calls that are due.
  void CollectCalls() {
    FlowBalancerOutbox outbox;
    this->view.SetReading(true, 1);
    this->view.Tick(this->now, {}, outbox);
    this->Take(outbox);
  }

  // Returns the open call for `subject`. Advances the time until there is one.
  StoreCall Call(StoreSubject subject) {
    for (;;) {
      this->CollectCalls();
      for (auto call = this->calls.rbegin(); call != this->calls.rend();
           ++call) {
        if (call->subject == subject) {
          StoreCall found = *call;
          this->calls.clear();
          return found;
        }
      }
      this->now += milliseconds(10);
    }
  }

  void Answer(const StoreCall& call,
              std::optional<std::uint64_t> era,
              std::uint64_t revision,
              const std::vector<ServerChange>& servers,
              StoreStatus status = StoreStatus::kOk) {
    StoreAnswer answer;
    answer.subject = call.subject;
    answer.kind = call.kind;
    answer.generation = call.generation;
    answer.status = status;
    answer.era = era;
    answer.revision = revision;
    answer.servers = servers;
    this->Deliver(answer);
  }

  void Deliver(const StoreAnswer& answer) {
    FlowBalancerOutbox outbox;
    this->view.Tick(this->now, {answer}, outbox);
    this->Take(outbox);
  }

  // Answers the next call for servers.
  void AnswerServers(std::optional<std::uint64_t> era,
                     std::uint64_t revision,
                     const std::vector<ServerChange>& servers) {
    this->Answer(this->Call(StoreSubject::kServers), era, revision, servers);
  }

  const ServerEntry& Server(const std::string& name) {
    return *this->view.Servers().Find(MakeServerKey(name));
  }

  StoreView view;
  TimePoint now = kStart;
  std::vector<FlowEvent> events;

 private:
  void Take(FlowBalancerOutbox& outbox) {
    this->calls.insert(this->calls.end(), outbox.store_calls.begin(),
                       outbox.store_calls.end());
    this->events.insert(this->events.end(), outbox.events.begin(),
                        outbox.events.end());
  }

  std::vector<StoreCall> calls;
};

// Servers that are first written in era 1, before the store comes back from a
// copy in era 2.
class StoreErasTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreErasTest);
  CPPUNIT_TEST(NewEraIsListedFromTheStart);
  CPPUNIT_TEST(FailedAnswerStartsAnEraToo);
  CPPUNIT_TEST(AnswerOfAnEarlierEraIsDiscarded);
  CPPUNIT_TEST(EraChangesBetweenTwoPages);
  CPPUNIT_TEST(MissingEraIsReportedOnce);
  CPPUNIT_TEST(StoreWithoutErasIsNotReported);
  CPPUNIT_TEST(LeavingServerStaysLeaving);
  CPPUNIT_TEST(RemovedServerStaysRemovedUntilItReports);
  CPPUNIT_TEST(EarlierIncarnationIsIgnored);
  CPPUNIT_TEST(ServerThatTheCopyLacksHasAGracePeriod);
  CPPUNIT_TEST(ReusedHostStaysWithTheLaterServer);
  CPPUNIT_TEST(NewBalancerLearnsTheLaterServerFromAPeer);
  CPPUNIT_TEST(PeerInAnEarlierEraChangesNothing);
  CPPUNIT_TEST(ProcessWithoutStoreCatchesUpFromAPeer);
  CPPUNIT_TEST(OlderRoutesAreIgnored);
  CPPUNIT_TEST(RequestsDoNotNoticeARestoredStore);
  CPPUNIT_TEST(TwoRestoresInARow);
  CPPUNIT_TEST(DrainBeforeARestoreStaysInForce);
  CPPUNIT_TEST(BalancersThatStartDuringARestore);
  CPPUNIT_TEST(SeedsThatStartDuringARestore);
  CPPUNIT_TEST(PeerInAnEarlierEraKnowsMoreThanTheCopy);
  CPPUNIT_TEST(CallsOfARestoreAreBounded);
  CPPUNIT_TEST_SUITE_END();

 public:
  // The new era looks like an ordinary answer to a watch, at a higher revision.
  void NewEraIsListedFromTheStart() {
    ViewOfStore store;
    store.AnswerServers(1, 50, {MakeServer("a", 40, 3)});
    const StoreCall watch = store.Call(StoreSubject::kServers);
    CPPUNIT_ASSERT(StoreCallKind::kWatch == watch.kind);
    store.Answer(watch, 2, 60, {MakeServer("b", 55, 1)});
    CPPUNIT_ASSERT(store.view.Servers().Find(MakeServerKey("b")) == nullptr);
    // The view of the old era is in use until the list is complete.
    CPPUNIT_ASSERT((StorePosition{1, 50}) == store.view.Version().servers);
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{1},
        CountEvents(store.events, FlowEventKind::kStoreRestored));
    const StoreCall list = store.Call(StoreSubject::kServers);
    CPPUNIT_ASSERT(StoreCallKind::kList == list.kind);
    store.Answer(list, 2, 45, {MakeServer("a", 30, 4)});
    CPPUNIT_ASSERT((StorePosition{2, 45}) == store.view.Version().servers);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4},
                         store.Server("a").server.report_number);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{45},
                         store.Call(StoreSubject::kServers).after_revision);
  }

  void FailedAnswerStartsAnEraToo() {
    for (const StoreStatus status :
         {StoreStatus::kBusy, StoreStatus::kHistoryLost}) {
      ViewOfStore store;
      store.AnswerServers(1, 50, {MakeServer("a", 40, 3)});
      store.Answer(store.Call(StoreSubject::kServers), 2, 0, {}, status);
      const StoreCall list = store.Call(StoreSubject::kServers);
      CPPUNIT_ASSERT(StoreCallKind::kList == list.kind);
      store.Answer(list, 2, 45, {MakeServer("a", 30, 3)});
      CPPUNIT_ASSERT((StorePosition{2, 45}) == store.view.Version().servers);
    }
  }

  void AnswerOfAnEarlierEraIsDiscarded() {
    ViewOfStore store;
    store.AnswerServers(2, 50, {MakeServer("a", 40, 3)});
    const StoreCall watch = store.Call(StoreSubject::kServers);
    store.Answer(watch, 1, 90, {MakeRemoval("a", 80)});
    CPPUNIT_ASSERT(store.Server("a").listed);
    CPPUNIT_ASSERT((StorePosition{2, 50}) == store.view.Version().servers);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{50},
                         store.Call(StoreSubject::kServers).after_revision);
  }

  void EraChangesBetweenTwoPages() {
    ViewOfStore store;
    StoreCall call = store.Call(StoreSubject::kServers);
    StoreAnswer page;
    page.subject = call.subject;
    page.kind = call.kind;
    page.generation = call.generation;
    page.status = StoreStatus::kOk;
    page.era = 1;
    page.revision = 50;
    page.more = true;
    page.last_key = "servers/a";
    page.servers = {MakeServer("a", 40, 3)};
    store.Deliver(page);
    call = store.Call(StoreSubject::kServers);
    CPPUNIT_ASSERT_EQUAL(std::string("servers/a"), call.page_after);
    store.Answer(call, 2, 45, {});
    call = store.Call(StoreSubject::kServers);
    CPPUNIT_ASSERT(StoreCallKind::kList == call.kind);
    CPPUNIT_ASSERT(call.page_after.empty());
    store.Answer(call, 2, 45, {});
    CPPUNIT_ASSERT(!store.Server("a").listed);
  }

  void MissingEraIsReportedOnce() {
    ViewOfStore store;
    store.AnswerServers(1, 50, {MakeServer("a", 40, 3)});
    store.AnswerServers(std::nullopt, 51, {MakeServer("a", 51, 4)});
    store.AnswerServers(std::nullopt, 52, {});
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{1},
        CountEvents(store.events, FlowEventKind::kStoreEraUnknown));
    // The answers count as of the last known era.
    CPPUNIT_ASSERT((StorePosition{1, 52}) == store.view.Version().servers);
    CPPUNIT_ASSERT((StorePosition{1, 51}) == store.Server("a").position);
  }

  void StoreWithoutErasIsNotReported() {
    ViewOfStore store;
    store.AnswerServers(std::nullopt, 50, {MakeServer("a", 40, 3)});
    store.AnswerServers(std::nullopt, 51, {});
    CPPUNIT_ASSERT(store.events.end() ==
                   std::find_if(store.events.begin(), store.events.end(),
                                [](const FlowEvent& event) {
                                  return event.kind ==
                                         FlowEventKind::kStoreEraUnknown;
                                }));
  }

  void LeavingServerStaysLeaving() {
    ViewOfStore store;
    store.AnswerServers(1, 50, {MakeServer("a", 40, 3, ServerPhase::kLeaving)});
    store.Answer(store.Call(StoreSubject::kServers), 2, 30, {});
    store.AnswerServers(2, 30, {MakeServer("a", 20, 2)});
    CPPUNIT_ASSERT(ServerPhase::kLeaving == store.Server("a").server.phase);
    CPPUNIT_ASSERT(!AcceptsNewFlows(store.now, store.Server("a")));
    // A new balancer, which has read the copy only, hears it from this one.
    ServerTable fresh;
    std::vector<FlowEvent> events;
    ServerChange copied = MakeServer("a", 20, 2);
    copied.position.era = 2;
    fresh.Apply(store.now, copied, events);
    for (const ServerChange& change :
         store.view.Servers().ChangesSince(store.now, StorePosition())) {
      fresh.Apply(store.now, change, events);
    }
    CPPUNIT_ASSERT(ServerPhase::kLeaving ==
                   fresh.Find(MakeServerKey("a"))->server.phase);
  }

  void RemovedServerStaysRemovedUntilItReports() {
    ViewOfStore store;
    store.AnswerServers(1, 50, {MakeServer("a", 40, 3)});
    store.AnswerServers(1, 51, {MakeRemoval("a", 51)});
    store.Answer(store.Call(StoreSubject::kServers), 2, 45, {});
    store.AnswerServers(2, 45, {MakeServer("a", 40, 3)});
    CPPUNIT_ASSERT(!store.Server("a").listed);
    store.AnswerServers(2, 46, {MakeServer("a", 46, 5)});
    CPPUNIT_ASSERT(store.Server("a").listed);
  }

  void EarlierIncarnationIsIgnored() {
    ViewOfStore store;
    ServerChange restarted = MakeServer("a", 40, 1);
    restarted.server.started_ms = 9000;
    store.AnswerServers(1, 50, {restarted});
    store.Answer(store.Call(StoreSubject::kServers), 2, 45, {});
    store.AnswerServers(2, 45, {MakeServer("a", 30, 80)});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9000},
                         store.Server("a").server.started_ms);
  }

  // The grace period is the 2 s in which servers write again.
  void ServerThatTheCopyLacksHasAGracePeriod() {
    ViewOfStore store;
    store.AnswerServers(1, 50, {MakeServer("a", 40, 3)});
    store.Answer(store.Call(StoreSubject::kServers), 2, 30, {});
    store.AnswerServers(2, 30, {});
    const TimePoint read_at = store.now;
    CPPUNIT_ASSERT(
        AcceptsNewFlows(read_at + milliseconds(1900), store.Server("a")));
    CPPUNIT_ASSERT(
        !AcceptsNewFlows(read_at + milliseconds(2100), store.Server("a")));
    store.AnswerServers(2, 31, {MakeServer("a", 31, 4)});
    CPPUNIT_ASSERT(AcceptsNewFlows(store.now + seconds(9), store.Server("a")));
  }

  // `b` of another service replaced `a` on its host; the copy knows `a` only.
  void ReusedHostStaysWithTheLaterServer() {
    ViewOfStore store;
    store.AnswerServers(1, 50, {MakeServer("a", 20, 3), this->Successor(40)});
    CPPUNIT_ASSERT(store.Server("a").superseded);
    store.Answer(store.Call(StoreSubject::kServers), 2, 30, {});
    store.AnswerServers(2, 30, {MakeServer("a", 20, 3)});
    CPPUNIT_ASSERT(store.Server("a").superseded);
    CPPUNIT_ASSERT(!store.Server("b").superseded);
    CPPUNIT_ASSERT(AcceptsNewFlows(store.now, store.Server("b")));
  }

  void NewBalancerLearnsTheLaterServerFromAPeer() {
    ViewOfStore store;
    store.AnswerServers(1, 50, {MakeServer("a", 20, 3), this->Successor(40)});
    store.Answer(store.Call(StoreSubject::kServers), 2, 30, {});
    store.AnswerServers(2, 30, {MakeServer("a", 20, 3)});
    ViewOfStore fresh;
    fresh.AnswerServers(2, 30, {MakeServer("a", 20, 3)});
    fresh.view.ApplyPeerServers(
        fresh.now,
        store.view.Servers().ChangesSince(store.now, StorePosition()),
        StorePosition(), store.view.Version().servers, fresh.events);
    CPPUNIT_ASSERT(fresh.Server("a").superseded);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         fresh.view.Servers().OfService(kParts).size());
  }

  void PeerInAnEarlierEraChangesNothing() {
    ViewOfStore store;
    store.AnswerServers(2, 30, {});
    ServerChange change = MakeServer("a", 80, 3);
    change.position.era = 1;
    store.view.ApplyPeerServers(store.now, {change}, StorePosition(), {1, 90},
                                store.events);
    CPPUNIT_ASSERT((StorePosition{2, 30}) == store.view.Version().servers);
    // It may be alive and about to write again.
    CPPUNIT_ASSERT(!store.Server("a").listed);
    CPPUNIT_ASSERT(AcceptsNewFlows(store.now, store.Server("a")));
    CPPUNIT_ASSERT(!AcceptsNewFlows(store.now + seconds(3), store.Server("a")));
  }

  // The peer has not heard of the new era yet.
  void PeerInAnEarlierEraKnowsMoreThanTheCopy() {
    ViewOfStore peer;
    peer.AnswerServers(
        1, 50,
        {MakeServer("a", 40, 4, ServerPhase::kLeaving), this->OnHost("c", 41)});
    peer.AnswerServers(1, 51, {MakeRemoval("c", 51)});
    ViewOfStore fresh;
    fresh.AnswerServers(2, 30, {MakeServer("a", 20, 3), this->OnHost("c", 41)});
    fresh.view.ApplyPeerServers(
        fresh.now, peer.view.Servers().ChangesSince(peer.now, StorePosition()),
        StorePosition(), peer.view.Version().servers, fresh.events);
    CPPUNIT_ASSERT(ServerPhase::kLeaving == fresh.Server("a").server.phase);
    CPPUNIT_ASSERT(!fresh.Server("c").listed);
    CPPUNIT_ASSERT(fresh.Server("a").listed);
  }

  void ProcessWithoutStoreCatchesUpFromAPeer() {
    ViewOfStore reader;
    const std::vector<ServerChange> written = {
        MakeServer("a", 40, 3), this->OnHost("c", 41), this->OnHost("d", 48)};
    reader.AnswerServers(1, 50, written);
    ViewOfStore cut_off;
    cut_off.AnswerServers(1, 50, written);
    // Two drills while the process has no path to the store.
    reader.Answer(reader.Call(StoreSubject::kServers), 2, 45, {});
    reader.AnswerServers(2, 45,
                         {MakeServer("a", 40, 3), this->OnHost("c", 41)});
    reader.Answer(reader.Call(StoreSubject::kServers), 3, 42, {});
    reader.AnswerServers(3, 42, {MakeServer("a", 40, 3)});
    const StorePosition known = cut_off.view.Version().servers;
    cut_off.view.ApplyPeerServers(
        cut_off.now, reader.view.Servers().ChangesSince(reader.now, known),
        known, reader.view.Version().servers, cut_off.events);
    CPPUNIT_ASSERT((StorePosition{3, 42}) == cut_off.view.Version().servers);
    CPPUNIT_ASSERT(cut_off.Server("a").listed);
    CPPUNIT_ASSERT(!cut_off.Server("c").listed);
    CPPUNIT_ASSERT(!cut_off.Server("d").listed);
    // Its own late answer of the first era changes nothing.
    cut_off.AnswerServers(1, 51, {MakeRemoval("a", 51)});
    CPPUNIT_ASSERT(cut_off.Server("a").listed);
  }

  void OlderRoutesAreIgnored() {
    ViewOfStore store;
    StoreAnswer answer;
    answer.subject = StoreSubject::kRoutes;
    answer.status = StoreStatus::kOk;
    for (const std::uint64_t version : {9, 7}) {
      const StoreCall call = store.Call(StoreSubject::kRoutes);
      answer.kind = call.kind;
      answer.generation = call.generation;
      answer.era = version == 9 ? 1 : 2;
      answer.routes = {RouteSet{version, {}, {}}};
      store.Deliver(answer);
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, store.view.Routes().Version());
  }

  void RequestsDoNotNoticeARestoredStore() {
    FlowSimulation simulation(kSeed, WorkshopConfig(1.0));
    simulation.Run(seconds(4));
    simulation.PutRoute(9000, "parts");
    simulation.Run(seconds(1));
    this->RestoreStore(simulation, seconds(3));
    this->CheckServed(simulation.Run(seconds(8)));
    CPPUNIT_ASSERT(simulation.EventCount(FlowEventKind::kStoreRestored) > 0);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                         simulation.EventCount(FlowEventKind::kLost));
  }

  void TwoRestoresInARow() {
    FlowSimulation simulation(kSeed, WorkshopConfig(1.0));
    simulation.Run(seconds(6));
    this->RestoreStore(simulation, seconds(4));
    simulation.Run(milliseconds(700));
    this->RestoreStore(simulation, seconds(5));
    this->CheckServed(simulation.Run(seconds(8)));
  }

  void DrainBeforeARestoreStaysInForce() {
    FlowSimulation simulation(kSeed, WorkshopConfig(1.0));
    simulation.Run(seconds(2));
    simulation.DrainServer(0);
    simulation.Run(seconds(1));
    const TimePoint drained_at = simulation.GetLink().Now();
    this->RestoreStore(simulation, seconds(2));
    this->CheckServed(simulation.Run(seconds(6)));
    CPPUNIT_ASSERT(simulation.LastOpeningAt(0) < drained_at);
  }

  // They read the copy, but take what their peers know.
  void BalancersThatStartDuringARestore() {
    this->CheckStartsDuringARestore(0, 3, Duration{0});
  }

  // The seeds are 0 and 1. The others find them with their next digests, which
  // they send every 0.4 s.
  void SeedsThatStartDuringARestore() {
    this->CheckStartsDuringARestore(0, 1, milliseconds(500));
  }

  // `tolerated`: time in which the restarted balancers may use the copy.
  static void CheckStartsDuringARestore(std::size_t first,
                                        std::size_t second,
                                        Duration tolerated) {
    FlowSimulation simulation(kSeed, WorkshopConfig(1.0));
    simulation.Run(seconds(2));
    simulation.DrainServer(0);
    simulation.RemoveRoute(8443);
    simulation.Run(seconds(1));
    simulation.KillBalancer(first, milliseconds(300));
    simulation.KillBalancer(second, milliseconds(350));
    RestoreStore(simulation, seconds(2));
    const TimePoint allowed_until = simulation.GetLink().Now() + tolerated;
    const FlowTotals totals = simulation.Run(seconds(6));
    CPPUNIT_ASSERT(totals.violations.empty());
    CPPUNIT_ASSERT(simulation.LastOpeningAt(0) < allowed_until);
    const std::size_t first_parts_server = 7;
    CPPUNIT_ASSERT(simulation.LastOpeningAt(first_parts_server) <
                   allowed_until);
  }

  void CallsOfARestoreAreBounded() {
    FlowSimulationConfig config = WorkshopConfig(0.2);
    config.balancers = 59;
    FlowSimulation simulation(kSeed, config);
    simulation.Run(seconds(5));
    const std::uint64_t before = simulation.StoreCalls();
    this->RestoreStore(simulation, seconds(2));
    simulation.Run(seconds(5));
    // In 5 s two readers make 17 calls; a new era adds a list of each subject.
    CPPUNIT_ASSERT_MESSAGE(
        std::to_string(simulation.StoreCalls() - before) + " calls",
        simulation.StoreCalls() - before <= 60);
  }

 private:
  // A server of another service that started later on the same host.
  static ServerChange Successor(std::uint64_t revision) {
    ServerChange change = MakeServer("b", revision, 1);
    change.server.service = kParts;
    change.server.started_ms = 8000;
    return change;
  }

  static ServerChange OnHost(const std::string& name, std::uint64_t revision) {
    ServerChange change = MakeServer(name, revision, 1);
    change.server.host = kHost + static_cast<std::uint32_t>(revision);
    return change;
  }

  static void RestoreStore(FlowSimulation& simulation, Duration copy_age) {
    simulation.SetStoreDown(true, /*silent=*/false);
    simulation.Run(milliseconds(400));
    simulation.RestoreStore(copy_age);
    simulation.SetStoreDown(false, false);
  }

  static void CheckServed(const FlowTotals& totals) {
    CPPUNIT_ASSERT(totals.violations.empty());
    CPPUNIT_ASSERT(totals.WithinTargetShare() >= 0.97);
    CPPUNIT_ASSERT(totals.ServedShare() >= 0.99);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreErasTest);

}  // namespace
}  // namespace cactuscross::testing
