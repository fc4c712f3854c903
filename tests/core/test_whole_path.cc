#include <cppunit/extensions/HelperMacros.h>

#include "tests/support/cluster.h"

namespace cactuscross::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Endpoint kClaims{0x0A000001, 5683};
constexpr std::uint32_t kFirstAgent = 11;
constexpr std::uint32_t kAgents = 4;
constexpr std::uint32_t kBalancers = 3;

// Requests and sessions end to end, through the real cores of balancers and
// agents and over a link without faults.
class WholePathTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WholePathTest);
  CPPUNIT_TEST(GetIsAnswered);
  CPPUNIT_TEST(PostRunsOnceWithOneTicket);
  CPPUNIT_TEST(LargeAnswerArrivesComplete);
  CPPUNIT_TEST(TruncatedAnswerIsNoSuccess);
  CPPUNIT_TEST(SessionIsNotified);
  CPPUNIT_TEST(SessionsAreHandedOverWhenServerDrains);
  CPPUNIT_TEST(StoppedAgentDelaysNoRequest);
  CPPUNIT_TEST(RestartedAgentRefusesNothing);
  CPPUNIT_TEST(CancelledSessionEndsAtItsOwner);
  CPPUNIT_TEST(UnknownAddressIsRefused);
  CPPUNIT_TEST(PostWithUsedTicketGetsNewTicket);
  CPPUNIT_TEST(ResumedAgentSendsNoOlderState);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    this->cluster = std::make_unique<Cluster>(7);
    FleetConfig config;
    config.address = kClaims;
    config.balancers = kBalancers;
    config.first_agent = kFirstAgent;
    config.agents = kAgents;
    StartFleet(*this->cluster, config);
  }

  void tearDown() override { this->cluster.reset(); }

  void GetIsAnswered() {
    FakeCaller& caller = this->cluster->AddCaller();
    caller.Get(kClaims, "jobs", "");
    this->cluster->RunFor(seconds(2));
    const CallerRequest& request = caller.Requests().at(0);
    CPPUNIT_ASSERT(request.answered);
    // 69 is 2.05 (Content).
    CPPUNIT_ASSERT_EQUAL(69, static_cast<int>(request.code));
  }

  // A POST runs only with a ticket: the agent answers the first attempt by 4.01
  // with an Echo option (RFC 9175), which the caller returns in a retry.
  void PostRunsOnceWithOneTicket() {
    FakeCaller& caller = this->cluster->AddCaller();
    caller.Post(kClaims, "claims", "claim-1");
    this->cluster->RunFor(seconds(2));
    const CallerRequest& request = caller.Requests().at(0);
    CPPUNIT_ASSERT(request.answered);
    CPPUNIT_ASSERT_EQUAL(1, request.echo_retries);
    CPPUNIT_ASSERT_EQUAL(1, this->cluster->GetLedger().runs["claim-1"]);
  }

  void LargeAnswerArrivesComplete() {
    FakeCaller& caller = this->cluster->AddCaller();
    caller.Get(kClaims, "diagram/20000", "");
    this->cluster->RunFor(seconds(2));
    const CallerRequest& request = caller.Requests().at(0);
    CPPUNIT_ASSERT(request.answered);
    CPPUNIT_ASSERT(request.answer.size() >= 20000);
    CPPUNIT_ASSERT_EQUAL(0, request.body_restarts);
  }

  // An answer that is longer than what the agent receives must reach neither a
  // request nor a session as a complete one.
  void TruncatedAnswerIsNoSuccess() {
    FakeCaller& caller = this->cluster->AddCaller();
    caller.Get(kClaims, "truncated", "");
    caller.Observe(kClaims, "truncated");
    this->cluster->RunFor(seconds(2));
    const CallerRequest& request = caller.Requests().at(0);
    CPPUNIT_ASSERT(request.answered);
    // 162 is 5.02 (Bad Gateway).
    CPPUNIT_ASSERT_EQUAL(162, static_cast<int>(request.code));
    CPPUNIT_ASSERT(caller.Sessions().at(0).value.empty());
  }

  void SessionIsNotified() {
    FakeCaller& caller = this->cluster->AddCaller();
    caller.Observe(kClaims, "jobs");
    this->cluster->RunFor(seconds(60));
    const CallerSession& session = caller.Sessions().at(0);
    CPPUNIT_ASSERT(session.open);
    CPPUNIT_ASSERT(session.notifications >= 4);
    CPPUNIT_ASSERT_EQUAL(1, session.registrations);
  }

  void SessionsAreHandedOverWhenServerDrains() {
    for (int i = 0; i < 20; ++i) {
      this->cluster->AddCaller().Observe(kClaims, "jobs");
    }
    this->cluster->RunFor(seconds(5));
    this->cluster->GetServer(kFirstAgent).faults.draining = true;
    this->cluster->RunFor(seconds(10));
    this->cluster->GetLedger().data_version["workshops/claims"] += 1;
    this->cluster->RunFor(seconds(5));
    for (std::size_t i = 0; i < this->cluster->CallerCount(); ++i) {
      const CallerSession& session =
          this->cluster->GetCaller(i).Sessions().at(0);
      CPPUNIT_ASSERT(session.open);
      CPPUNIT_ASSERT_EQUAL(1, session.registrations);
      CPPUNIT_ASSERT(this->cluster->Now() - session.last_received < seconds(6));
    }
    const auto dump = this->cluster->GetProcess(kFirstAgent).agent->Dump();
    CPPUNIT_ASSERT_EQUAL(0, dump["sessions"]["open"].get<int>());
  }

  // A graceful stop loses no packet at the stopped agent, so that no caller has
  // to retransmit (ACK_TIMEOUT is 2 s).
  void StoppedAgentDelaysNoRequest() {
    this->cluster->RequestStop(kFirstAgent);
    for (int i = 0; i < 300; ++i) {
      FakeCaller& caller = this->cluster->AddCaller();
      caller.Get(kClaims, "jobs", std::to_string(i));
      caller.Post(kClaims, "claims", "claim-" + std::to_string(i));
      this->cluster->RunFor(milliseconds(100));
    }
    this->cluster->RunFor(seconds(20));
    CPPUNIT_ASSERT(this->cluster->GetProcess(kFirstAgent).exited);
    for (std::size_t i = 0; i < this->cluster->CallerCount(); ++i) {
      for (const CallerRequest& request :
           this->cluster->GetCaller(i).Requests()) {
        CPPUNIT_ASSERT(request.answered);
        CPPUNIT_ASSERT(request.finish - request.start < seconds(2));
      }
    }
  }

  // A restarted agent knows no contract at first; requests that reach it in
  // this time are served nevertheless.
  void RestartedAgentRefusesNothing() {
    this->cluster->Kill(kFirstAgent);
    this->cluster->Start(kFirstAgent);
    for (int i = 0; i < 100; ++i) {
      FakeCaller& caller = this->cluster->AddCaller();
      caller.Get(kClaims, "jobs", std::to_string(i));
      caller.Post(kClaims, "claims", "claim-" + std::to_string(i));
      this->cluster->RunFor(milliseconds(50));
    }
    this->cluster->RunFor(seconds(20));
    for (std::size_t i = 0; i < this->cluster->CallerCount(); ++i) {
      for (const CallerRequest& request :
           this->cluster->GetCaller(i).Requests()) {
        CPPUNIT_ASSERT_EQUAL(0, static_cast<int>(request.result_code));
        CPPUNIT_ASSERT(request.answered);
      }
    }
  }

  void CancelledSessionEndsAtItsOwner() {
    for (int i = 0; i < 20; ++i) {
      this->cluster->AddCaller().Observe(kClaims, "jobs");
    }
    this->cluster->RunFor(seconds(5));
    for (std::size_t i = 0; i < this->cluster->CallerCount(); ++i) {
      this->cluster->GetCaller(i).Close(0);
    }
    this->cluster->RunFor(seconds(5));
    for (std::uint32_t i = 0; i < kAgents; ++i) {
      const auto dump =
          this->cluster->GetProcess(kFirstAgent + i).agent->Dump();
      CPPUNIT_ASSERT_EQUAL(0, dump["sessions"]["open"].get<int>());
    }
  }

  // Result code E401: no service has this address.
  void UnknownAddressIsRefused() {
    FakeCaller& caller = this->cluster->AddCaller();
    caller.Get(Endpoint{0x0A000009, 5683}, "jobs", "");
    this->cluster->RunFor(seconds(1));
    CPPUNIT_ASSERT_EQUAL(401,
                         static_cast<int>(caller.Requests().at(0).result_code));
  }

  void PostWithUsedTicketGetsNewTicket() {
    FakeCaller& caller = this->cluster->AddCaller();
    caller.behavior.reuses_echo = true;
    caller.Post(kClaims, "claims", "claim-1");
    this->cluster->RunFor(seconds(2));
    caller.Post(kClaims, "claims", "claim-2");
    this->cluster->RunFor(seconds(2));
    CPPUNIT_ASSERT(caller.Requests().at(1).answered);
    CPPUNIT_ASSERT_EQUAL(1, this->cluster->GetLedger().runs["claim-1"]);
    CPPUNIT_ASSERT_EQUAL(1, this->cluster->GetLedger().runs["claim-2"]);
  }

  // While an agent is paused, another one takes over its session. What the
  // paused agent polled before, or polls right after it resumes, may be older
  // than what the caller has received.
  void ResumedAgentSendsNoOlderState() {
    constexpr int kPauses = 12;
    // Slow enough that a poll is in flight most of the time.
    for (std::uint32_t i = 0; i < kAgents; ++i) {
      this->cluster->GetServer(kFirstAgent + i).service_time =
          milliseconds(400);
    }
    FakeCaller& caller = this->cluster->AddCaller();
    caller.Observe(kClaims, "jobs");
    for (int i = 0; i < kPauses; ++i) {
      this->ChangeDataFor(seconds(3) + milliseconds(37) * i);
      const std::uint32_t owner = this->FindOwner();
      this->cluster->Pause(owner);
      this->ChangeDataFor(seconds(80));
      this->cluster->Resume(owner);
      this->ChangeDataFor(seconds(10));
    }
    CPPUNIT_ASSERT(caller.Sessions().at(0).registrations > 1);
    CPPUNIT_ASSERT_EQUAL(0, caller.Sessions().at(0).stale_notifications);
  }

 private:
  void ChangeDataFor(Duration time) {
    constexpr Duration kStep = milliseconds(100);
    for (const TimePoint end = this->cluster->Now() + time;
         this->cluster->Now() < end; this->cluster->RunFor(kStep)) {
      this->cluster->GetLedger().data_version["workshops/claims"] += 1;
    }
  }

  // The agent that owns the session, by its count of open sessions.
  std::uint32_t FindOwner() {
    for (std::uint32_t node = kFirstAgent; node < kFirstAgent + kAgents;
         ++node) {
      const auto dump = this->cluster->GetProcess(node).agent->Dump();
      if (dump["sessions"]["open"].get<int>() > 0) {
        return node;
      }
    }
    return kFirstAgent;
  }

  std::unique_ptr<Cluster> cluster;
};

CPPUNIT_TEST_SUITE_REGISTRATION(WholePathTest);

}  // namespace
}  // namespace cactuscross::testing
