#include <cppunit/extensions/HelperMacros.h>

#include <vector>

#include "src/core/flow/agent/relayed_searches.h"
#include "src/core/flow/search/request_start.h"

namespace cactuscross::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};
constexpr std::uint32_t kBalancer = 77;
constexpr FlowKey kFlow = {{0x64400007, 40001}, {0xC6120001, 8080}};

// Load: all clients hold lost flows, and agents need a packet of each. Guards
// against answers that are lost, reported twice or attributed to a server that
// has not answered.
class RelayedSearchesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RelayedSearchesTest);
  CPPUNIT_TEST(DenialsAreReportedTogether);
  CPPUNIT_TEST(HolderIsReportedAtOnce);
  CPPUNIT_TEST(SilentAgentIsNotReported);
  CPPUNIT_TEST(AnswersOfOtherHostsAreIgnored);
  CPPUNIT_TEST(OldestPossibleStartOfARequest);
  CPPUNIT_TEST_SUITE_END();

 public:
  void DenialsAreReportedTogether() {
    std::vector<std::uint32_t> hosts;
    for (std::uint32_t host = 1; host <= kMaxRelayHosts + 10; ++host) {
      hosts.push_back(host);
    }
    RelayedSearches searches;
    CPPUNIT_ASSERT(searches.Begin(kStart, kBalancer, kFlow, hosts));
    for (const std::uint32_t host : hosts) {
      CPPUNIT_ASSERT(searches.TakeReplies(kStart).empty());
      searches.NoteAnswer(host, kFlow, LookupResult::kNotHeld);
    }
    const auto replies = searches.TakeReplies(kStart);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, replies.size());
    CPPUNIT_ASSERT_EQUAL(kBalancer, replies[0].host);
    CPPUNIT_ASSERT_EQUAL(kMaxRelayHosts, replies[0].notice.relay_hosts.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, replies[1].notice.relay_hosts.size());
    CPPUNIT_ASSERT(kFlow == replies[0].notice.lookups.at(0).flow);
    CPPUNIT_ASSERT(LookupResult::kNotHeld ==
                   replies[0].notice.lookups.at(0).result);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, searches.Size());
  }

  void HolderIsReportedAtOnce() {
    RelayedSearches searches;
    searches.Begin(kStart, kBalancer, kFlow, {1, 2, 3});
    searches.NoteAnswer(2, kFlow, LookupResult::kHeld);
    const auto replies = searches.TakeReplies(kStart);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, replies.size());
    CPPUNIT_ASSERT(LookupResult::kHeld ==
                   replies[0].notice.lookups.at(0).result);
    CPPUNIT_ASSERT(std::vector<std::uint32_t>{2} ==
                   replies[0].notice.relay_hosts);
    CPPUNIT_ASSERT(searches.TakeReplies(kStart + milliseconds(1)).empty());
  }

  void SilentAgentIsNotReported() {
    RelayedSearches searches;
    searches.Begin(kStart, kBalancer, kFlow, {1, 2});
    searches.NoteAnswer(1, kFlow, LookupResult::kNotHeld);
    CPPUNIT_ASSERT(searches.TakeReplies(kStart + milliseconds(20)).empty());
    const auto replies = searches.TakeReplies(kStart + milliseconds(30));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, replies.size());
    CPPUNIT_ASSERT(std::vector<std::uint32_t>{1} ==
                   replies[0].notice.relay_hosts);
    CPPUNIT_ASSERT(searches.TakeReplies(kStart + seconds(1)).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, searches.Size());
  }

  void AnswersOfOtherHostsAreIgnored() {
    RelayedSearches searches;
    searches.Begin(kStart, kBalancer, kFlow, {1});
    searches.NoteAnswer(9, kFlow, LookupResult::kNotHeld);
    searches.NoteAnswer(9, kFlow, LookupResult::kHeld);
    CPPUNIT_ASSERT(searches.TakeReplies(kStart + milliseconds(40)).empty());
  }

  // A balancer that has received packets for longer than the pause before a
  // retransmission would have received the transmission before.
  void OldestPossibleStartOfARequest() {
    const auto age = [](int receiving_ms) {
      const TimePoint arrived_at = kStart + milliseconds(receiving_ms);
      return arrived_at - EstimateRequestStart(arrived_at, kStart);
    };
    CPPUNIT_ASSERT(Duration(milliseconds(600)) == age(0));
    CPPUNIT_ASSERT(Duration(milliseconds(600)) == age(399));
    CPPUNIT_ASSERT(Duration{0} == age(400));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayedSearchesTest);

}  // namespace
}  // namespace cactuscross::testing
