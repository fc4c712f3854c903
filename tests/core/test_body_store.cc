#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cstddef>

#include "src/core/agent/body_store.h"

namespace cactuscross::testing {
namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr Endpoint kCaller{0x0A000009, 4000};
constexpr Endpoint kOtherCaller{0x0A000009, 4001};

CoapMessage MakeRequest(std::uint16_t message_id) {
  CoapMessage request;
  request.code = CoapCode::kGet;
  request.message_id = message_id;
  request.uri_path = "diagrams/3";
  return request;
}

// An agent that was paused finds a request and its retransmission in its queue.
// It must not answer both: common CoAP clients append a block twice if they
// receive it twice.
class BodyStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BodyStoreTest);
  CPPUNIT_TEST(DuplicateRightAfterTheAnswerIsNotAnswered);
  CPPUNIT_TEST(RetransmissionAfterALostAnswerIsAnswered);
  CPPUNIT_TEST(AnswersAreRecordedPerCaller);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    const BodyPtr body(new Body(Bytes(std::size_t{5000}, 'x')));
    for (const Endpoint& caller : {kCaller, kOtherCaller}) {
      this->store.Store(kStart, caller, MakeRequest(1), body);
    }
  }

  void DuplicateRightAfterTheAnswerIsNotAnswered() {
    CPPUNIT_ASSERT(this->store.RecordAnswer(kStart, kCaller, MakeRequest(2)));
    CPPUNIT_ASSERT(!this->store.RecordAnswer(kStart, kCaller, MakeRequest(2)));
    CPPUNIT_ASSERT(this->store.RecordAnswer(kStart, kCaller, MakeRequest(3)));
    // The duplicate may arrive after the answer to the next request.
    CPPUNIT_ASSERT(!this->store.RecordAnswer(kStart, kCaller, MakeRequest(2)));
  }

  void RetransmissionAfterALostAnswerIsAnswered() {
    this->store.RecordAnswer(kStart, kCaller, MakeRequest(2));
    CPPUNIT_ASSERT(this->store.RecordAnswer(kStart + kDuplicateWindow, kCaller,
                                            MakeRequest(2)));
  }

  void AnswersAreRecordedPerCaller() {
    this->store.RecordAnswer(kStart, kCaller, MakeRequest(2));
    CPPUNIT_ASSERT(
        this->store.RecordAnswer(kStart, kOtherCaller, MakeRequest(2)));
  }

 private:
  BodyStore store;
};

CPPUNIT_TEST_SUITE_REGISTRATION(BodyStoreTest);

}  // namespace
}  // namespace cactuscross::testing
