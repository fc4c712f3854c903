#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <vector>

#include "cactuscross/flow_agent.h"
#include "src/core/flow/agent/capacity_offers.h"
#include "src/core/flow/balancer/offer_requests.h"
#include "src/wire/flow_codec.h"

namespace cactuscross::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};
constexpr char kService[] = "catalog";
constexpr std::uint32_t kFirstBalancer = 71;
constexpr std::uint32_t kSecondBalancer = 72;

std::vector<std::uint32_t> OffersIn(const FlowAgentOutbox& outbox) {
  std::vector<std::uint32_t> balancers;
  for (const OutgoingNotice& notice : outbox.notices) {
    if (notice.notice.kind == NoticeKind::kOffer) {
      balancers.push_back(notice.host);
    }
  }
  return balancers;
}

// Load: openings wait at several balancers for servers with few slots. Guards
// against servers that are idle until their next load notice, and against
// places that all balancers try to take at once.
class CapacityOffersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CapacityOffersTest);
  CPPUNIT_TEST(UrgentOpeningsGetTheFirstPlace);
  CPPUNIT_TEST(EqualBalancersTakeTurns);
  CPPUNIT_TEST(UnusedOfferExpires);
  CPPUNIT_TEST(UnusedOfferEndsTheOffersUntilTheNextReport);
  CPPUNIT_TEST(SilentBalancerGetsNoOffers);
  CPPUNIT_TEST(OfferedPlaceIsKeptForItsBalancer);
  CPPUNIT_TEST(BalancersAskDifferentServers);
  CPPUNIT_TEST(DuplicateAfterARestartOfTheAgentIsNoLoad);
  CPPUNIT_TEST_SUITE_END();

 public:
  void UrgentOpeningsGetTheFirstPlace() {
    CapacityOffers offers;
    offers.NoteWaiting(kStart, kFirstBalancer, {5, 8});
    offers.NoteWaiting(kStart, kSecondBalancer, {1, 2});
    const std::vector<std::uint32_t> expected = {kSecondBalancer,
                                                 kFirstBalancer};
    CPPUNIT_ASSERT(expected == offers.Offer(kStart, 2));
  }

  void EqualBalancersTakeTurns() {
    CapacityOffers offers;
    offers.NoteWaiting(kStart, kFirstBalancer, {5, 1});
    offers.NoteWaiting(kStart, kSecondBalancer, {5, 1});
    for (int i = 1; i <= 4; ++i) {
      const auto offered = offers.Offer(kStart + milliseconds(i), 1);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, offered.size());
      CPPUNIT_ASSERT_EQUAL(i % 2 == 1 ? kFirstBalancer : kSecondBalancer,
                           offered[0]);
    }
  }

  // The balancer has placed its openings elsewhere, or has failed.
  void UnusedOfferExpires() {
    CapacityOffers offers;
    offers.NoteWaiting(kStart, kFirstBalancer, {1, 1});
    offers.Offer(kStart, 1);
    CPPUNIT_ASSERT_EQUAL(1U, offers.Reserved(kStart));
    CPPUNIT_ASSERT(!offers.TakeOffered(kStart, kSecondBalancer));
    const TimePoint expired = kStart + kOfferLifetime;
    CPPUNIT_ASSERT(!offers.TakeOffered(expired, kFirstBalancer));
    CPPUNIT_ASSERT_EQUAL(0U, offers.Reserved(expired));
  }

  // Guards against places that are reserved again and again for a balancer that
  // is too far away to use them in time.
  void UnusedOfferEndsTheOffersUntilTheNextReport() {
    CapacityOffers offers;
    offers.NoteWaiting(kStart, kFirstBalancer, {5, 1});
    offers.Offer(kStart, 1);
    const TimePoint expired = kStart + kOfferLifetime;
    CPPUNIT_ASSERT(offers.Offer(expired, 1).empty());
    offers.NoteWaiting(expired, kFirstBalancer, {5, 1});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, offers.Offer(expired, 1).size());
  }

  void SilentBalancerGetsNoOffers() {
    CapacityOffers offers;
    offers.NoteWaiting(kStart, kFirstBalancer, {9, 1});
    CPPUNIT_ASSERT(offers.Offer(kStart + milliseconds(200), 1).empty());
  }

  void OfferedPlaceIsKeptForItsBalancer() {
    FlowAgentSettings settings;
    settings.service = kService;
    settings.node.first_start = true;
    FlowAgent agent(settings);
    FlowAgentInbox inbox;
    FlowNotice& query = inbox.notices.emplace_back();
    query.kind = NoticeKind::kQuery;
    query.sender = kFirstBalancer;
    query.service_tag = ServiceTag(MakeServiceId(kService));
    query.max_running = 1;
    query.waiting = {3, 1};
    const auto decoded = DecodeFlowNotice(EncodeFlowNotice(query), 1);
    CPPUNIT_ASSERT_EQUAL(3U, decoded->waiting.count);
    CPPUNIT_ASSERT_EQUAL(1U, decoded->waiting.rank);
    CPPUNIT_ASSERT(std::vector<std::uint32_t>{kFirstBalancer} ==
                   OffersIn(agent.Tick(kStart, inbox)));
    const auto refused = Open(agent, kSecondBalancer);
    CPPUNIT_ASSERT(refused.to_server.empty());
    CPPUNIT_ASSERT(NoticeKind::kSaturated == refused.notices.at(0).notice.kind);
    const auto taken = Open(agent, kFirstBalancer);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, taken.to_server.size());
    CPPUNIT_ASSERT(OffersIn(taken).empty());
  }

  // With 15 balancers and 35 servers nearly every server is asked by some, and
  // none by all.
  void BalancersAskDifferentServers() {
    ServerTable servers;
    std::vector<FlowEvent> events;
    for (std::uint32_t host = 1; host <= 35; ++host) {
      ServerChange change;
      change.position.revision = host;
      change.name = "s" + std::to_string(host);
      change.server.name = change.name;
      change.server.service = MakeServiceId(kService);
      change.server.host = host;
      servers.Apply(kStart, change, events);
    }
    std::unordered_map<ServerKey, int> asked;
    for (std::uint32_t balancer = 1; balancer <= 15; ++balancer) {
      OfferRequests requests(balancer);
      const auto ask = [&](TimePoint now, std::uint32_t rank) {
        return requests.TakeDue(now, servers, MakeServiceId(kService),
                                {1, rank});
      };
      for (const ServerKey key : ask(kStart, 5)) {
        ++asked[key];
      }
      CPPUNIT_ASSERT(ask(kStart + milliseconds(50), 5).empty());
      CPPUNIT_ASSERT(!ask(kStart + milliseconds(50), 4).empty());
    }
    CPPUNIT_ASSERT(asked.size() >= 32);
    CPPUNIT_ASSERT(
        std::all_of(asked.begin(), asked.end(),
                    [](const auto& item) { return item.second < 12; }));
  }

  // An agent that restarted beside its server learns of a flow by the server's
  // answer. Guards against a duplicate of the client's request that counts as
  // running until the flow is used again: with many of them all servers seemed
  // saturated, and openings were refused for 12 s.
  void DuplicateAfterARestartOfTheAgentIsNoLoad() {
    FlowAgentSettings settings;
    settings.service = kService;
    FlowAgent agent(settings);
    FlowAgentInbox inbox;
    FlowPacket& answer = inbox.from_server.emplace_back();
    answer.flow = {{kFirstBalancer, 1}, {9, 80}};
    answer.from_server = true;
    answer.sequence = 900;
    answer.acknowledgement = 300;
    answer.data_bytes = 50;
    agent.Tick(kStart, inbox);
    inbox = FlowAgentInbox();
    FlowPacket& request = inbox.from_balancers.emplace_back();
    request.flow = {{kFirstBalancer, 1}, {9, 80}};
    request.sender = kFirstBalancer;
    request.mark.service_tag = ServiceTag(MakeServiceId(kService));
    request.sequence = 200;
    request.acknowledgement = 900;
    request.data_bytes = 100;
    agent.Tick(kStart + milliseconds(1), inbox);
    CPPUNIT_ASSERT_EQUAL(0.0, Running(agent));
    request.sequence = 300;
    agent.Tick(kStart + milliseconds(2), inbox);
    CPPUNIT_ASSERT_EQUAL(1.0, Running(agent));
  }

 private:
  static double Running(const FlowAgent& agent) {
    for (const MetricSample& sample : agent.Metrics()) {
      if (sample.name == "flow_running") {
        return sample.value;
      }
    }
    return -1;
  }

  static FlowAgentOutbox Open(FlowAgent& agent, std::uint32_t balancer) {
    FlowAgentInbox inbox;
    FlowPacket& packet = inbox.from_balancers.emplace_back();
    packet.flow = {{balancer, 1}, {9, 80}};
    packet.opening = true;
    packet.sender = balancer;
    packet.mark.service_tag = ServiceTag(MakeServiceId(kService));
    return agent.Tick(kStart + milliseconds(1), inbox);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CapacityOffersTest);

}  // namespace
}  // namespace cactuscross::testing
