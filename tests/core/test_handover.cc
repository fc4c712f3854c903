#include <cppunit/extensions/HelperMacros.h>

#include <variant>

#include "tests/support/cluster.h"

namespace cactuscross::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Endpoint kQueue{0x0A000001, 5683};
constexpr Endpoint kCaller{0xC0000201, 40000};
constexpr std::uint32_t kBalancer = 1;
constexpr std::uint32_t kLeaving = 11;
constexpr std::uint32_t kTarget = 12;

// The handover of one session from a leaving agent to another, message by
// message. Offers may be repeated and withdrawals may arrive late, so the
// epoch, which increases with each handover, decides which of them still
// applies.
class HandoverTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HandoverTest);
  CPPUNIT_TEST(RepeatedOfferIsAcceptedAgain);
  CPPUNIT_TEST(WithdrawalEndsSessionOfLowerEpoch);
  CPPUNIT_TEST(LateWithdrawalKeepsSessionOfHigherEpoch);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    this->cluster = std::make_unique<Cluster>(3);
    FleetConfig config;
    config.customer = "garden";
    config.service = "queue";
    config.address = kQueue;
    config.zone = "south-1";
    config.balancers = kBalancer;
    config.first_agent = kLeaving;
    config.agents = 2;  // the leaving one and the target
    StartFleet(*this->cluster, config);
  }

  void tearDown() override { this->cluster.reset(); }

  void RepeatedOfferIsAcceptedAgain() {
    CPPUNIT_ASSERT(this->Offer(1));
    CPPUNIT_ASSERT(this->Offer(1));
    CPPUNIT_ASSERT_EQUAL(1, this->OpenSessions());
  }

  void WithdrawalEndsSessionOfLowerEpoch() {
    CPPUNIT_ASSERT(this->Offer(1));
    this->Withdraw(2);
    CPPUNIT_ASSERT_EQUAL(0, this->OpenSessions());
  }

  void LateWithdrawalKeepsSessionOfHigherEpoch() {
    CPPUNIT_ASSERT(this->Offer(3));
    this->Withdraw(2);
    CPPUNIT_ASSERT_EQUAL(1, this->OpenSessions());
  }

 private:
  AgentOutbox Deliver(PeerMessage body) {
    PeerEnvelope envelope;
    envelope.from = this->cluster->GetProcess(kLeaving).address;
    envelope.to = this->cluster->GetProcess(kTarget).address;
    envelope.body = std::move(body);
    AgentInbox inbox;
    inbox.peer_envelopes.push_back(std::move(envelope));
    Agent& target = *this->cluster->GetProcess(kTarget).agent;
    return target.Tick(this->cluster->Now(), std::move(inbox));
  }

  // Returns whether the offer was accepted.
  bool Offer(std::uint32_t epoch) {
    SessionOffer offer;
    offer.caller = kCaller;
    offer.service_address = kQueue;
    offer.service = MakeServiceId("garden/queue");
    offer.token = {1, 2};
    offer.uri_path = "list";
    offer.epoch = epoch;
    for (const PeerEnvelope& envelope : this->Deliver(offer).peer_envelopes) {
      if (const auto* reply = std::get_if<SessionOfferReply>(&envelope.body)) {
        return reply->accepted && reply->epoch == epoch;
      }
    }
    return false;
  }

  void Withdraw(std::uint32_t epoch) {
    this->Deliver(SessionOfferReply{kCaller, {1, 2}, epoch, false});
  }

  int OpenSessions() {
    const auto dump = this->cluster->GetProcess(kTarget).agent->Dump();
    return dump["sessions"]["open"].get<int>();
  }

  std::unique_ptr<Cluster> cluster;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HandoverTest);

}  // namespace
}  // namespace cactuscross::testing
