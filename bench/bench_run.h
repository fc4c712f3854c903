#ifndef CACTUSCROSS_BENCH_BENCH_RUN_H_
#define CACTUSCROSS_BENCH_BENCH_RUN_H_

// Simulates the callers, balancers, agents and servers of one site under one
// case and one routing policy, in logical time.

#include <array>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <boost/random/mersenne_twister.hpp>

#include "bench/run_metrics.h"
#include "bench/site.h"
#include "tests/support/cluster.h"

namespace cactuscross::bench {

class BenchRun;

// The load of a case and the steps that are run during it. A null step is
// skipped.
struct BenchCase {
  std::string_view name;
  double load = 0.8;               // fraction of the capacity of all slots
  bool is_planned_change = false;  // no request or session may break
  void (*prepare)(BenchRun& run) = nullptr;  // before the first process starts
  // Runs after a quarter of the measurement.
  void (*event)(BenchRun& run) = nullptr;
  // Runs after half of the measurement.
  void (*second_event)(BenchRun& run) = nullptr;
  std::string_view description;
};

gsl::span<const BenchCase> BenchCases();

// Durations of the phases of a run, and the divisor of the site's number of
// sessions.
struct RunScale {
  Duration warm_up{std::chrono::seconds(10)};
  Duration measurement{std::chrono::seconds(24)};
  std::uint32_t session_divisor = 1;
};

struct RunPlan {
  const Site* site = nullptr;
  const BenchCase* bench_case = nullptr;
  std::string policy;
  std::uint64_t seed = 1;
  RunScale scale;
};

class BenchRun {
 public:
  explicit BenchRun(const RunPlan& plan);

  RunMetrics Execute();

  // The following functions are for the steps of cases. Those that concern
  // servers apply to the first service; its servers are numbered from 0.
  testing::Cluster& GetCluster() { return this->cluster; }
  static std::uint32_t FirstBalancer();
  static std::uint32_t ServerNode(std::uint32_t index);
  void SetSlowdown(std::uint32_t node, double factor);
  void MarkLeaving(std::uint32_t node);  // in the contract
  void StopProcess(std::uint32_t node);  // graceful shutdown
  void RemoveFromContract(std::uint32_t node);
  // Adds a server that reports that it is starting for `duration` and is slower
  // by `factor` during that time.
  void AddWarmingServer(Duration duration, double factor);
  // Makes one caller of each service send this fraction of the requests, in
  // addition to its regular ones.
  void SetCallerSkew(double share) { this->single_caller_share = share; }
  // Makes balancers receive loads that are up to `delay` old: the load that an
  // agent advertises is refreshed once per `delay`.
  void SetLoadDelay(Duration delay) { this->load_delay = delay; }
  // Makes the load reports and health responses of this server claim that it is
  // idle.
  void SetFalselyIdle(std::uint32_t node) { this->falsely_idle_node = node; }

 private:
  struct ServiceState {
    const SiteService* service = nullptr;
    std::string full_name;
    Endpoint address;
    std::uint32_t next_node = 0;
    std::vector<std::uint32_t> nodes;  // listed in the contract
    std::set<std::uint32_t> leaving;
    std::vector<std::size_t> callers;
    double arrivals_per_second = 0;
  };

  // The load of an agent as last advertised to balancers.
  struct AdvertisedLoad {
    TimePoint recorded_at{Duration(0)};
    LoadReport load;
  };

  void StartFleet();
  std::string ZoneName(std::uint32_t number) const;
  std::uint32_t AddServer(ServiceState& state);
  Duration DrawServiceTime(std::uint32_t node,
                           const SiteService& service,
                           const ServerCall& call);
  void Publish();
  ContractService MakeContractService(const ServiceState& state) const;
  void OpenSessions();
  void ScheduleArrival(ServiceState& state, TimePoint end);
  void SendRequest(ServiceState& state);
  void ScheduleDataChange(TimePoint end);
  void ScheduleEvent(TimePoint time, void (*event)(BenchRun& run));
  void FalsifyLoadReport(PeerEnvelope& envelope);
  void RecordSample(bool after_recovery);
  static double OpenSessionCount(const Agent& agent);
  RunMetrics Collect(TimePoint begin, TimePoint recovery_end);
  void CollectRequest(const testing::CallerRequest& request,
                      const ServiceState& state,
                      RequestMetrics& request_metrics,
                      RunMetrics& metrics,
                      TimePoint begin,
                      TimePoint recovery_end);
  void CollectSessions(RunMetrics& metrics);
  void CollectExecutions(RunMetrics& metrics);

  RunPlan plan;
  testing::Cluster cluster;
  boost::random::mt19937_64 arrival_random;
  boost::random::mt19937_64 service_random;
  std::array<ServiceState, 2> states;
  std::vector<std::size_t> session_callers;
  std::map<std::uint32_t, double> slowdown_factors;
  std::uint64_t next_request = 1;
  double single_caller_share = 0;
  Duration load_delay{0};
  std::uint32_t falsely_idle_node = 0;
  std::map<NodeId, AdvertisedLoad> advertised_loads;
  std::vector<Imbalance> samples;
  std::vector<Imbalance> post_recovery_samples;
};

}  // namespace cactuscross::bench

#endif  // CACTUSCROSS_BENCH_BENCH_RUN_H_
