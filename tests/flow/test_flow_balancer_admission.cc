#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <vector>

#include "cactuscross/flow_balancer.h"

namespace cactuscross::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeed = 7;
constexpr TimePoint kStart{seconds(100)};
constexpr Endpoint kQueryAddress{0xC6120001, 443};
constexpr Endpoint kFeedAddress{0xC6120001, 80};
constexpr std::uint32_t kHosts = 4;
constexpr std::uint32_t kSlots = 3;

FlowRoute MakeRoute(const Endpoint& address, std::uint32_t priority) {
  FlowRoute route;
  route.service_address = address;
  route.services = {{MakeServiceId("search"), 1}};
  route.latency_target = milliseconds(200);
  route.time_limit = milliseconds(1200);
  route.priority = priority;
  return route;
}

// A balancer that has loaded two routes, of the priorities 1 and 2, to one
// service with four servers of three slots.
class LoadedBalancer {
 public:
  explicit LoadedBalancer(bool priority_admission)
      : balancer(Settings(priority_admission), kSeed) {
    for (int i = 0; i < 100 && !this->outbox.ready; ++i) {
      this->Tick({});
    }
    CPPUNIT_ASSERT(this->outbox.ready);
    this->ReportLoad(0);
  }

  // Sends one opening of `client`.
  void Open(const Endpoint& address,
            std::uint32_t client,
            std::uint32_t retransmit_count = 0) {
    FlowBalancerInbox inbox;
    FlowPacket& packet = inbox.packets.emplace_back();
    packet.flow = {{client, 1}, address};
    packet.opening = true;
    packet.retransmit_count = retransmit_count;
    this->Tick(inbox);
  }

  // All agents report this number of running requests.
  void ReportLoad(std::uint32_t running) {
    FlowBalancerInbox inbox;
    for (std::uint32_t host = 1; host <= kHosts; ++host) {
      inbox.notices.push_back(MakeLoad(host, running));
    }
    this->Tick(inbox);
  }

  static FlowNotice MakeLoad(std::uint32_t host, std::uint32_t running) {
    FlowNotice notice;
    notice.sender = host;
    notice.service_tag = ServiceTag(MakeServiceId("search"));
    notice.load.running = running;
    return notice;
  }

  // Advances the time while all servers report `running` requests.
  void Wait(Duration time, std::uint32_t running) {
    for (Duration waited{0}; waited < time; waited += milliseconds(20)) {
      this->now += milliseconds(20);
      this->ReportLoad(running);
    }
  }

  void Tick(FlowBalancerInbox inbox) {
    inbox.store_answers = std::move(this->answers);
    this->answers.clear();
    this->now += milliseconds(1);
    this->outbox = this->balancer.Tick(this->now, inbox);
    for (const StoreCall& call : this->outbox.store_calls) {
      this->Answer(call);
    }
    for (const FlowEvent& event : this->outbox.events) {
      this->events.push_back(event);
    }
    for (const FlowForward& forward : this->outbox.forwards) {
      this->forwarded_to.push_back(forward.destination);
    }
    this->resets += this->outbox.resets.size();
  }

  // Last event of `kind`; fails if there is none.
  const FlowEvent& Last(FlowEventKind kind) const {
    const auto found = std::find_if(
        this->events.rbegin(), this->events.rend(),
        [kind](const FlowEvent& event) { return event.kind == kind; });
    CPPUNIT_ASSERT(found != this->events.rend());
    return *found;
  }

  double Metric(const std::string& name, const std::string& labels) const {
    for (const MetricSample& sample : this->balancer.Metrics()) {
      if (sample.name == name && sample.labels == labels) {
        return sample.value;
      }
    }
    return 0;
  }

  FlowBalancer balancer;
  FlowBalancerOutbox outbox;
  std::vector<FlowEvent> events;
  std::vector<Endpoint> forwarded_to;
  std::size_t resets = 0;
  TimePoint now = kStart;

 private:
  static FlowBalancerSettings Settings(bool priority_admission) {
    FlowBalancerSettings settings;
    settings.node.zone = "z0";
    settings.node.data = {77, 1};
    settings.control = {77, 3};
    settings.priority_admission = priority_admission;
    return settings;
  }

  void Answer(const StoreCall& call) {
    if (call.kind != StoreCallKind::kList) {
      return;
    }
    StoreAnswer answer;
    answer.subject = call.subject;
    answer.generation = call.generation;
    answer.status = StoreStatus::kOk;
    answer.era = 1;
    answer.revision = 10;
    if (call.subject == StoreSubject::kRoutes) {
      RouteSet& routes = answer.routes.emplace_back();
      routes.version = 10;
      routes.routes = {MakeRoute(kQueryAddress, 1), MakeRoute(kFeedAddress, 2)};
    }
    for (std::uint32_t host = 1;
         call.subject == StoreSubject::kServers && host <= kHosts; ++host) {
      ServerChange& change = answer.servers.emplace_back();
      change.position.revision = host;
      change.name = "s" + std::to_string(host);
      change.server.name = change.name;
      change.server.service = MakeServiceId("search");
      change.server.host = host;
      change.server.zone = "z0";
      change.server.slots = kSlots;
    }
    this->answers.push_back(std::move(answer));
  }

  std::vector<StoreAnswer> answers;
};

// The balancer's use of admission by priority and deadline.
class FlowBalancerAdmissionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FlowBalancerAdmissionTest);
  CPPUNIT_TEST(SameServersWhileThereIsCapacity);
  CPPUNIT_TEST(HigherPriorityGetsTheFreePlace);
  CPPUNIT_TEST(WaitAndRefusalAreReported);
  CPPUNIT_TEST(OpeningThatMayBeOpenElsewhereIsNotReset);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Load: as many openings as the servers take. Guards against a setting that
  // changes placements although nothing waits.
  void SameServersWhileThereIsCapacity() {
    LoadedBalancer newest(false);
    LoadedBalancer by_priority(true);
    for (LoadedBalancer* balancer : {&newest, &by_priority}) {
      for (std::uint32_t client = 1; client <= 2 * kSlots * kHosts; ++client) {
        balancer->Open(client % 3 == 0 ? kQueryAddress : kFeedAddress, client);
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2 * kSlots * kHosts},
                         by_priority.forwarded_to.size());
    CPPUNIT_ASSERT(newest.forwarded_to == by_priority.forwarded_to);
  }

  // Load: all servers are saturated; one request ends while a query and two
  // feed requests wait. Guards against the newest one that goes first.
  void HigherPriorityGetsTheFreePlace() {
    LoadedBalancer balancer(true);
    balancer.ReportLoad(2 * kSlots);
    balancer.Open(kFeedAddress, 1);
    balancer.Open(kQueryAddress, 2);
    balancer.Open(kFeedAddress, 3);
    CPPUNIT_ASSERT(balancer.forwarded_to.empty());
    FlowBalancerInbox inbox;
    inbox.notices = {LoadedBalancer::MakeLoad(1, 2 * kSlots - 1)};
    balancer.Tick(inbox);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, balancer.forwarded_to.size());
    const FlowEvent& placed = balancer.Last(FlowEventKind::kPlaced);
    CPPUNIT_ASSERT(kQueryAddress == placed.flow->service_address);
    CPPUNIT_ASSERT_EQUAL(std::string("waited"), std::string(placed.reason));
    // The feed leaves one place at each server to queries for a second.
    inbox.notices = {LoadedBalancer::MakeLoad(2, 2 * kSlots - 1)};
    balancer.Tick(inbox);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, balancer.forwarded_to.size());
    inbox.notices = {LoadedBalancer::MakeLoad(2, 2 * kSlots - 2)};
    balancer.Tick(inbox);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, balancer.forwarded_to.size());
  }

  // Load: all servers stay saturated. Guards against a refusal whose cause the
  // operator can't see.
  void WaitAndRefusalAreReported() {
    LoadedBalancer balancer(true);
    balancer.ReportLoad(2 * kSlots);
    balancer.Open(kQueryAddress, 1);
    balancer.Open(kFeedAddress, 2);
    balancer.Wait(milliseconds(40), 2 * kSlots);
    const FlowEvent waiting = balancer.Last(FlowEventKind::kWaiting);
    CPPUNIT_ASSERT_EQUAL(2U, waiting.flow->client.address);
    CPPUNIT_ASSERT_EQUAL(1U, *waiting.count);
    CPPUNIT_ASSERT(waiting.age.has_value());
    balancer.Open(kQueryAddress, 3);
    balancer.Wait(milliseconds(40), 2 * kSlots);
    CPPUNIT_ASSERT_EQUAL(1U, *balancer.Last(FlowEventKind::kWaiting).count);
    for (std::uint32_t client = 4; client < 14; ++client) {
      balancer.Open(kQueryAddress, client);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, balancer.resets);
    balancer.Wait(milliseconds(140), 2 * kSlots);
    const FlowEvent& refused = balancer.Last(FlowEventKind::kRefused);
    CPPUNIT_ASSERT_EQUAL(std::string("deadline"), std::string(refused.reason));
    CPPUNIT_ASSERT(*refused.count >= 4 && *refused.age < milliseconds(300));
    CPPUNIT_ASSERT(refused.detail.find("expected wait") != std::string::npos);
    CPPUNIT_ASSERT(balancer.resets >= 5);
    const auto resets = static_cast<double>(balancer.resets);
    CPPUNIT_ASSERT_EQUAL(
        resets, balancer.Metric("flow_openings_refused", "priority=\"1\"") +
                    balancer.Metric("flow_openings_refused", "priority=\"2\""));
    CPPUNIT_ASSERT_EQUAL(resets,
                         balancer.Metric("flow_openings_refused_by_reason",
                                         "reason=\"deadline\""));
  }

  // Load: as above, and routers delivered the first transmission to another
  // balancer. Guards against the reset of an open flow.
  void OpeningThatMayBeOpenElsewhereIsNotReset() {
    LoadedBalancer balancer(true);
    balancer.ReportLoad(2 * kSlots);
    balancer.Open(kQueryAddress, 1, 1);
    balancer.Wait(milliseconds(1500), 2 * kSlots);
    CPPUNIT_ASSERT(balancer.Last(FlowEventKind::kRefused).flow.has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, balancer.resets);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FlowBalancerAdmissionTest);

}  // namespace
}  // namespace cactuscross::testing
