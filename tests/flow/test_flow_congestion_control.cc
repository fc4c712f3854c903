#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <cstddef>

#include "src/core/flow/admission/opening_table.h"
#include "src/core/flow/common/response_timeout.h"
#include "src/core/flow/search/search_congestion_window.h"
#include "src/core/flow/search/search_table.h"

namespace cactuscross::testing {
namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr std::size_t kPacketBytes = 1000;
// Number of servers queried by one batch of a search.
constexpr std::size_t kBatchSize = 16;

// Guards against searches that keep a saturated link saturated. Behind such a
// link most queries go unanswered; if they led to more queries at the same
// rate, the link would never recover.
class FlowCongestionControlTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FlowCongestionControlTest);
  CPPUNIT_TEST(QueryIsAllowedWhileNothingIsInFlight);
  CPPUNIT_TEST(WindowHalvesWhileMostQueriesTimeOut);
  CPPUNIT_TEST(FewTimeoutsDoNotHalveTheWindow);
  CPPUNIT_TEST(WindowGrowsWithAnswersOnly);
  CPPUNIT_TEST(ResponseTimeoutDoublesWhileMostQueriesTimeOut);
  CPPUNIT_TEST(ResponseTimeoutRecoversWithAnswers);
  CPPUNIT_TEST(TooFewSamplesDoNotChangeTheTimeout);
  CPPUNIT_TEST(DeniedServersAreRemovedFromTheCandidates);
  CPPUNIT_TEST(OpeningWithATransmissionElsewhereIsDetected);
  CPPUNIT_TEST_SUITE_END();

 public:
  void QueryIsAllowedWhileNothingIsInFlight() {
    SearchCongestionWindow congestion_window;
    CPPUNIT_ASSERT(
        congestion_window.MaySend(10 * SearchCongestionWindow::kMaxWindow));
    congestion_window.NoteSent(10 * SearchCongestionWindow::kMaxWindow);
    CPPUNIT_ASSERT(!congestion_window.MaySend(kPacketBytes));
    congestion_window.ReleaseBytes(10 * SearchCongestionWindow::kMaxWindow);
    CPPUNIT_ASSERT(congestion_window.MaySend(kPacketBytes));
  }

  void WindowHalvesWhileMostQueriesTimeOut() {
    SearchCongestionWindow congestion_window;
    TimePoint now = kStart;
    for (int batch = 0; batch < 10; ++batch) {
      now += std::chrono::milliseconds(60);
      congestion_window.NoteSent(kBatchSize * kPacketBytes);
      congestion_window.NoteTimeout(now, kBatchSize, kBatchSize,
                                    kBatchSize * kPacketBytes);
    }
    CPPUNIT_ASSERT_EQUAL(SearchCongestionWindow::kMinWindow,
                         congestion_window.Window());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, congestion_window.BytesInFlight());
  }

  void FewTimeoutsDoNotHalveTheWindow() {
    // A third of the servers does not answer because it is down.
    SearchCongestionWindow congestion_window;
    congestion_window.NoteSent(kBatchSize * kPacketBytes);
    congestion_window.NoteTimeout(kStart, kBatchSize, kBatchSize / 3,
                                  kBatchSize / 3 * kPacketBytes);
    CPPUNIT_ASSERT_EQUAL(SearchCongestionWindow::kInitialWindow,
                         congestion_window.Window());
  }

  void WindowGrowsWithAnswersOnly() {
    SearchCongestionWindow congestion_window;
    for (std::size_t i = 0; i < 32; ++i) {
      congestion_window.NoteSent(kPacketBytes);
      congestion_window.NoteAnswered(kPacketBytes);
    }
    CPPUNIT_ASSERT_EQUAL(
        SearchCongestionWindow::kInitialWindow + 32 * kPacketBytes,
        congestion_window.Window());
    congestion_window.NoteSent(kPacketBytes);
    congestion_window.ReleaseBytes(kPacketBytes);
    CPPUNIT_ASSERT_EQUAL(
        SearchCongestionWindow::kInitialWindow + 32 * kPacketBytes,
        congestion_window.Window());
  }

  void ResponseTimeoutDoublesWhileMostQueriesTimeOut() {
    ResponseTimeout response_timeout;
    TimePoint now = kStart;
    for (int i = 0; i < 1000; ++i) {
      now += std::chrono::milliseconds(5);
      response_timeout.NoteUnanswered(now);
    }
    CPPUNIT_ASSERT(response_timeout.Current() == ResponseTimeout::kMax);
  }

  void ResponseTimeoutRecoversWithAnswers() {
    ResponseTimeout response_timeout;
    TimePoint now = kStart;
    for (int i = 0; i < 1000; ++i) {
      now += std::chrono::milliseconds(5);
      response_timeout.NoteUnanswered(now);
    }
    for (int i = 0; i < 400; ++i) {
      now += std::chrono::milliseconds(5);
      response_timeout.NoteAnswered(now);
      if (i % 3 == 0) {
        response_timeout.NoteUnanswered(now);  // some servers are down
      }
    }
    CPPUNIT_ASSERT(response_timeout.Current() == ResponseTimeout::kMin);
  }

  void TooFewSamplesDoNotChangeTheTimeout() {
    ResponseTimeout response_timeout;
    for (int i = 0; i < 7; ++i) {
      response_timeout.NoteUnanswered(kStart +
                                      std::chrono::milliseconds(30) * i);
    }
    CPPUNIT_ASSERT(response_timeout.Current() == ResponseTimeout::kMin);
  }

  // Another balancer may have opened the flow from a transmission that it
  // received; a reset from this one would end an open flow.
  void OpeningWithATransmissionElsewhereIsDetected() {
    Opening opening;
    opening.started_at = kStart;
    NoteTransmission(opening, 0);
    CPPUNIT_ASSERT(
        HasAllTransmissions(kStart + std::chrono::milliseconds(190), opening));
    CPPUNIT_ASSERT(
        !HasAllTransmissions(kStart + std::chrono::milliseconds(260), opening));
    NoteTransmission(opening, 1);
    CPPUNIT_ASSERT(
        HasAllTransmissions(kStart + std::chrono::milliseconds(260), opening));
    CPPUNIT_ASSERT(!HasAllTransmissions(
        kStart + std::chrono::milliseconds(1200), opening));
    NoteTransmission(opening, 2);
    CPPUNIT_ASSERT(
        HasAllTransmissions(kStart + std::chrono::milliseconds(1200), opening));
    Opening later;
    later.started_at = kStart;
    NoteTransmission(later, 1);
    CPPUNIT_ASSERT(!HasAllTransmissions(kStart, later));
  }

  void DeniedServersAreRemovedFromTheCandidates() {
    FlowSearch search;
    search.candidates = {ServerKey{1}, ServerKey{2}, ServerKey{3}};
    RemoveDenied(search, {ServerKey{3}, ServerKey{1}, ServerKey{9}});
    CPPUNIT_ASSERT(search.candidates == std::vector<ServerKey>{ServerKey{2}});
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FlowCongestionControlTest);

}  // namespace
}  // namespace cactuscross::testing
