#ifndef CACTUSCROSS_TESTS_SUPPORT_FLOW_SIMULATION_H_
#define CACTUSCROSS_TESTS_SUPPORT_FLOW_SIMULATION_H_

// A simulation of the environment of the flow path, in logical time and without
// a network: modelled clients, routers, backend servers and a store around real
// FlowBalancers and FlowAgents. The same seed gives the same run.

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cactuscross/flow_agent.h"
#include "cactuscross/flow_balancer.h"
#include "tests/support/link.h"

namespace cactuscross::testing {

struct FlowServiceConfig {
  std::string name;
  std::uint16_t port = 0;  // of the first route to the service; 0: none
  std::uint32_t servers = 0;
  std::uint32_t slots = 7;
  std::uint32_t queue_capacity = 28;  // requests waiting for a slot
};

// A service of a route and its share of the route's new flows.
struct FlowRouteShare {
  std::string service;
  std::uint32_t weight = 1;
};
using FlowRouteShares = std::vector<FlowRouteShare>;

// A kind of request. Durations in microseconds.
struct FlowRequestConfig {
  std::size_t service = 0;  // index into the services
  bool idempotent = true;
  bool long_flows = false;  // one flow per user; otherwise one per request
  double per_second = 0;
  std::uint32_t request_bytes = 100;  // payload of the request's packet
  Duration mean_service_time{55000};
  Duration latency_target{250000};
  Duration deadline{2500000};  // for all attempts together
  std::uint32_t priority = 0;
  std::uint16_t port = 0;  // of a route of its own; 0: that of the service
};

struct FlowSimulationConfig {
  std::uint32_t balancers = 6;
  std::uint32_t zones = 3;
  std::uint32_t users = 100;  // long flows of each request kind that uses them
  std::vector<FlowServiceConfig> services;
  std::vector<FlowRequestConfig> requests;
  // Balancers admit by priority and deadline, and routes have the latency
  // target and time limit of their requests.
  bool priority_admission = false;
  // The store has no routes until this time after the start.
  Duration routes_delay{0};
  // Settings of the processes; 0: no evacuations, no bound for warm-up.
  Duration evacuation_bound{0};
  double warmup_overshoot = 0;
  double warmup_slack = 0;
  // Limit of each service in the routes; 0: none.
  double warmup_openings_per_second = 0;
  // After a power loss, a server accepts connections this long after its agent
  // has started.
  Duration server_start_delay{0};
  bool batched_lookup = true;  // FlowBalancerSettings::batched_lookup
};

// Example deployment, the Workshop Association: two services, with its request
// rates multiplied by `load`.
FlowSimulationConfig WorkshopConfig(double load);

// Counters of clients and servers, and descriptions of violated invariants.
struct FlowTotals {
  std::uint64_t request_count = 0;
  std::uint64_t within_target = 0;
  std::uint64_t late = 0;  // answered after the latency target
  std::uint64_t failed = 0;
  std::uint64_t runs = 0;  // executions at servers
  std::uint64_t shed = 0;  // rejected by a server with a full queue
  std::vector<std::string> violations;

  double WithinTargetShare() const;
  double ServedShare() const;
};

// What became of the requests that started in a span of time.
struct FlowOutcomes {
  std::uint64_t sent = 0;
  std::uint64_t within_target = 0;
  std::uint64_t late = 0;

  // Share of the possible benefit, where an answer after the latency target is
  // worth 0.3 of one in time.
  double Worth() const;
};

// Which datagrams of lookups are lost.
enum class LookupFault : std::uint8_t {
  kNone,
  kLookups,  // as if all agents were of the previous version
  kReplies,
};

class FlowSimulation {
 public:
  FlowSimulation(std::uint64_t seed, const FlowSimulationConfig& config);
  ~FlowSimulation();
  FlowSimulation(const FlowSimulation&) = delete;
  FlowSimulation& operator=(const FlowSimulation&) = delete;

  // Runs for `time` and returns the totals of that time. A request that is
  // still in progress at its end counts as sent in this run and as answered or
  // failed in the next.
  FlowTotals Run(Duration time);

  // Outcomes of the requests of a kind that started from `from` until `until`.
  FlowOutcomes OutcomesOf(std::size_t kind,
                          TimePoint from,
                          TimePoint until) const;

  Link& GetLink() { return this->link; }
  // Each user sends a request of this kind now.
  void StartRequests(std::size_t kind);
  // Sets whether clients send new requests.
  void SetTraffic(bool on) { this->traffic = on; }

  // A killed process restarts after `restart_delay` without its state.
  void KillBalancer(std::size_t index, Duration restart_delay);
  void KillAgent(std::size_t index, Duration restart_delay);
  void StopBalancer(std::size_t index);  // SIGTERM; restarts after its exit
  // All processes and servers lose power. They start again after
  // `restart_delay`, the servers under new names if `new_names` is set.
  void PowerOffAll(Duration restart_delay, bool new_names);

  // Limits the rate of a balancer's link in each direction.
  void SlowLink(std::size_t balancer, double bytes_per_second);

  void SetLookupFault(LookupFault fault);
  // Bytes of all queries of searches and of the answers to them.
  std::uint64_t SearchBytes() const;
  // Number of flows that balancers have found lost while their clients used
  // them. A late duplicate of a client's last packet starts a search as well,
  // which rightly ends with the flow lost.
  std::uint64_t LostInUse() const;
  // For each flow that a balancer found lost, the time from its first packet.
  const std::vector<Duration>& LostAges() const;
  // Time of the last reset of a flow that no server holds.
  TimePoint LastLostAt() const;

  // Servers are numbered across all services.
  std::size_t ServerCount() const;
  void CrashServer(std::size_t index, bool silent);  // no restart
  void FailServerHost(std::size_t index);            // its store entry stays
  void RestartServer(std::size_t index);             // under the same name
  void DrainServer(std::size_t index);
  // Multiplies the service times of a server by `factor`.
  void SlowServer(std::size_t index, double factor);
  // Starts a server of another service on the host, in place of its server.
  void ReuseHost(std::size_t index, std::size_t service);
  std::uint32_t RunningRequests(std::size_t index) const;

  // Calls to a store that is down fail, or time out if it is `silent`.
  void SetStoreDown(bool down, bool silent);
  // Drops the history of changes: watches from earlier revisions fail, so that
  // readers have to list again.
  void DropStoreHistory();
  // The store comes back from a copy of `copy_age` ago, in a new era. Servers
  // and the operator write again what they had written.
  void RestoreStore(Duration copy_age);
  // Removes the store entry of a server that may still run, or restores it.
  void SetEntryRemoved(std::size_t index, bool removed);
  void PutRoute(std::uint16_t port, const std::string& service);
  void PutRoute(std::uint16_t port, const FlowRouteShares& shares);
  void RemoveRoute(std::uint16_t port);
  // The operator orders the evacuation of a zone, or withdraws the order.
  // Server i and balancer i are in zone i modulo the number of zones.
  void SetEvacuated(std::size_t zone, bool evacuated);
  // Cuts a balancer off from the store and from the other balancers, or
  // connects it again.
  void IsolateBalancer(std::size_t index, bool isolated);
  std::uint64_t StoreCalls() const;

  // Returns whether all running balancers are ready.
  bool AllReady() const;
  // Returns when the server last received the opening packet of a flow.
  TimePoint LastOpeningAt(std::size_t server) const;
  // Returns the maximum number of opening packets that the server received in
  // any second since `since`.
  std::size_t MaxOpeningsPerSecond(std::size_t server, TimePoint since) const;
  // Returns how many events of `kind` processes have reported since the start.
  std::uint64_t EventCount(FlowEventKind kind) const;

 private:
  class Impl;
  Link link;
  bool traffic = true;
  std::unique_ptr<Impl> impl;
};

}  // namespace cactuscross::testing

#endif  // CACTUSCROSS_TESTS_SUPPORT_FLOW_SIMULATION_H_
