#include "tests/support/placement_simulation.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>

#include "src/core/flow/agent/capacity_meter.h"
#include "src/core/flow/placement/placement.h"

namespace cactuscross::testing {
namespace {

constexpr Duration kTransit{1000};
constexpr Duration kRetryInterval{10000};
constexpr Duration kMaxWait{1200000};
constexpr std::uint32_t kServiceAddress = 0xC6120001;

struct Request {
  TimePoint arrived_at;
  FlowKey flow;
  double work = 0;  // seconds at speed 1
  std::size_t balancer = 0;
  double start = 0;  // in terms of the server's meter
};

struct Server {
  ServerKey key = kNoServer;
  double speed = 1;
  std::uint32_t running = 0;  // in slots
  std::deque<Request> queue;
  CapacityMeter meter;
  std::uint32_t limit = 0;  // as ordered by balancers; 0: unknown
  double busy_s = 0;

  std::uint32_t InProgress() const {
    return this->running + static_cast<std::uint32_t>(this->queue.size());
  }
};

struct Balancer {
  ServerTable servers;
  ServiceCapacities capacities;
};

class Simulation {
 public:
  Simulation(std::uint64_t seed, const PlacementSimulationConfig& config)
      : config(config), random(seed), balancers(config.balancers) {}

  PlacementSimulationResult Run();

 private:
  void AddServers();
  void At(Duration delay, std::function<void()> action);
  double Uniform() { return (this->random() >> 11U) * 0x1p-53; }
  Duration Between(Duration end) {
    return Duration(static_cast<std::int64_t>(this->Uniform() * end.count()));
  }
  bool Counts() const { return this->now >= kBegin + this->config.warm_up; }
  double DrawWork();

  void Arrive();
  void Place(const Request& request);
  void Deliver(std::size_t index, const Request& request);
  void Start(std::size_t index, const Request& request);
  void Finish(const Request& request);
  void Notify(std::size_t index);
  void SendNotice(std::size_t index, std::size_t balancer, Duration age);
  void Query(std::size_t index);

  static constexpr TimePoint kBegin{std::chrono::hours(1)};

  const PlacementSimulationConfig config;
  std::mt19937_64 random;
  const ServiceId service = MakeServiceId("filing");
  std::vector<Server> servers;
  std::vector<Balancer> balancers;
  std::deque<Request> central_queue;
  TimePoint now = kBegin;
  double arrivals_per_second = 0;
  std::uint64_t arrived = 0;
  std::uint64_t in_time = 0;
  std::uint64_t refused = 0;

  struct Event {
    TimePoint at;
    std::uint64_t number;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return this->at != other.at ? this->at > other.at
                                  : this->number > other.number;
    }
  };
  std::priority_queue<Event> events;
  std::uint64_t event_number = 0;
};

PlacementSimulationResult Simulation::Run() {
  this->AddServers();
  this->Arrive();
  const TimePoint end = kBegin + this->config.warm_up + this->config.duration;
  while (this->events.top().at < end) {
    const Event event = this->events.top();
    this->events.pop();
    this->now = event.at;
    event.action();
  }
  PlacementSimulationResult result;
  double total = 0;
  for (const Server& server : this->servers) {
    total += server.busy_s;
    result.busiest = std::max(result.busiest, server.busy_s);
    result.capacities.push_back(server.meter.Capacity());
  }
  result.busiest /= total / static_cast<double>(this->servers.size());
  const auto arrived = static_cast<double>(this->arrived);
  result.in_time = static_cast<double>(this->in_time) / arrived;
  result.refused = static_cast<double>(this->refused) / arrived;
  return result;
}

void Simulation::AddServers() {
  std::vector<FlowEvent> events;
  double speed = 0;
  this->servers.resize(this->config.speeds.size());
  for (std::size_t i = 0; i < this->servers.size(); ++i) {
    ServerChange change;
    change.name = "i-" + std::to_string(i);
    change.position.revision = i + 1;
    change.server.name = change.name;
    change.server.service = this->service;
    change.server.host = static_cast<std::uint32_t>(i + 1);
    change.server.slots = this->config.listed_slots;
    this->servers[i].key = MakeServerKey(change.name);
    this->servers[i].speed = this->config.speeds[i];
    speed += this->config.speeds[i];
    for (Balancer& balancer : this->balancers) {
      balancer.servers.Apply(this->now, change, events);
    }
    this->servers[i].meter.SetSlots(this->now, this->config.listed_slots);
    this->At(this->Between(this->config.notice_interval),
             [this, i] { this->Notify(i); });
    if (this->config.agents_restart_at > Duration{0}) {
      this->At(this->config.agents_restart_at, [this, i] {
        this->servers[i].meter.Clear();
        this->servers[i].limit = 0;
      });
    }
  }
  this->arrivals_per_second =
      this->config.utilization * speed * this->config.slots /
      std::chrono::duration<double>(this->config.mean_service_time).count();
}

void Simulation::At(Duration delay, std::function<void()> action) {
  this->events.push(
      {this->now + delay, this->event_number++, std::move(action)});
}

// The tail does not change the mean.
double Simulation::DrawWork() {
  const double mean =
      std::chrono::duration<double>(this->config.mean_service_time).count() /
      (1 + this->config.tail_share * (this->config.tail_factor - 1));
  const double factor =
      this->Uniform() < this->config.tail_share ? this->config.tail_factor : 1;
  return mean * factor * (0.5 + this->Uniform());
}

void Simulation::Arrive() {
  Request request;
  request.arrived_at = this->now;
  request.flow = {{static_cast<std::uint32_t>(this->random()),
                   static_cast<std::uint16_t>(this->random())},
                  {kServiceAddress, 443}};
  request.work = this->DrawWork();
  request.balancer = this->random() % this->balancers.size();
  this->arrived += this->Counts() ? 1 : 0;
  this->Place(request);
  const double wait_s = -std::log(1 - this->Uniform());
  this->At(Duration(static_cast<std::int64_t>(wait_s * 1e6 /
                                              this->arrivals_per_second)),
           [this] { this->Arrive(); });
}

void Simulation::Place(const Request& request) {
  if (this->config.policy == PlacementPolicy::kCentral) {
    std::size_t fastest = this->servers.size();
    for (std::size_t i = 0; i < this->servers.size(); ++i) {
      const bool is_free = this->servers[i].running < this->config.slots;
      if (is_free && (fastest == this->servers.size() ||
                      this->servers[i].speed > this->servers[fastest].speed)) {
        fastest = i;
      }
    }
    if (fastest == this->servers.size()) {
      this->central_queue.push_back(request);
    } else {
      this->Start(fastest, request);
    }
    return;
  }
  Balancer& balancer = this->balancers[request.balancer];
  const ServiceCapacity& capacity =
      balancer.capacities.Get(this->now, balancer.servers, this->service);
  const Placement placement =
      PlaceFlow(this->now, balancer.servers, this->service, request.flow, "",
                {}, capacity);
  if (placement.status == PlacementStatus::kPlaced) {
    ServerEntry& entry = *balancer.servers.Find(placement.server);
    ServerTable::NotePlaced(entry);
    this->At(kTransit, [this, request, index = entry.server.host - 1] {
      this->Deliver(index, request);
    });
  } else if (this->now - request.arrived_at < kMaxWait) {
    this->At(kRetryInterval, [this, request] { this->Place(request); });
  } else {
    this->refused += this->Counts() ? 1 : 0;
  }
}

void Simulation::Deliver(std::size_t index, const Request& request) {
  Server& server = this->servers[index];
  if (server.limit > 0 && server.InProgress() >= server.limit) {
    this->SendNotice(index, request.balancer, kTransit);
    this->At(kRetryInterval, [this, request] { this->Place(request); });
    return;
  }
  Request begun = request;
  begun.start = server.meter.NoteBegin(this->now);
  if (server.running < this->config.slots) {
    this->Start(index, begun);
  } else {
    server.queue.push_back(begun);
  }
  if (this->config.accept_notices) {
    this->SendNotice(index, request.balancer, kTransit);
  }
}

void Simulation::Start(std::size_t index, const Request& request) {
  Server& server = this->servers[index];
  ++server.running;
  const double time_s = request.work / server.speed;
  this->At(Duration(static_cast<std::int64_t>(time_s * 1e6)),
           [this, index, request, time_s] {
             Server& server = this->servers[index];
             --server.running;
             server.busy_s += this->Counts() ? time_s : 0;
             this->Finish(request);
             if (this->config.policy == PlacementPolicy::kCentral) {
               if (!this->central_queue.empty()) {
                 const Request next = this->central_queue.front();
                 this->central_queue.pop_front();
                 this->Start(index, next);
               }
               return;
             }
             server.meter.NoteEnd(this->now, request.start,
                                  RequestEnd::kAnswered);
             if (!server.queue.empty()) {
               const Request next = server.queue.front();
               server.queue.pop_front();
               this->Start(index, next);
             }
           });
}

void Simulation::Finish(const Request& request) {
  const bool counted = request.arrived_at >= kBegin + this->config.warm_up;
  this->in_time +=
      counted && this->now - request.arrived_at <= this->config.target ? 1 : 0;
}

void Simulation::Notify(std::size_t index) {
  for (std::size_t i = 0; i < this->balancers.size(); ++i) {
    this->SendNotice(index, i, this->config.notice_age);
  }
  this->Query(index);
  this->At(this->config.notice_interval,
           [this, index] { this->Notify(index); });
}

void Simulation::SendNotice(std::size_t index,
                            std::size_t balancer,
                            Duration age) {
  if (this->Uniform() < this->config.notice_loss) {
    return;
  }
  const Server& server = this->servers[index];
  FlowNotice notice;
  notice.sender = static_cast<std::uint32_t>(index + 1);
  notice.service_tag = ServiceTag(this->service);
  notice.load.running = server.InProgress();
  if (this->config.policy == PlacementPolicy::kCapacity) {
    notice.load.capacity = server.meter.Capacity();
  }
  this->At(age, [this, balancer, notice] {
    std::vector<FlowEvent> events;
    this->balancers[balancer].servers.ApplyNotice(this->now, notice, events);
  });
}

// One balancer sends its limit to the agent.
void Simulation::Query(std::size_t index) {
  Server& server = this->servers[index];
  Balancer& balancer = this->balancers[this->random() % this->balancers.size()];
  const ServiceCapacity& capacity =
      balancer.capacities.Get(this->now, balancer.servers, this->service);
  const ServerEntry& entry = *balancer.servers.Find(server.key);
  server.limit = MaxRunning(this->now, entry, capacity);
}

}  // namespace

PlacementSimulationConfig UnevenServers() {
  PlacementSimulationConfig config;
  for (int i = 0; i < 34; ++i) {
    config.speeds.push_back(i % 3 == 2 ? 1.7 : 0.7);
  }
  config.tail_share = 0.03;
  return config;
}

PlacementSimulationConfig FleetWithOldNotices() {
  PlacementSimulationConfig config = UnevenServers();
  config.utilization = 0.7;
  config.balancers = 59;
  config.notice_interval = Duration{500000};
  config.notice_age = Duration{500000};
  config.accept_notices = false;
  return config;
}

PlacementSimulationResult SimulatePlacement(
    std::uint64_t seed,
    const PlacementSimulationConfig& config) {
  return Simulation(seed, config).Run();
}

}  // namespace cactuscross::testing
