#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <memory>
#include <string>

#include "tests/support/cluster.h"

namespace cactuscross::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Endpoint kDiagrams{0x0A000002, 5685};
constexpr std::uint32_t kFirstAgent = 21;
constexpr std::uint32_t kAgents = 2;
constexpr std::uint32_t kBalancers = 3;
constexpr std::uint32_t kSlots = 7;
constexpr std::uint32_t kMaxInFlight = kAgents * kSlots;
constexpr std::size_t kCallers = 2;
// Requests of one caller in a burst. The requests of all callers are within the
// limit even while a loan between the agents expires and neither side may use
// it.
constexpr int kRequestsPerBurst = 4;
constexpr std::uint64_t kSeeds = 40;
constexpr int kBursts = 30;

// Bursts within the limit of the service that exceed the share of one agent.
// Guards against refusals by an agent at its limit: requests that sample agents
// at the same time choose one by loads that are about to change.
class PlacementRaceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlacementRaceTest);
  CPPUNIT_TEST(BurstWithinTheLimitIsNotRefused);
  CPPUNIT_TEST(BurstOfPostsWithinTheLimitIsNotRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void BurstWithinTheLimitIsNotRefused() {
    this->RunSeeds(
        [](FakeCaller& caller) { caller.Get(kDiagrams, "diagram/300", ""); });
  }

  void BurstOfPostsWithinTheLimitIsNotRefused() {
    int number = 0;
    this->RunSeeds([&number](FakeCaller& caller) {
      caller.Post(kDiagrams, "claims", "claim-" + std::to_string(number++));
    });
  }

 private:
  template <typename Request>
  void RunSeeds(Request request) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      this->Start(seed);
      for (int burst = 0; burst < kBursts; ++burst) {
        for (std::size_t i = 0; i < kCallers; ++i) {
          for (int n = 0; n < kRequestsPerBurst; ++n) {
            request(this->cluster->GetCaller(i));
          }
        }
        this->cluster->RunFor(milliseconds(300));
      }
      this->cluster->RunFor(seconds(5));
      this->ExpectAllAnswered(seed);
    }
  }

  void Start(std::uint64_t seed) {
    this->cluster = std::make_unique<Cluster>(seed);
    FleetConfig config;
    config.service = "diagrams";
    config.address = kDiagrams;
    config.balancers = kBalancers;
    config.first_agent = kFirstAgent;
    config.agents = kAgents;
    config.slots = kSlots;
    config.limits.requests_in_flight = kMaxInFlight;
    StartFleet(*this->cluster, config);
    for (std::size_t i = 0; i < kCallers; ++i) {
      this->cluster->AddCaller();
    }
  }

  void ExpectAllAnswered(std::uint64_t seed) {
    for (std::size_t i = 0; i < kCallers; ++i) {
      for (const CallerRequest& request :
           this->cluster->GetCaller(i).Requests()) {
        CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + ": " +
                                   request.path + " ended with " +
                                   request.answer.substr(0, 40),
                               request.result_code == 0 && request.answered);
      }
    }
  }

  std::unique_ptr<Cluster> cluster;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementRaceTest);

}  // namespace
}  // namespace cactuscross::testing
