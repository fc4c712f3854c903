// The cases of the bench, as rows.

#include <array>

#include "bench/bench_run.h"

namespace cactuscross::bench {
namespace {

using std::chrono::seconds;

constexpr double kSlowFactor = 5;
constexpr double kColdFactor = 3;
constexpr Duration kColdTime = seconds(3);
constexpr Duration kStopAfterRemoval = seconds(3);
constexpr Duration kLoadLag = seconds(5);
constexpr double kSkewedShare = 0.3;

void SlowServer(BenchRun& run) {
  run.SetSlow(BenchRun::ServerNode(0), kSlowFactor);
}

void RemoveServer(BenchRun& run) {
  run.Remove(BenchRun::ServerNode(6));
}

void DrainServer(BenchRun& run) {
  run.JoinCold(kColdTime, kColdFactor);
  run.Leave(BenchRun::ServerNode(1));
}

void StopDrained(BenchRun& run) {
  run.Stop(BenchRun::ServerNode(1));
}

void RemoveDrained(BenchRun& run) {
  run.Remove(BenchRun::ServerNode(1));
  run.GetCluster().GetLink().Schedule(
      kStopAfterRemoval, [&run] { run.Stop(BenchRun::ServerNode(1)); });
}

void StopBalancer(BenchRun& run) {
  run.Stop(BenchRun::FirstBalancer());
  run.GetCluster().SetSprayTarget(BenchRun::FirstBalancer(), false);
}

void LoseBalancer(BenchRun& run) {
  run.GetCluster().Kill(BenchRun::FirstBalancer());
}

// The fabric learns of a lost balancer later than the fleet.
void UnsprayBalancer(BenchRun& run) {
  run.GetCluster().SetSprayTarget(BenchRun::FirstBalancer(), false);
}

void LagLoad(BenchRun& run) {
  run.SetLoadLag(kLoadLag);
}

void LieAboutLoad(BenchRun& run) {
  run.SetLying(BenchRun::ServerNode(0));
}

void SkewCallers(BenchRun& run) {
  run.SkewTo(kSkewedShare);
}

constexpr BenchCase Load(std::string_view name, double load) {
  return {name, load, false, nullptr, nullptr, nullptr, "load alone"};
}

constexpr double kUsualLoad = 0.8;

constexpr std::array kCases = {
    Load("load60", 0.6),
    Load("load80", kUsualLoad),
    Load("load95", 0.95),
    Load("load100", 1.0),
    Load("load120", 1.2),
    Load("load200", 2.0),
    BenchCase{"slow", kUsualLoad, false, nullptr, &SlowServer, nullptr,
              "one server becomes 5 times slower"},
    BenchCase{"removed", kUsualLoad, false, nullptr, &RemoveServer, nullptr,
              "one server taken out: the measure for the case `slow`"},
    BenchCase{"drain", kUsualLoad, true, nullptr, &DrainServer, &StopDrained,
              "one server leaves, a cold one joins; the agent is stopped"},
    BenchCase{"drain_removed", kUsualLoad, true, nullptr, &DrainServer,
              &RemoveDrained,
              "the same, but taken from the contract before the stop"},
    BenchCase{"balancer_stop", kUsualLoad, true, nullptr, &StopBalancer,
              nullptr, "a balancer is stopped"},
    BenchCase{"balancer_lost", kUsualLoad, false, nullptr, &LoseBalancer,
              &UnsprayBalancer, "a balancer dies; the fabric learns it late"},
    BenchCase{"stale_load", kUsualLoad, false, &LagLoad, nullptr, nullptr,
              "balancers learn loads 5 s late"},
    BenchCase{"lying_load", kUsualLoad, false, &LieAboutLoad, nullptr, nullptr,
              "one server claims to be idle"},
    BenchCase{"skewed", kUsualLoad, false, &SkewCallers, nullptr, nullptr,
              "30 % of requests come from one caller"},
};

}  // namespace

gsl::span<const BenchCase> BenchCases() {
  return kCases;
}

}  // namespace cactuscross::bench
