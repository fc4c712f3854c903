// Table of the cases of the policy benchmark and the steps that they run.

#include <array>

#include "bench/bench_run.h"

namespace cactuscross::bench {
namespace {

using std::chrono::seconds;

// Factors by which service times increase.
constexpr double kServerSlowdown = 5;
constexpr double kWarmupSlowdown = 3;
constexpr Duration kServerWarmupTime = seconds(3);
constexpr Duration kStopDelayAfterRemoval = seconds(3);
constexpr Duration kLoadDelay = seconds(5);
constexpr double kSingleCallerShare = 0.3;

void SlowServer(BenchRun& run) {
  run.SetSlowdown(BenchRun::ServerNode(0), kServerSlowdown);
}

void RemoveServer(BenchRun& run) {
  run.RemoveFromContract(BenchRun::ServerNode(6));
}

void DrainServer(BenchRun& run) {
  run.AddWarmingServer(kServerWarmupTime, kWarmupSlowdown);
  run.MarkLeaving(BenchRun::ServerNode(1));
}

void StopDrainedServer(BenchRun& run) {
  run.StopProcess(BenchRun::ServerNode(1));
}

void RemoveDrainedServer(BenchRun& run) {
  run.RemoveFromContract(BenchRun::ServerNode(1));
  run.GetCluster().GetLink().Schedule(kStopDelayAfterRemoval, [&run] {
    run.StopProcess(BenchRun::ServerNode(1));
  });
}

void StopBalancer(BenchRun& run) {
  run.StopProcess(BenchRun::FirstBalancer());
  run.GetCluster().SetSprayTarget(BenchRun::FirstBalancer(), false);
}

void KillBalancer(BenchRun& run) {
  run.GetCluster().Kill(BenchRun::FirstBalancer());
}

// The fabric detects a failed balancer later than the fleet does.
void StopSprayingToBalancer(BenchRun& run) {
  run.GetCluster().SetSprayTarget(BenchRun::FirstBalancer(), false);
}

void DelayLoadReports(BenchRun& run) {
  run.SetLoadDelay(kLoadDelay);
}

void ReportFalselyIdle(BenchRun& run) {
  run.SetFalselyIdle(BenchRun::ServerNode(0));
}

void SkewCallers(BenchRun& run) {
  run.SetCallerSkew(kSingleCallerShare);
}

constexpr BenchCase MakeLoadCase(std::string_view name, double load) {
  return {name, load, false, nullptr, nullptr, nullptr, "load only"};
}

constexpr double kDefaultLoad = 0.8;

constexpr std::array kCases = {
    MakeLoadCase("load60", 0.6),
    MakeLoadCase("load80", kDefaultLoad),
    MakeLoadCase("load95", 0.95),
    MakeLoadCase("load100", 1.0),
    MakeLoadCase("load120", 1.2),
    MakeLoadCase("load200", 2.0),
    BenchCase{"slow", kDefaultLoad, false, nullptr, &SlowServer, nullptr,
              "one server becomes 5 times slower"},
    BenchCase{"removed", kDefaultLoad, false, nullptr, &RemoveServer, nullptr,
              "one server removed; baseline of the case `slow`"},
    BenchCase{
        "drain", kDefaultLoad, true, nullptr, &DrainServer, &StopDrainedServer,
        "one server is drained, a warming one joins; the agent is stopped"},
    BenchCase{"drain_removed", kDefaultLoad, true, nullptr, &DrainServer,
              &RemoveDrainedServer,
              "as `drain`, but removed from the contract before the stop"},
    BenchCase{"balancer_stop", kDefaultLoad, true, nullptr, &StopBalancer,
              nullptr, "a balancer is stopped"},
    BenchCase{"balancer_lost", kDefaultLoad, false, nullptr, &KillBalancer,
              &StopSprayingToBalancer,
              "a balancer fails; the fabric detects it late"},
    BenchCase{"stale_load", kDefaultLoad, false, &DelayLoadReports, nullptr,
              nullptr, "loads that balancers receive are up to 5 s old"},
    BenchCase{"lying_load", kDefaultLoad, false, &ReportFalselyIdle, nullptr,
              nullptr, "one server always reports that it is idle"},
    BenchCase{"skewed", kDefaultLoad, false, &SkewCallers, nullptr, nullptr,
              "30 % of requests come from one caller"},
};

}  // namespace

gsl::span<const BenchCase> BenchCases() {
  return kCases;
}

}  // namespace cactuscross::bench
