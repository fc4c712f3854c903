#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "src/core/flow/admission/caller_shares.h"
#include "src/core/flow/admission/repeated_requests.h"
#include "tests/support/admission_model.h"

namespace cactuscross::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeed = 1;
constexpr TimePoint kStart{seconds(100)};
constexpr ServiceId kService{1};
// 12 slots at 30 ms complete 400 requests per second.
constexpr std::uint32_t kSlots = 12;
constexpr double kCapacity = 400;

AdmissionLoad Query(double per_second, Duration begin, Duration end) {
  AdmissionLoad load;
  load.priority = 1;
  load.latency_target = milliseconds(250);
  load.time_limit = milliseconds(1500);
  load.per_second = per_second;
  load.begin = begin;
  load.end = end;
  return load;
}

AdmissionLoad Feed(double per_second, Duration begin, Duration end) {
  AdmissionLoad load;
  load.priority = 2;
  load.per_second = per_second;
  load.begin = begin;
  load.end = end;
  return load;
}

std::string Describe(const std::vector<AdmissionTotals>& totals) {
  std::string text;
  for (const AdmissionTotals& kind : totals) {
    text += "sent " + std::to_string(kind.sent) + ", in time " +
            std::to_string(kind.in_time) + ", late " +
            std::to_string(kind.late) + ", refused " +
            std::to_string(kind.refused) + ", lost " +
            std::to_string(kind.lost) + "; ";
  }
  return text;
}

double Served(const AdmissionTotals& totals) {
  return static_cast<double>(totals.in_time + totals.late);
}

// Checks that at least `share` of the requests of a kind were answered in time.
void CheckInTime(const std::vector<AdmissionTotals>& totals,
                 std::size_t kind,
                 double share) {
  CPPUNIT_ASSERT_MESSAGE(Describe(totals), totals[kind].InTimeShare() >= share);
}

std::vector<AdmissionTotals> RunPolicy(bool by_priority,
                                       const std::vector<AdmissionLoad>& loads,
                                       Duration time) {
  AdmissionModel model(by_priority, kSlots, kSeed);
  return model.Run(loads, time);
}

// A policy whose servers have `capacity` free places in all.
class PolicyWithPlaces : public AdmissionActions {
 public:
  // Adds an opening that has to wait, with all its transmissions.
  Opening& AddWaiting(TimePoint now, std::uint32_t number, Duration limit) {
    Opening& opening = *this->openings.Add({{number, 1}, {0xC6120001, 443}});
    opening.service = kService;
    opening.started_at = now;
    opening.request_started_at = now;
    opening.priority = 1;
    NoteTransmission(opening, 0);
    SetPlacementTimes(opening, milliseconds(200), limit,
                      this->policy->AnswerTime(kService));
    if (this->policy->Admit(now, opening)) {
      this->Place(opening, false);
    }
    return opening;
  }

  // Ticks every 5 ms and places at most `per_tick` openings in each.
  void Run(TimePoint& now, Duration time, std::uint32_t per_tick) {
    for (const TimePoint end = now + time; now < end;) {
      now += milliseconds(5);
      this->Tick(now, per_tick);
    }
  }

  void Tick(TimePoint at, std::uint32_t places) {
    this->now = at;
    this->capacity = places;
    this->policy->Tick(at, *this);
  }

  OfferResult Place(Opening& opening, bool keep_reserve) override {
    ++this->offers;
    if (this->capacity <= (keep_reserve ? 1U : 0U)) {
      if (!std::exchange(opening.waiting, true)) {
        this->policy->Enqueue(this->now, opening);
      }
      return OfferResult::kSaturated;
    }
    --this->capacity;
    this->policy->NotePlaced(this->now, opening);
    this->placed.push_back(opening.flow);
    this->openings.Erase(opening.flow);
    return OfferResult::kPlaced;
  }

  void Refuse(Opening& opening, const AdmissionRefusal& refusal) override {
    this->reasons.emplace_back(refusal.reason);
    this->ahead.push_back(refusal.ahead.value_or(0));
    this->openings.Erase(opening.flow);
  }

  void ReportWaiting(const Opening& /*opening*/) override { ++this->reported; }

  MetricSet metrics;
  OpeningTable openings;
  std::unique_ptr<AdmissionPolicy> policy =
      MakeAdmissionPolicy(true, openings, metrics);
  TimePoint now = kStart;
  std::uint32_t capacity = 0;
  std::uint32_t offers = 0;
  std::uint32_t reported = 0;
  std::vector<FlowKey> placed;
  std::vector<std::string> reasons;  // of refusals
  std::vector<std::uint32_t> ahead;  // of refused openings
};

// Admission by priority and deadline: each test names its load.
class FlowAdmissionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FlowAdmissionTest);
  CPPUNIT_TEST(BurstOfTheLowerPriorityDoesNotDelayTheHigher);
  CPPUNIT_TEST(LowerPriorityGetsAMinimumShare);
  CPPUNIT_TEST(PatientAndImpatientCallers);
  CPPUNIT_TEST(GreedyCallerDoesNotDelayOthers);
  CPPUNIT_TEST(AllClientsReturnAfterAPowerLoss);
  CPPUNIT_TEST(BacklogDoesNotDelayRequestsAfterAnOverload);
  CPPUNIT_TEST(NothingChangesBelowTheCapacity);
  CPPUNIT_TEST(HopelessOpeningsAreRefusedAtOnce);
  CPPUNIT_TEST(OpeningThatMayBeOpenElsewhereIsNotRefusedByEstimate);
  CPPUNIT_TEST(NothingIsRefusedBeforeTheRateIsKnown);
  CPPUNIT_TEST(TickOffersFewOfManyWaitingOpenings);
  CPPUNIT_TEST(ReserveIsKeptWhileHigherPrioritiesWait);
  CPPUNIT_TEST(FullTableOfCallersFindsTheGreedyOne);
  CPPUNIT_TEST(MeasuredAnswerTimeDecidesWhatIsInTime);
  CPPUNIT_TEST(FairShareIsMaxMin);
  CPPUNIT_TEST(RepeatedRequestKeepsItsStart);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Load: 2.5 times the capacity for 5 s, most of it of the lower priority.
  // Guards against queries that wait behind the feed.
  void BurstOfTheLowerPriorityDoesNotDelayTheHigher() {
    const std::vector<AdmissionLoad> loads = {
        Query(0.75 * kCapacity, {}, seconds(10)),
        Feed(1.75 * kCapacity, seconds(2), seconds(7))};
    const auto totals = RunPolicy(true, loads, seconds(10));
    CheckInTime(totals, 0, 0.99);
    CPPUNIT_ASSERT(RunPolicy(false, loads, seconds(10))[0].InTimeShare() <
                   0.95);
    // The client of a refused request has time for something else.
    const Duration mean = totals[1].refused_after / totals[1].refused;
    CPPUNIT_ASSERT_MESSAGE(std::to_string(mean.count()),
                           mean < milliseconds(900));
    CPPUNIT_ASSERT_EQUAL(0U, totals[0].lost);
  }

  // Load: the higher priority alone exceeds the capacity for 10 s. Guards
  // against starvation of the lower one.
  void LowerPriorityGetsAMinimumShare() {
    const auto totals = RunPolicy(true,
                                  {Query(1.2 * kCapacity, {}, seconds(12)),
                                   Feed(0.5 * kCapacity, {}, seconds(10))},
                                  seconds(12));
    // Feed openings wait for up to 1.1 s after the last one was sent.
    const double share = Served(totals[1]) / (11 * kCapacity);
    CPPUNIT_ASSERT_MESSAGE(Describe(totals), share > 0.11 && share < 0.14);
  }

  // Load: 12 % above the capacity; some callers have 200 ms and others 800 ms
  // until their target. Guards against patient openings that go first while
  // impatient ones miss their target, and the reverse.
  void PatientAndImpatientCallers() {
    AdmissionLoad patient = Feed(150, {}, seconds(10));
    patient.latency_target = milliseconds(800);
    patient.time_limit = seconds(8);
    const std::vector<AdmissionLoad> loads = {Feed(300, {}, seconds(10)),
                                              patient};
    const auto totals = RunPolicy(true, loads, seconds(10));
    CheckInTime(totals, 0, 0.85);
    CheckInTime(totals, 1, 0.95);
    const auto newest = RunPolicy(false, loads, seconds(10));
    CPPUNIT_ASSERT(totals[0].in_time + totals[1].in_time >
                   1.05 * (newest[0].in_time + newest[1].in_time));
  }

  // Load: 300 callers use 90 % of the capacity, and one more asks for ten times
  // its share, or for most of the capacity. Guards against others that lose
  // more than 1 % of their requests in time.
  void GreedyCallerDoesNotDelayOthers() {
    AdmissionLoad others = Feed(0.9 * kCapacity, {}, seconds(10));
    others.callers = 300;
    for (const double factor : {10.0, 100.0, 250.0}) {
      AdmissionLoad greedy =
          Feed(factor * kCapacity / 301, seconds(2), seconds(8));
      greedy.first_caller = 1000;
      greedy.callers = 1;
      CheckInTime(RunPolicy(true, {others, greedy}, seconds(10)), 0, 0.99);
      if (factor > 100) {
        CPPUNIT_ASSERT(
            RunPolicy(false, {others, greedy}, seconds(10))[0].InTimeShare() <
            0.95);
      }
    }
  }

  // Load: 1,500 openings arrive at once, 60 of them of the higher priority, and
  // 90 % of the capacity after that. Guards against old openings that delay new
  // ones, and against queries that wait behind the feed.
  void AllClientsReturnAfterAPowerLoss() {
    AdmissionLoad feed = Feed(0.7 * kCapacity, {}, seconds(8));
    feed.at_once = 1440;
    AdmissionLoad query = Query(0.2 * kCapacity, {}, seconds(8));
    query.at_once = 60;
    const std::vector<AdmissionLoad> loads = {query, feed};
    const auto totals = RunPolicy(true, loads, seconds(8));
    const auto newest = RunPolicy(false, loads, seconds(8));
    CheckInTime(totals, 0, 0.99);
    CPPUNIT_ASSERT_MESSAGE(Describe(totals) + Describe(newest),
                           Served(totals[0]) + Served(totals[1]) >
                               0.97 * (Served(newest[0]) + Served(newest[1])));
  }

  // Load: 2.5 times the capacity for 3 s, then 75 % of it. Guards against a
  // backlog of late requests that delays those that are in time.
  void BacklogDoesNotDelayRequestsAfterAnOverload() {
    const auto totals =
        RunPolicy(true,
                  {Feed(2.5 * kCapacity, {}, seconds(3)),
                   Feed(0.75 * kCapacity, milliseconds(3200), seconds(8))},
                  seconds(8));
    CheckInTime(totals, 1, 0.99);
    CPPUNIT_ASSERT_EQUAL(0U, totals[1].refused);
  }

  // Load: 80 % of the capacity. Guards against openings that are delayed or
  // refused although a server has free capacity.
  void NothingChangesBelowTheCapacity() {
    const std::vector<AdmissionLoad> loads = {
        Query(0.3 * kCapacity, {}, seconds(10)),
        Feed(0.5 * kCapacity, {}, seconds(10))};
    const auto totals = RunPolicy(true, loads, seconds(10));
    CPPUNIT_ASSERT_EQUAL(Describe(RunPolicy(false, loads, seconds(10))),
                         Describe(totals));
    CPPUNIT_ASSERT_EQUAL(totals[1].sent, totals[1].in_time);
  }

  // Load: 200 openings per second are placed and 600 more arrive at once.
  // Guards against openings that wait for their limit without a chance.
  void HopelessOpeningsAreRefusedAtOnce() {
    PolicyWithPlaces service;
    TimePoint now = kStart;
    for (std::uint32_t i = 1; i <= 100; ++i) {
      service.AddWaiting(now, i, milliseconds(1200));
    }
    service.Run(now, milliseconds(300), 1);
    CPPUNIT_ASSERT(service.reasons.empty());
    for (std::uint32_t i = 1000; i < 1600; ++i) {
      service.AddWaiting(now, i, milliseconds(1200));
    }
    service.Run(now, milliseconds(20), 1);
    // About 220 can be placed within the 1.1 s that they may wait.
    const std::size_t refused = service.reasons.size();
    CPPUNIT_ASSERT_MESSAGE(std::to_string(refused),
                           refused > 300 && refused < 450);
    CPPUNIT_ASSERT_EQUAL(std::string("deadline"), service.reasons[0]);
    CPPUNIT_ASSERT(service.ahead[0] > 150);
  }

  // Load: as above, but routers may have delivered the first transmission to
  // another balancer. Guards against the reset of an open flow.
  void OpeningThatMayBeOpenElsewhereIsNotRefusedByEstimate() {
    PolicyWithPlaces service;
    TimePoint now = kStart;
    for (std::uint32_t i = 1; i <= 1000; ++i) {
      service.AddWaiting(now, i, milliseconds(1200)).seen_transmissions = 2;
    }
    service.Run(now, milliseconds(300), 1);
    CPPUNIT_ASSERT(service.reasons.empty());
    service.Run(now, milliseconds(900), 0);
    CPPUNIT_ASSERT(!service.reasons.empty());
  }

  // Load: 1,000 openings at once, and free capacity only after 100 ms. Guards
  // against refusals by a rate that was measured for too short a time.
  void NothingIsRefusedBeforeTheRateIsKnown() {
    PolicyWithPlaces service;
    TimePoint now = kStart;
    for (std::uint32_t i = 1; i <= 1000; ++i) {
      service.AddWaiting(now, i, milliseconds(1200));
    }
    service.Run(now, milliseconds(100), 0);
    service.Run(now, milliseconds(90), 10);
    CPPUNIT_ASSERT(service.reasons.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{180}, service.placed.size());
  }

  // Load: 4,000 openings wait. Guards against ticks that offer or sort all of
  // them: each offer orders all servers of the service.
  void TickOffersFewOfManyWaitingOpenings() {
    PolicyWithPlaces service;
    for (std::uint32_t i = 1; i <= 4000; ++i) {
      service.AddWaiting(kStart, i, seconds(8));
    }
    service.offers = 0;
    for (int ms = 1; ms <= 20; ++ms) {
      service.Tick(kStart + milliseconds(ms), 0);
    }
    CPPUNIT_ASSERT_EQUAL(20U, service.offers);
    CPPUNIT_ASSERT_EQUAL(4000U, service.reported);
    service.Tick(kStart + milliseconds(21), 5);
    CPPUNIT_ASSERT_EQUAL(26U, service.offers);
  }

  // Load: queries wait beside the feed. Guards against a feed that takes the
  // last places, and against a reserve that stays after the queries are served.
  void ReserveIsKeptWhileHigherPrioritiesWait() {
    PolicyWithPlaces service;
    AdmissionPolicy& policy = *service.policy;
    Opening& feed = service.AddWaiting(kStart, 1, seconds(4));
    feed.priority = 2;
    CPPUNIT_ASSERT(!policy.MustKeepReserve(kStart, feed));
    Opening lower = Opening();
    lower.service = kService;
    lower.priority = 2;
    policy.Admit(kStart, lower);
    Opening& query = service.AddWaiting(kStart, 2, seconds(4));
    service.Tick(kStart, 0);
    CPPUNIT_ASSERT(policy.MustKeepReserve(kStart, lower));
    CPPUNIT_ASSERT(!policy.MustKeepReserve(kStart, query));
    CPPUNIT_ASSERT(!policy.MustKeepReserve(kStart + seconds(2), lower));
  }

  // Load: 5,000 callers, five times as many as the table holds, and one with
  // 200 placements. Guards against a limit on callers that asked for little,
  // and against the counts of replaced callers that count for new ones.
  void FullTableOfCallersFindsTheGreedyOne() {
    SpaceSavingTable table;
    for (std::uint32_t caller = 1000; caller < 6000; ++caller) {
      table.Add(caller);
    }
    CPPUNIT_ASSERT_EQUAL(SpaceSavingTable::kMaxKeys, table.Size());
    CPPUNIT_ASSERT_EQUAL(1U, table.CertainCount(5999));
    CallerShares shares;
    constexpr std::uint32_t kGreedy = 1;
    CallerShares::Waiting waiting = {{kGreedy, 200}};
    for (std::uint32_t caller = 1000; caller < 6000; ++caller) {
      shares.NotePlaced(kStart, kService, caller);
      if (caller % 25 == 0) {
        shares.NotePlaced(kStart, kService, kGreedy);
      }
      if (caller % 50 == 0) {
        waiting[caller] = 1;
      }
    }
    CPPUNIT_ASSERT(shares.Size() <= SpaceSavingTable::kMaxKeys);
    shares.UpdateShare(kStart, kService, waiting);
    CPPUNIT_ASSERT(shares.HasReachedShare(kService, kGreedy));
    for (std::uint32_t caller = 1000; caller < 6000; ++caller) {
      CPPUNIT_ASSERT(!shares.HasReachedShare(kService, caller));
    }
    CPPUNIT_ASSERT(!shares.HasReachedShare(ServiceId{2}, kGreedy));
    shares.RemoveShare(kService);
    CPPUNIT_ASSERT(!shares.HasReachedShare(kService, kGreedy));
  }

  // Load: a service that takes 150 ms of a target of 200 ms. Guards against
  // openings that are placed when they can no longer meet their target, while
  // others still can.
  void MeasuredAnswerTimeDecidesWhatIsInTime() {
    PolicyWithPlaces service;
    Opening placed = Opening();
    placed.service = kService;
    placed.answer_time = milliseconds(150);
    service.policy->NotePlaced(kStart, placed);
    const Opening& first = service.AddWaiting(kStart, 1, seconds(1));
    CPPUNIT_ASSERT(kStart + milliseconds(50) == first.place_by_for_target);
    CPPUNIT_ASSERT(kStart + milliseconds(850) == first.place_by_for_limit);
    service.AddWaiting(kStart + milliseconds(60), 2, seconds(1));
    service.Tick(kStart + milliseconds(60), 1);
    CPPUNIT_ASSERT_EQUAL(2U, service.placed.at(0).client.address);
  }

  void FairShareIsMaxMin() {
    CPPUNIT_ASSERT_EQUAL(4.0, FairShare({10, 1, 4}, 9));
    CPPUNIT_ASSERT_EQUAL(2.0, FairShare({10, 10, 10}, 6));
    CPPUNIT_ASSERT(FairShare({1, 2}, 3) > 1e9);
  }

  // Load: a caller repeats one refused request and sends new ones. Guards
  // against new requests that count as old.
  void RepeatedRequestKeepsItsStart() {
    RepeatedRequests requests;
    FlowKey flow = {{7, 1}, {9, 443}};
    requests.NoteReset(kStart, flow, kStart - milliseconds(300));
    flow.client.port = 2;
    const TimePoint soon = kStart + milliseconds(10);
    FlowKey other = flow;
    other.service_address.port = 80;
    CPPUNIT_ASSERT(!requests.Take(soon, other).has_value());
    CPPUNIT_ASSERT(kStart - milliseconds(300) == *requests.Take(soon, flow));
    CPPUNIT_ASSERT(!requests.Take(soon, flow).has_value());
    requests.NoteReset(kStart, flow, kStart);
    CPPUNIT_ASSERT(!requests.Take(kStart + seconds(1), flow).has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FlowAdmissionTest);

}  // namespace
}  // namespace cactuscross::testing
