// Compares the admission policies of the flow path, newest first against
// priority and deadline, on a model of one service, and measures the time of a
// balancer's tick while thousands of openings wait. Prints Markdown tables.

#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

#include "tests/support/admission_model.h"
#include "tests/support/loaded_balancer.h"

namespace cactuscross::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// 12 slots at 30 ms complete 400 requests per second.
constexpr std::uint32_t kSlots = 12;
constexpr double kCapacity = 400;
constexpr std::uint64_t kSeeds = 5;
constexpr double kLateValue = 0.3;  // of the value of an answer in time
constexpr std::uint32_t kServers = 44;

AdmissionLoad MakeLoad(std::uint32_t priority,
                       double load,
                       Duration begin,
                       Duration end) {
  AdmissionLoad made;
  made.priority = priority;
  made.per_second = load * kCapacity;
  made.begin = begin;
  made.end = end;
  if (priority == 1) {
    made.latency_target = milliseconds(250);
    made.time_limit = milliseconds(1500);
  }
  return made;
}

struct Case {
  std::string name;
  std::vector<std::string> kinds;
  std::vector<AdmissionLoad> loads;
};

std::vector<Case> MakeCases() {
  AdmissionLoad patient = MakeLoad(2, 0.375, {}, seconds(10));
  patient.latency_target = milliseconds(800);
  patient.time_limit = seconds(8);
  AdmissionLoad others = MakeLoad(2, 0.9, {}, seconds(10));
  others.callers = 300;
  AdmissionLoad greedy = MakeLoad(2, 0.83, seconds(2), seconds(8));
  greedy.first_caller = 1000;
  greedy.callers = 1;
  AdmissionLoad back = MakeLoad(2, 0.7, {}, seconds(8));
  back.at_once = 1440;
  AdmissionLoad query_back = MakeLoad(1, 0.2, {}, seconds(8));
  query_back.at_once = 60;
  return {
      {"below the capacity",
       {"query", "feed"},
       {MakeLoad(1, 0.3, {}, seconds(10)), MakeLoad(2, 0.5, {}, seconds(10))}},
      {"burst of 2.5 times the capacity",
       {"query", "feed"},
       {MakeLoad(1, 0.75, {}, seconds(10)),
        MakeLoad(2, 1.75, seconds(2), seconds(7))}},
      {"patient and impatient, 1.12 times",
       {"impatient", "patient"},
       {MakeLoad(2, 0.75, {}, seconds(10)), patient}},
      {"one greedy caller", {"300 others", "greedy"}, {others, greedy}},
      {"return after a power loss", {"query", "feed"}, {query_back, back}},
      {"overload ends",
       {"overload", "after it"},
       {MakeLoad(2, 2.5, {}, seconds(3)),
        MakeLoad(2, 0.75, milliseconds(3200), seconds(8))}},
  };
}

void PrintCase(const Case& shown, bool by_priority) {
  std::vector<AdmissionTotals> sums(shown.loads.size());
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    AdmissionModel model(by_priority, kSlots, seed);
    const auto totals = model.Run(shown.loads, seconds(10));
    for (std::size_t kind = 0; kind < totals.size(); ++kind) {
      sums[kind].sent += totals[kind].sent;
      sums[kind].in_time += totals[kind].in_time;
      sums[kind].late += totals[kind].late;
      sums[kind].refused += totals[kind].refused;
      sums[kind].lost += totals[kind].lost;
      sums[kind].refused_after += totals[kind].refused_after;
    }
  }
  for (std::size_t kind = 0; kind < sums.size(); ++kind) {
    const AdmissionTotals& sum = sums[kind];
    const double sent = sum.sent;
    const double refused_after_ms =
        sum.refused == 0 ? 0
                         : static_cast<double>(sum.refused_after.count()) /
                               1000 / sum.refused;
    std::printf("| %s | %s | %s | %.3f | %.3f | %.3f | %.3f | %.0f | %.3f |\n",
                shown.name.c_str(), shown.kinds[kind].c_str(),
                by_priority ? "priority" : "newest", sum.in_time / sent,
                sum.late / sent, sum.refused / sent, sum.lost / sent,
                refused_after_ms, (sum.in_time + kLateValue * sum.late) / sent);
  }
}

// Mean time of a tick in microseconds.
double MeasureTick(bool by_priority, std::uint32_t waiting) {
  LoadedBalancer balancer(by_priority, kServers);
  balancer.ReportLoad(2 * kServerSlots);
  FlowBalancerInbox burst;
  for (std::uint32_t client = 1; client <= waiting; ++client) {
    FlowPacket& packet = burst.packets.emplace_back();
    packet.flow = {{client, 1}, client % 3 == 0 ? kQueryAddress : kFeedAddress};
    packet.opening = true;
  }
  balancer.Tick(burst);
  // Shorter than the wait after which openings are refused.
  constexpr int kTicks = 100;
  const auto begin = std::chrono::steady_clock::now();
  for (int i = 0; i < kTicks; ++i) {
    balancer.Tick({});
  }
  const std::chrono::duration<double, std::micro> elapsed =
      std::chrono::steady_clock::now() - begin;
  return elapsed.count() / kTicks;
}

void PrintAll() {
  std::printf(
      "| load | requests | policy | in time | late | refused | lost | mean ms "
      "until refusal | value |\n| --- | --- | --- | --- | --- | --- | --- | "
      "--- | --- |\n");
  for (const Case& shown : MakeCases()) {
    PrintCase(shown, false);
    PrintCase(shown, true);
  }
  std::printf(
      "\n| waiting openings | newest, us | priority, us |\n"
      "| --- | --- | --- |\n");
  for (const std::uint32_t waiting : {100U, 1000U, 4000U}) {
    std::printf("| %u | %.0f | %.0f |\n", waiting, MeasureTick(false, waiting),
                MeasureTick(true, waiting));
  }
}

}  // namespace
}  // namespace cactuscross::testing

int main() {
  cactuscross::testing::PrintAll();
  return 0;
}
