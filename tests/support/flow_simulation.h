#ifndef CACTUSCROSS_TESTS_SUPPORT_FLOW_SIMULATION_H_
#define CACTUSCROSS_TESTS_SUPPORT_FLOW_SIMULATION_H_

// A model of what the flow path serves, in logical time and without network:
// clients, routers, backend servers and a store around real FlowBalancers and
// FlowAgents. The same seed gives the same run.

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
  std::uint16_t port = 0;  // of its route
  std::uint32_t servers = 0;
  std::uint32_t slots = 7;
  std::uint32_t queue_capacity = 28;  // requests that wait for a slot
};

// A kind of request.
struct FlowRequestConfig {
  std::size_t service = 0;
  bool idempotent = true;
  bool long_flows = false;  // else a flow for each request
  double per_second = 0;
  Duration mean_service_time{55000};  // mean time on a slot
  Duration latency_target{250000};
  Duration deadline{2500000};
};

struct FlowSimulationConfig {
  std::uint32_t balancers = 6;
  std::uint32_t zones = 3;
  std::uint32_t users = 100;  // of long flows, for each kind that has them
  std::vector<FlowServiceConfig> services;
  std::vector<FlowRequestConfig> requests;
};

// Two services as of the Workshop Association, at `load` times its rates.
FlowSimulationConfig WorkshopConfig(double load);

// What clients and servers saw.
struct FlowTotals {
  std::uint64_t request_count = 0;
  std::uint64_t within_target = 0;
  std::uint64_t late = 0;
  std::uint64_t failed = 0;
  std::uint64_t runs = 0;
  std::uint64_t shed = 0;  // refused by a server with a full queue
  std::vector<std::string> violations;

  double WithinTargetShare() const;
  double ServedShare() const;
};

class FlowSimulation {
 public:
  FlowSimulation(std::uint64_t seed, const FlowSimulationConfig& config);
  ~FlowSimulation();
  FlowSimulation(const FlowSimulation&) = delete;
  FlowSimulation& operator=(const FlowSimulation&) = delete;

  // Runs for `time`; returns what was asked in it, answered up to its end or
  // up to the deadlines after it.
  FlowTotals Run(Duration time);

  Link& GetLink() { return this->link; }
  void SetTraffic(bool on) { this->traffic = on; }

  // Processes. A killed one is back after `restart_delay`, with nothing.
  void KillBalancer(std::size_t index, Duration restart_delay);
  void KillAgent(std::size_t index, Duration restart_delay);
  void StopBalancer(std::size_t index);  // SIGTERM; starts again after its end
  // All processes and servers lose power; back after `restart_delay` under new
  // names.
  void PowerOffAll(Duration restart_delay, bool new_names);

  // Bounds the bytes of a balancer's link, each way.
  void SlowLink(std::size_t balancer, double bytes_per_second);

  // Servers, over all services.
  std::size_t ServerCount() const;
  void CrashServer(std::size_t index, bool silent);  // for good
  void FailServerHost(std::size_t index);  // with its host; its entry stays
  void RestartServer(std::size_t index);   // under the same name
  void DrainServer(std::size_t index);
  void SlowServer(std::size_t index, double factor);
  // Another service's server takes over the host.
  void ReuseHost(std::size_t index, std::size_t service);
  std::uint32_t RunningRequests(std::size_t index) const;

  // Store.
  void SetStoreDown(bool down, bool silent);
  void DropStoreHistory();
  // Removes a server's entry although the server lives; false: back again.
  void SetEntryRemoved(std::size_t index, bool removed);
  void PutRoute(std::uint16_t port, const std::string& service);
  void RemoveRoute(std::uint16_t port);
  std::uint64_t StoreCalls() const;

  // True if all balancers that run are ready.
  bool AllReady() const;
  TimePoint LastOpeningAt(std::size_t server) const;
  // Events that processes reported, by name, since the start.
  std::uint64_t EventCount(FlowEventKind kind) const;

 private:
  class Impl;
  Link link;
  bool traffic = true;
  std::unique_ptr<Impl> impl;
};

}  // namespace cactuscross::testing

#endif  // CACTUSCROSS_TESTS_SUPPORT_FLOW_SIMULATION_H_
