#include "tests/support/loaded_balancer.h"

#include <algorithm>
#include <utility>

namespace cactuscross::testing {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kSeed = 7;
constexpr char kService[] = "search";
constexpr std::uint64_t kRevision = 100000;

FlowBalancerSettings MakeSettings(bool priority_admission) {
  FlowBalancerSettings settings;
  settings.node.zone = "z0";
  settings.node.data = {77, 1};
  settings.control = {77, 3};
  settings.priority_admission = priority_admission;
  return settings;
}

FlowRoute MakeRoute(const Endpoint& address, std::uint32_t priority) {
  FlowRoute route;
  route.service_address = address;
  route.services = {{MakeServiceId(kService), 1}};
  route.latency_target = milliseconds(200);
  route.time_limit = milliseconds(1200);
  route.priority = priority;
  return route;
}

ServerChange MakeServer(std::uint32_t host) {
  ServerChange change;
  change.position.revision = host;
  change.name = "s" + std::to_string(host);
  change.server.name = change.name;
  change.server.service = MakeServiceId(kService);
  change.server.host = host;
  change.server.zone = "z0";
  change.server.slots = kServerSlots;
  return change;
}

}  // namespace

LoadedBalancer::LoadedBalancer(bool priority_admission, std::uint32_t servers)
    : servers(servers),
      balancer(MakeSettings(priority_admission), kSeed),
      revision(kRevision) {
  while (!this->ready) {
    this->Tick({});
  }
  this->ReportLoad(0);
}

void LoadedBalancer::Open(const Endpoint& address,
                          std::uint32_t client,
                          std::uint32_t retransmit_count) {
  FlowBalancerInbox inbox;
  FlowPacket& packet = inbox.packets.emplace_back();
  packet.flow = {{client, 1}, address};
  packet.opening = true;
  packet.retransmit_count = retransmit_count;
  this->Tick(inbox);
}

void LoadedBalancer::PublishRoutes(bool with_priorities) {
  while (!this->routes_watch.has_value()) {
    this->Tick({});
  }
  StoreAnswer& answer = this->answers.emplace_back();
  answer.subject = StoreSubject::kRoutes;
  answer.kind = StoreCallKind::kWatch;
  answer.generation = this->routes_watch->generation;
  this->routes_watch.reset();
  answer.status = StoreStatus::kOk;
  answer.era = 1;
  answer.revision = ++this->revision;
  RouteSet& routes = answer.routes.emplace_back();
  routes.version = this->revision;
  routes.routes = {MakeRoute(kQueryAddress, with_priorities ? 1 : 0),
                   MakeRoute(kFeedAddress, with_priorities ? 2 : 0)};
  this->Tick({});
}

void LoadedBalancer::ReportLoad(std::uint32_t running) {
  FlowBalancerInbox inbox;
  for (std::uint32_t host = 1; host <= this->servers; ++host) {
    inbox.notices.push_back(MakeLoad(host, running));
  }
  this->Tick(inbox);
}

FlowNotice LoadedBalancer::MakeLoad(std::uint32_t host, std::uint32_t running) {
  FlowNotice notice;
  notice.sender = host;
  notice.service_tag = ServiceTag(MakeServiceId(kService));
  notice.load.running = running;
  return notice;
}

void LoadedBalancer::Wait(Duration time, std::uint32_t running) {
  constexpr Duration kStep = milliseconds(20);
  for (Duration waited{0}; waited < time; waited += kStep) {
    this->now += kStep;
    this->ReportLoad(running);
  }
}

void LoadedBalancer::Tick(FlowBalancerInbox inbox) {
  inbox.store_answers = std::exchange(this->answers, {});
  this->now += milliseconds(1);
  const FlowBalancerOutbox outbox = this->balancer.Tick(this->now, inbox);
  this->ready = outbox.ready;
  for (const StoreCall& call : outbox.store_calls) {
    this->Answer(call);
  }
  this->events.insert(this->events.end(), outbox.events.begin(),
                      outbox.events.end());
  for (const FlowForward& forward : outbox.forwards) {
    this->forwarded_to.push_back(forward.destination);
  }
  this->resets += outbox.resets.size();
}

void LoadedBalancer::Answer(const StoreCall& call) {
  if (call.kind != StoreCallKind::kList) {
    if (call.subject == StoreSubject::kRoutes) {
      this->routes_watch = call;
    }
    return;
  }
  StoreAnswer answer;
  answer.subject = call.subject;
  answer.generation = call.generation;
  answer.status = StoreStatus::kOk;
  answer.era = 1;
  answer.revision = kRevision;
  if (call.subject == StoreSubject::kRoutes) {
    RouteSet& routes = answer.routes.emplace_back();
    routes.version = kRevision;
    routes.routes = {MakeRoute(kQueryAddress, 1), MakeRoute(kFeedAddress, 2)};
  } else {
    for (std::uint32_t host = 1; host <= this->servers; ++host) {
      answer.servers.push_back(MakeServer(host));
    }
  }
  this->answers.push_back(std::move(answer));
}

const FlowEvent* LoadedBalancer::Last(FlowEventKind kind) const {
  const auto found = std::find_if(
      this->events.rbegin(), this->events.rend(),
      [kind](const FlowEvent& event) { return event.kind == kind; });
  return found == this->events.rend() ? nullptr : &*found;
}

double LoadedBalancer::Metric(const std::string& name,
                              const std::string& labels) const {
  for (const MetricSample& sample : this->balancer.Metrics()) {
    if (sample.name == name && sample.labels == labels) {
      return sample.value;
    }
  }
  return 0;
}

}  // namespace cactuscross::testing
