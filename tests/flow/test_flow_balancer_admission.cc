#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <vector>

#include "tests/support/loaded_balancer.h"

namespace cactuscross::testing {
namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kServers = 4;
// Requests in progress at which a server is saturated.
constexpr std::uint32_t kFull = 2 * kServerSlots;

// Fails if there is no event of the kind.
const FlowEvent& Last(const LoadedBalancer& balancer, FlowEventKind kind) {
  const FlowEvent* event = balancer.Last(kind);
  CPPUNIT_ASSERT(event != nullptr);
  return *event;
}

// The balancer's use of admission by priority and deadline.
class FlowBalancerAdmissionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FlowBalancerAdmissionTest);
  CPPUNIT_TEST(SameServersWhileThereIsCapacity);
  CPPUNIT_TEST(HigherPriorityGetsTheFreePlace);
  CPPUNIT_TEST(WaitAndRefusalAreReported);
  CPPUNIT_TEST(OpeningThatMayBeOpenElsewhereIsNotReset);
  CPPUNIT_TEST(PolicyFollowsTheRoutes);
  CPPUNIT_TEST(WaitingOpeningsSurviveAChangeOfThePolicy);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Load: as many openings as the servers take. Guards against a setting that
  // changes placements although nothing waits.
  void SameServersWhileThereIsCapacity() {
    LoadedBalancer newest(false, kServers);
    LoadedBalancer by_priority(true, kServers);
    for (LoadedBalancer* balancer : {&newest, &by_priority}) {
      for (std::uint32_t client = 1; client <= kFull * kServers; ++client) {
        balancer->Open(client % 3 == 0 ? kQueryAddress : kFeedAddress, client);
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{kFull} * kServers,
                         by_priority.forwarded_to.size());
    CPPUNIT_ASSERT(newest.forwarded_to == by_priority.forwarded_to);
  }

  // Load: all servers are saturated; one request ends while a query and two
  // feed requests wait. Guards against the newest one that goes first.
  void HigherPriorityGetsTheFreePlace() {
    LoadedBalancer balancer(true, kServers);
    balancer.ReportLoad(kFull);
    balancer.Open(kFeedAddress, 1);
    balancer.Open(kQueryAddress, 2);
    balancer.Open(kFeedAddress, 3);
    CPPUNIT_ASSERT(balancer.forwarded_to.empty());
    FlowBalancerInbox inbox;
    inbox.notices = {LoadedBalancer::MakeLoad(1, kFull - 1)};
    balancer.Tick(inbox);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, balancer.forwarded_to.size());
    const FlowEvent& placed = Last(balancer, FlowEventKind::kPlaced);
    CPPUNIT_ASSERT(kQueryAddress == placed.flow->service_address);
    CPPUNIT_ASSERT_EQUAL(std::string("waited"), std::string(placed.reason));
    // The feed leaves one place at each server to queries for a second.
    inbox.notices = {LoadedBalancer::MakeLoad(2, kFull - 1)};
    balancer.Tick(inbox);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, balancer.forwarded_to.size());
    inbox.notices = {LoadedBalancer::MakeLoad(2, kFull - 2)};
    balancer.Tick(inbox);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, balancer.forwarded_to.size());
  }

  // Load: all servers stay saturated. Guards against a refusal whose cause the
  // operator can't see.
  void WaitAndRefusalAreReported() {
    LoadedBalancer balancer(true, kServers);
    balancer.ReportLoad(kFull);
    balancer.Open(kQueryAddress, 1);
    balancer.Open(kFeedAddress, 2);
    balancer.Wait(milliseconds(40), kFull);
    const FlowEvent waiting = Last(balancer, FlowEventKind::kWaiting);
    CPPUNIT_ASSERT_EQUAL(2U, waiting.flow->client.address);
    CPPUNIT_ASSERT_EQUAL(1U, *waiting.count);
    CPPUNIT_ASSERT(waiting.age.has_value());
    balancer.Open(kQueryAddress, 3);
    balancer.Wait(milliseconds(40), kFull);
    CPPUNIT_ASSERT_EQUAL(1U, *Last(balancer, FlowEventKind::kWaiting).count);
    for (std::uint32_t client = 4; client < 44; ++client) {
      balancer.Open(kQueryAddress, client);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, balancer.resets);
    balancer.Wait(milliseconds(140), kFull);
    const FlowEvent& refused = Last(balancer, FlowEventKind::kRefused);
    CPPUNIT_ASSERT_EQUAL(std::string("deadline"), std::string(refused.reason));
    CPPUNIT_ASSERT(*refused.count >= 10 && *refused.age < milliseconds(300));
    CPPUNIT_ASSERT(refused.detail.find("expected wait") != std::string::npos);
    CPPUNIT_ASSERT(balancer.resets >= 20);
    const auto resets = static_cast<double>(balancer.resets);
    CPPUNIT_ASSERT_EQUAL(
        resets, balancer.Metric("flow_openings_refused", "priority=\"1\"") +
                    balancer.Metric("flow_openings_refused", "priority=\"2\""));
    CPPUNIT_ASSERT_EQUAL(resets,
                         balancer.Metric("flow_openings_refused_by_reason",
                                         "reason=\"deadline\""));
  }

  // Guards against a policy that no deployment has in force: it follows from
  // the priorities of the routes, and the setting only disables it.
  void PolicyFollowsTheRoutes() {
    const LoadedBalancer balancer(true, kServers);
    const FlowEvent& changed = Last(balancer, FlowEventKind::kAdmissionChanged);
    CPPUNIT_ASSERT_EQUAL(std::string("priority"), std::string(changed.reason));
    const LoadedBalancer disabled(false, kServers);
    CPPUNIT_ASSERT(std::none_of(disabled.events.begin(), disabled.events.end(),
                                [](const FlowEvent& event) {
                                  return event.kind ==
                                         FlowEventKind::kAdmissionChanged;
                                }));
  }

  // Load: openings wait while the routes lose their priorities, or get them.
  // Guards against openings that no policy places any more.
  void WaitingOpeningsSurviveAChangeOfThePolicy() {
    LoadedBalancer balancer(true, kServers);
    bool with_priorities = true;
    for (std::uint32_t client = 1; client <= 4; client += 2) {
      // The store answers the next change at once.
      balancer.Wait(milliseconds(300), 0);
      balancer.ReportLoad(kFull);
      const std::size_t placed = balancer.forwarded_to.size();
      balancer.Open(kFeedAddress, client);
      balancer.Open(kQueryAddress, client + 1);
      with_priorities = !with_priorities;
      balancer.PublishRoutes(with_priorities);
      CPPUNIT_ASSERT_EQUAL(
          std::string(with_priorities ? "priority" : "newest_first"),
          std::string(Last(balancer, FlowEventKind::kAdmissionChanged).reason));
      CPPUNIT_ASSERT_EQUAL(placed, balancer.forwarded_to.size());
      balancer.ReportLoad(0);
      CPPUNIT_ASSERT_EQUAL(placed + 2, balancer.forwarded_to.size());
    }
  }

  // Load: as above, and routers delivered the first transmission to another
  // balancer. Guards against the reset of an open flow.
  void OpeningThatMayBeOpenElsewhereIsNotReset() {
    LoadedBalancer balancer(true, kServers);
    balancer.ReportLoad(kFull);
    balancer.Open(kQueryAddress, 1, 1);
    balancer.Wait(milliseconds(1500), kFull);
    CPPUNIT_ASSERT(Last(balancer, FlowEventKind::kRefused).flow.has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, balancer.resets);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FlowBalancerAdmissionTest);

}  // namespace
}  // namespace cactuscross::testing
