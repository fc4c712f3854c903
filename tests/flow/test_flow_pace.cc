#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <cstddef>

#include "src/core/flow/answer_patience.h"
#include "src/core/flow/opening_table.h"
#include "src/core/flow/search_pace.h"
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
    SearchPace pace;
    CPPUNIT_ASSERT(pace.MayAsk(10 * SearchPace::kMostWindow));
    pace.NoteAsked(10 * SearchPace::kMostWindow);
    CPPUNIT_ASSERT(!pace.MayAsk(kPacket));
    pace.Forget(10 * SearchPace::kMostWindow);
    CPPUNIT_ASSERT(pace.MayAsk(kPacket));
  }

  void WindowHalvesWhileMostDoNotAnswer() {
    SearchPace pace;
    TimePoint now = kStart;
    for (int step = 0; step < 10; ++step) {
      now += std::chrono::milliseconds(60);
      pace.NoteAsked(kServers * kPacket);
      pace.NoteOverdue(now, kServers, kServers, kServers * kPacket);
    }
    CPPUNIT_ASSERT_EQUAL(SearchPace::kLeastWindow, pace.Window());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, pace.UnderWay());
  }

  void ServersThatAreDownDoNotHalveTheWindow() {
    SearchPace pace;
    pace.NoteAsked(kServers * kPacket);
    pace.NoteOverdue(kStart, kServers, kServers / 3, kServers / 3 * kPacket);
    CPPUNIT_ASSERT_EQUAL(SearchPace::kFirstWindow, pace.Window());
  }

  void WindowGrowsWithAnswersOnly() {
    SearchPace pace;
    for (std::size_t i = 0; i < 32; ++i) {
      pace.NoteAsked(kPacket);
      pace.NoteAnswered(kPacket);
    }
    CPPUNIT_ASSERT_EQUAL(SearchPace::kFirstWindow + 32 * kPacket,
                         pace.Window());
    pace.NoteAsked(kPacket);
    pace.Forget(kPacket);
    CPPUNIT_ASSERT_EQUAL(SearchPace::kFirstWindow + 32 * kPacket,
                         pace.Window());
  }

  void PatienceDoublesWhileMostDoNotAnswer() {
    AnswerPatience patience;
    TimePoint now = kStart;
    for (int i = 0; i < 1000; ++i) {
      now += std::chrono::milliseconds(5);
      patience.NoteUnanswered(now);
    }
    CPPUNIT_ASSERT(patience.Current() == AnswerPatience::kMost);
  }

  void PatienceReturnsWithAnswers() {
    AnswerPatience patience;
    TimePoint now = kStart;
    for (int i = 0; i < 1000; ++i) {
      now += std::chrono::milliseconds(5);
      patience.NoteUnanswered(now);
    }
    for (int i = 0; i < 400; ++i) {
      now += std::chrono::milliseconds(5);
      patience.NoteAnswered(now);
      if (i % 3 == 0) {
        patience.NoteUnanswered(now);  // a server in three is down
      }
    }
    CPPUNIT_ASSERT(patience.Current() == AnswerPatience::kLeast);
  }

  void FewQuestionsChangeNothing() {
    AnswerPatience patience;
    for (int i = 0; i < 7; ++i) {
      patience.NoteUnanswered(kStart + std::chrono::milliseconds(30) * i);
    }
    CPPUNIT_ASSERT(patience.Current() == AnswerPatience::kLeast);
  }

  void OpeningWithACopyElsewhereIsKnown() {
    Opening opening;
    opening.began_at = kStart;
    NoteCopy(opening, 0);
    CPPUNIT_ASSERT(
        HasAllCopies(kStart + std::chrono::milliseconds(190), opening));
    CPPUNIT_ASSERT(
        !HasAllCopies(kStart + std::chrono::milliseconds(260), opening));
    NoteCopy(opening, 1);
    CPPUNIT_ASSERT(
        HasAllCopies(kStart + std::chrono::milliseconds(260), opening));
    CPPUNIT_ASSERT(
        !HasAllCopies(kStart + std::chrono::milliseconds(1200), opening));
    NoteCopy(opening, 2);
    CPPUNIT_ASSERT(
        HasAllCopies(kStart + std::chrono::milliseconds(1200), opening));
    Opening later;
    later.began_at = kStart;
    NoteCopy(later, 1);
    CPPUNIT_ASSERT(!HasAllCopies(kStart, later));
  }

  void DeniedServersAreNotAskedAgain() {
    FlowSearch search;
    search.order = {ServerKey{1}, ServerKey{2}, ServerKey{3}};
    RemoveDenied(search, {ServerKey{3}, ServerKey{1}, ServerKey{9}});
    CPPUNIT_ASSERT(search.order == std::vector<ServerKey>{ServerKey{2}});
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FlowPaceTest);

}  // namespace
}  // namespace cactuscross::testing
