#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <cstddef>

#include "src/core/flow/opening_table.h"
#include "src/core/flow/response_timeout.h"
#include "src/core/flow/search_congestion_window.h"
#include "src/core/flow/search_table.h"

namespace cactuscross::testing {
namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr std::size_t kPacket = 1000;  // bytes
constexpr std::size_t kServers = 16;   // in a step

// A full link: what is asked goes unanswered. More questions keep it full.
class FlowPaceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FlowPaceTest);
  CPPUNIT_TEST(OneQuestionMayAlwaysBeAsked);
  CPPUNIT_TEST(WindowHalvesWhileMostDoNotAnswer);
  CPPUNIT_TEST(ServersThatAreDownDoNotHalveTheWindow);
  CPPUNIT_TEST(WindowGrowsWithAnswersOnly);
  CPPUNIT_TEST(PatienceDoublesWhileMostDoNotAnswer);
  CPPUNIT_TEST(PatienceReturnsWithAnswers);
  CPPUNIT_TEST(FewQuestionsChangeNothing);
  CPPUNIT_TEST(DeniedServersAreNotAskedAgain);
  CPPUNIT_TEST(OpeningWithACopyElsewhereIsKnown);
  CPPUNIT_TEST_SUITE_END();

 public:
  void OneQuestionMayAlwaysBeAsked() {
    SearchCongestionWindow congestion_window;
    CPPUNIT_ASSERT(
        congestion_window.MaySend(10 * SearchCongestionWindow::kMaxWindow));
    congestion_window.NoteSent(10 * SearchCongestionWindow::kMaxWindow);
    CPPUNIT_ASSERT(!congestion_window.MaySend(kPacket));
    congestion_window.ReleaseBytes(10 * SearchCongestionWindow::kMaxWindow);
    CPPUNIT_ASSERT(congestion_window.MaySend(kPacket));
  }

  void WindowHalvesWhileMostDoNotAnswer() {
    SearchCongestionWindow congestion_window;
    TimePoint now = kStart;
    for (int step = 0; step < 10; ++step) {
      now += std::chrono::milliseconds(60);
      congestion_window.NoteSent(kServers * kPacket);
      congestion_window.NoteTimeout(now, kServers, kServers,
                                    kServers * kPacket);
    }
    CPPUNIT_ASSERT_EQUAL(SearchCongestionWindow::kMinWindow,
                         congestion_window.Window());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, congestion_window.BytesInFlight());
  }

  void ServersThatAreDownDoNotHalveTheWindow() {
    SearchCongestionWindow congestion_window;
    congestion_window.NoteSent(kServers * kPacket);
    congestion_window.NoteTimeout(kStart, kServers, kServers / 3,
                                  kServers / 3 * kPacket);
    CPPUNIT_ASSERT_EQUAL(SearchCongestionWindow::kInitialWindow,
                         congestion_window.Window());
  }

  void WindowGrowsWithAnswersOnly() {
    SearchCongestionWindow congestion_window;
    for (std::size_t i = 0; i < 32; ++i) {
      congestion_window.NoteSent(kPacket);
      congestion_window.NoteAnswered(kPacket);
    }
    CPPUNIT_ASSERT_EQUAL(SearchCongestionWindow::kInitialWindow + 32 * kPacket,
                         congestion_window.Window());
    congestion_window.NoteSent(kPacket);
    congestion_window.ReleaseBytes(kPacket);
    CPPUNIT_ASSERT_EQUAL(SearchCongestionWindow::kInitialWindow + 32 * kPacket,
                         congestion_window.Window());
  }

  void PatienceDoublesWhileMostDoNotAnswer() {
    ResponseTimeout response_timeout;
    TimePoint now = kStart;
    for (int i = 0; i < 1000; ++i) {
      now += std::chrono::milliseconds(5);
      response_timeout.NoteUnanswered(now);
    }
    CPPUNIT_ASSERT(response_timeout.Current() == ResponseTimeout::kMax);
  }

  void PatienceReturnsWithAnswers() {
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
        response_timeout.NoteUnanswered(now);  // a server in three is down
      }
    }
    CPPUNIT_ASSERT(response_timeout.Current() == ResponseTimeout::kMin);
  }

  void FewQuestionsChangeNothing() {
    ResponseTimeout response_timeout;
    for (int i = 0; i < 7; ++i) {
      response_timeout.NoteUnanswered(kStart +
                                      std::chrono::milliseconds(30) * i);
    }
    CPPUNIT_ASSERT(response_timeout.Current() == ResponseTimeout::kMin);
  }

  void OpeningWithACopyElsewhereIsKnown() {
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

  void DeniedServersAreNotAskedAgain() {
    FlowSearch search;
    search.candidates = {ServerKey{1}, ServerKey{2}, ServerKey{3}};
    RemoveDenied(search, {ServerKey{3}, ServerKey{1}, ServerKey{9}});
    CPPUNIT_ASSERT(search.candidates == std::vector<ServerKey>{ServerKey{2}});
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FlowPaceTest);

}  // namespace
}  // namespace cactuscross::testing
