// Policy benchmark: runs every selected case for every site and selected
// policy, and reports the results.

#include <algorithm>
#include <atomic>
#include <fstream>
#include <iostream>
#include <thread>

#include <boost/program_options.hpp>

#include "bench/bench_run.h"
#include "bench/report.h"
#include "cactuscross/policy.h"

namespace {

namespace po = boost::program_options;
using cactuscross::bench::BenchCase;
using cactuscross::bench::BenchRun;
using cactuscross::bench::RunMetrics;
using cactuscross::bench::RunPlan;
using cactuscross::bench::RunScale;
using cactuscross::bench::Site;

struct BenchOptions {
  std::uint64_t seed = 1;
  unsigned jobs = 1;
  bool quick = false;
  std::vector<std::string> policies;
  std::vector<std::string> cases;
  std::string folder;
};

// The quick variant runs few cases for a short time with one 20th of the
// sessions and only the default policy.
constexpr RunScale kQuickScale{std::chrono::seconds(9), std::chrono::seconds(4),
                               20};
constexpr const char* kQuickCases[] = {"load80", "drain", "balancer_lost"};

// Throws po::error if the command line is invalid.
BenchOptions ParseOptions(int argc, char** argv) {
  po::options_description options("Policy benchmark");
  BenchOptions parsed;
  options.add_options()("help,h", "print this help");
  options.add_options()("seed", po::value(&parsed.seed)->default_value(1));
  options.add_options()("jobs", po::value(&parsed.jobs)->default_value(2),
                        "number of concurrent runs");
  options.add_options()("quick", po::bool_switch(&parsed.quick),
                        "run few cases with few sessions, default policy only");
  options.add_options()("policy", po::value(&parsed.policies)->multitoken(),
                        "names of policies to run; default: all");
  options.add_options()("case", po::value(&parsed.cases)->multitoken(),
                        "names of cases to run; default: all");
  options.add_options()("out", po::value(&parsed.folder),
                        "directory to write bench.csv and bench.gp to");
  po::variables_map values;
  po::store(po::parse_command_line(argc, argv, options), values);
  po::notify(values);
  if (values.count("help") > 0) {
    std::cout << options;
    std::exit(0);
  }
  if (parsed.quick && parsed.cases.empty()) {
    parsed.cases.assign(std::begin(kQuickCases), std::end(kQuickCases));
  }
  if (parsed.quick && parsed.policies.empty()) {
    parsed.policies = {std::string(cactuscross::kDefaultPolicy)};
  }
  return parsed;
}

bool IsSelected(const std::vector<std::string>& selected,
                std::string_view name) {
  return selected.empty() ||
         std::find(selected.begin(), selected.end(), name) != selected.end();
}

std::vector<RunPlan> MakePlans(const BenchOptions& options) {
  std::vector<RunPlan> plans;
  for (const Site& site : cactuscross::bench::Sites()) {
    for (const BenchCase& bench_case : cactuscross::bench::BenchCases()) {
      for (const auto& policy : cactuscross::RoutingPolicies()) {
        if (IsSelected(options.cases, bench_case.name) &&
            IsSelected(options.policies, policy.name)) {
          plans.push_back({&site, &bench_case, std::string(policy.name),
                           options.seed,
                           options.quick ? kQuickScale : RunScale()});
        }
      }
    }
  }
  return plans;
}

// Runs share no state, so their order and concurrency don't affect the results.
std::vector<RunMetrics> RunAll(const std::vector<RunPlan>& plans,
                               unsigned jobs) {
  std::vector<RunMetrics> results(plans.size());
  std::atomic<std::size_t> next{0};
  const auto run_plans = [&] {
    for (std::size_t i = next++; i < plans.size(); i = next++) {
      results[i] = BenchRun(plans[i]).Execute();
    }
  };
  std::vector<std::thread> threads;
  for (unsigned i = 0; i < std::max(1U, jobs); ++i) {
    threads.emplace_back(run_plans);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return results;
}

}  // namespace

int main(int argc, char** argv) {
  BenchOptions options;
  try {
    options = ParseOptions(argc, argv);
  } catch (const po::error& error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
  const std::vector<RunMetrics> results =
      RunAll(MakePlans(options), options.jobs);
  cactuscross::bench::PrintTable(results, std::cout);
  cactuscross::bench::PrintScores(results, std::cout);
  cactuscross::bench::PrintTargets(
      results, std::string(cactuscross::kDefaultPolicy), std::cout);
  if (!options.folder.empty()) {
    std::ofstream csv(options.folder + "/bench.csv");
    cactuscross::bench::WriteCsv(results, csv);
    std::ofstream script(options.folder + "/bench.gp");
    cactuscross::bench::WritePlotScript(script);
  }
  const bool safe =
      std::all_of(results.begin(), results.end(), cactuscross::bench::IsSafe);
  std::cout << (safe ? "\nsafe: no request was executed twice or although "
                       "refused, and every answer belongs to its request\n"
                     : "\nUNSAFE: see the last column of the table\n");
  return safe ? 0 : 1;
}
