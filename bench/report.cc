#include "bench/report.h"

#include <algorithm>
#include <array>
#include <functional>
#include <iomanip>
#include <map>
#include <optional>

namespace cactuscross::bench {
namespace {

constexpr double kMedian = 0.5;
constexpr double kP99 = 0.99;

// One metric as a column of the table and of the CSV file.
struct Column {
  const char* name;
  int width;   // in characters, in the table
  int digits;  // after the decimal point
  double (*value)(const RunMetrics& metrics);
};

double P99(const RunMetrics& metrics) {
  return Quantile(metrics.main_service.latencies_ms, kP99);
}

double Ratio(std::uint64_t part, std::uint64_t whole) {
  return whole == 0 ? 0
                    : static_cast<double>(part) / static_cast<double>(whole);
}

std::vector<double> RefusalTimes(const RunMetrics& metrics) {
  std::vector<double> times = metrics.main_service.refusal_times_ms;
  times.insert(times.end(), metrics.read_service.refusal_times_ms.begin(),
               metrics.read_service.refusal_times_ms.end());
  return times;
}

double MaxRefusalTime(const RunMetrics& metrics) {
  const std::vector<double> times = RefusalTimes(metrics);
  return times.empty() ? 0 : *std::max_element(times.begin(), times.end());
}

double PostRecoveryBusyImbalance(const RunMetrics& metrics) {
  return metrics.post_recovery_imbalance.value_or(Imbalance{0, 0}).busy_slots;
}

double PostRecoverySessionImbalance(const RunMetrics& metrics) {
  return metrics.post_recovery_imbalance.value_or(Imbalance{0, 0}).sessions;
}

constexpr std::array kColumns = {
    Column{"broken_per_million", 9, 0, &BrokenPerMillion},
    Column{"sessions_broken", 9, 0,
           [](const RunMetrics& metrics) {
             return static_cast<double>(metrics.broken_sessions);
           }},
    Column{"cut", 6, 0,
           [](const RunMetrics& metrics) {
             return static_cast<double>(metrics.main_service.failed +
                                        metrics.read_service.failed);
           }},
    Column{"unknown", 7, 0,
           [](const RunMetrics& metrics) {
             return static_cast<double>(metrics.main_service.unknown_outcome +
                                        metrics.read_service.unknown_outcome);
           }},
    Column{
        "busy_max_over_mean", 6, 3,
        [](const RunMetrics& metrics) { return metrics.imbalance.busy_slots; }},
    Column{
        "sessions_max_over_mean", 6, 3,
        [](const RunMetrics& metrics) { return metrics.imbalance.sessions; }},
    Column{"late_busy_max_over_mean", 6, 3, &PostRecoveryBusyImbalance},
    Column{"late_sessions_max_over_mean", 6, 3, &PostRecoverySessionImbalance},
    Column{"goodput_per_s", 7, 0, &Goodput},
    Column{"p50_ms", 7, 0,
           [](const RunMetrics& metrics) {
             return Quantile(metrics.main_service.latencies_ms, kMedian);
           }},
    Column{"p99_ms", 7, 0, &P99},
    Column{"p99_reads_ms", 7, 0,
           [](const RunMetrics& metrics) {
             return Quantile(metrics.read_service.latencies_ms, kP99);
           }},
    Column{"refused_share", 7, 3,
           [](const RunMetrics& metrics) {
             return Ratio(
                 metrics.main_service.refused + metrics.read_service.refused,
                 metrics.main_service.requests + metrics.read_service.requests);
           }},
    Column{"refusal_p99_ms", 7, 0,
           [](const RunMetrics& metrics) {
             return Quantile(RefusalTimes(metrics), kP99);
           }},
    Column{"refusal_longest_ms", 7, 0, &MaxRefusalTime},
    Column{
        "repeats_per_request", 7, 4,
        [](const RunMetrics& metrics) { return metrics.retries_per_request; }},
    Column{"sessions_unopened", 6, 0,
           [](const RunMetrics& metrics) {
             return static_cast<double>(metrics.unopened_sessions);
           }},
    Column{"unsafe", 6, 0,
           [](const RunMetrics& metrics) {
             return static_cast<double>(metrics.duplicate_executions +
                                        metrics.executed_though_refused +
                                        metrics.wrong_answers);
           }},
};

// Widths of the first columns of the table, in characters.
constexpr int kSiteColumnWidth = 10;
constexpr int kCaseColumnWidth = 15;
constexpr int kPolicyColumnWidth = 12;

const Site& FindSite(const std::string& customer) {
  const auto sites = Sites();
  return *std::find_if(
      sites.begin(), sites.end(),
      [&customer](const Site& site) { return site.customer == customer; });
}

// Broken flows per million, and imbalance in excess of 1, from which on the
// respective part of the penalty is 1.
constexpr double kFullPenaltyBrokenPerMillion = 1000;
constexpr double kFullPenaltyImbalance = 1;

double Penalty(const RunMetrics& metrics) {
  const ScoreWeights& weights = FindSite(metrics.site).weights;
  const double imbalance =
      (metrics.imbalance.busy_slots + metrics.imbalance.sessions) / 2 - 1;
  return weights.broken_flows *
             std::min(1.0, BrokenPerMillion(metrics) /
                               kFullPenaltyBrokenPerMillion) +
         weights.imbalance * std::min(1.0, imbalance / kFullPenaltyImbalance);
}

// The results of one site and policy by case.
class CaseSet {
 public:
  CaseSet(const std::vector<RunMetrics>& results,
          std::string_view site,
          const std::string& policy) {
    for (const RunMetrics& metrics : results) {
      if (metrics.site == site && metrics.policy == policy) {
        this->by_case[metrics.bench_case] = &metrics;
      }
    }
  }

  const RunMetrics* Find(const std::string& bench_case) const {
    const auto found = this->by_case.find(bench_case);
    return found == this->by_case.end() ? nullptr : found->second;
  }

 private:
  std::map<std::string, const RunMetrics*> by_case;
};

// A bound for a metric of one case. With a baseline case, the bound applies to
// the ratio between the two cases.
struct Target {
  const char* text;
  const char* bench_case;
  const char* baseline_case;  // nullptr: no ratio
  double (*value)(const RunMetrics& metrics);
  bool is_lower_bound;
  double bound;
  bool is_post_recovery = false;  // skipped if the run is too short
};

// Returns the number of sessions that broke and of requests that failed or have
// an unknown outcome.
double BrokenFlows(const RunMetrics& metrics) {
  return static_cast<double>(
      metrics.broken_sessions + metrics.main_service.failed +
      metrics.main_service.unknown_outcome + metrics.read_service.failed +
      metrics.read_service.unknown_outcome);
}

double PostRecoveryFailures(const RunMetrics& metrics) {
  return static_cast<double>(metrics.post_recovery_failures);
}

double BusyImbalance(const RunMetrics& metrics) {
  return metrics.imbalance.busy_slots;
}

double SessionImbalance(const RunMetrics& metrics) {
  return metrics.imbalance.sessions;
}

double RetriesPerRequest(const RunMetrics& metrics) {
  return metrics.retries_per_request;
}

constexpr std::array kTargets = {
    Target{"broken flows, server drained", "drain", nullptr, &BrokenFlows,
           false, 0},
    Target{"broken flows, server drained and removed", "drain_removed", nullptr,
           &BrokenFlows, false, 0},
    Target{"broken flows, balancer stopped", "balancer_stop", nullptr,
           &BrokenFlows, false, 0},
    Target{"sessions max/mean at 80 % load", "load80", nullptr,
           &SessionImbalance, false, 1.10},
    Target{"busy slots max/mean at 80 % load", "load80", nullptr,
           &BusyImbalance, false, 1.25},
    Target{"goodput at 200 % load relative to 100 %", "load200", "load100",
           &Goodput, true, 0.95},
    Target{"longest time to refusal at 200 % load, ms", "load200", nullptr,
           &MaxRefusalTime, false, 50},
    Target{"p99 at 200 % load relative to 80 %", "load200", "load80", &P99,
           false, 3},
    Target{"p99 with a slow server relative to one server removed", "slow",
           "removed", &P99, false, 2},
    Target{"retries per request with a slow server", "slow", nullptr,
           &RetriesPerRequest, false, 0.10},
    Target{"retries per request at 200 % load", "load200", nullptr,
           &RetriesPerRequest, false, 0.10},
    Target{"requests broken, from 10 s after a balancer failure on",
           "balancer_lost", nullptr, &PostRecoveryFailures, false, 0, true},
    Target{"busy slots max/mean, from 10 s after a balancer failure on",
           "balancer_lost", nullptr, &PostRecoveryBusyImbalance, false, 1.25,
           true},
    Target{"sessions max/mean, from 10 s after a balancer failure on",
           "balancer_lost", nullptr, &PostRecoverySessionImbalance, false, 1.10,
           true},
};

std::optional<double> Evaluate(const Target& target, const CaseSet& cases) {
  const RunMetrics* metrics = cases.Find(target.bench_case);
  if (metrics == nullptr ||
      (target.is_post_recovery && !metrics->post_recovery_imbalance)) {
    return std::nullopt;
  }
  const double value = target.value(*metrics);
  if (target.baseline_case == nullptr) {
    return value;
  }
  const RunMetrics* baseline = cases.Find(target.baseline_case);
  if (baseline == nullptr || target.value(*baseline) <= 0) {
    return std::nullopt;
  }
  return value / target.value(*baseline);
}

void PrintTarget(const Target& target,
                 const CaseSet& cases,
                 std::ostream& out) {
  const std::optional<double> value = Evaluate(target, cases);
  if (!value) {
    return;
  }
  const bool met =
      target.is_lower_bound ? *value >= target.bound : *value <= target.bound;
  out << "  " << (met ? "met   " : "MISSED") << "  " << target.text << ": "
      << std::setprecision(3) << *value << " ("
      << (target.is_lower_bound ? "at least " : "at most ")
      << std::setprecision(2) << target.bound << ")\n";
}

std::vector<std::string> ListPolicies(const std::vector<RunMetrics>& results) {
  std::vector<std::string> policies;
  for (const RunMetrics& metrics : results) {
    if (std::find(policies.begin(), policies.end(), metrics.policy) ==
        policies.end()) {
      policies.push_back(metrics.policy);
    }
  }
  return policies;
}

}  // namespace

void PrintTable(const std::vector<RunMetrics>& results, std::ostream& out) {
  out << "Columns:";
  for (std::size_t i = 0; i < kColumns.size(); ++i) {
    out << " " << i + 1 << " " << kColumns[i].name;
  }
  out << "\n"
      << std::left << std::setw(kSiteColumnWidth) << "site"
      << std::setw(kCaseColumnWidth) << "case" << std::setw(kPolicyColumnWidth)
      << "policy" << std::right;
  for (std::size_t i = 0; i < kColumns.size(); ++i) {
    out << std::setw(kColumns[i].width) << i + 1;
  }
  out << "\n" << std::fixed;
  for (const RunMetrics& metrics : results) {
    out << std::left << std::setw(kSiteColumnWidth) << metrics.site
        << std::setw(kCaseColumnWidth) << metrics.bench_case
        << std::setw(kPolicyColumnWidth) << metrics.policy << std::right;
    for (const Column& column : kColumns) {
      out << std::setw(column.width) << std::setprecision(column.digits)
          << column.value(metrics);
    }
    out << "\n";
  }
}

void PrintScores(const std::vector<RunMetrics>& results, std::ostream& out) {
  out << "\nPenalty, mean over cases (0 best, 1 worst): weighted sum of broken "
         "flows (full penalty from "
      << std::setprecision(0) << kFullPenaltyBrokenPerMillion
      << " per million on) and the mean of both imbalances (full penalty from "
      << 1 + kFullPenaltyImbalance << " on)\n";
  for (const Site& site : Sites()) {
    out << site.customer << " (broken flows " << std::setprecision(1)
        << site.weights.broken_flows << ", imbalance " << site.weights.imbalance
        << "):\n";
    for (const std::string& policy : ListPolicies(results)) {
      double sum = 0;
      int cases = 0;
      for (const RunMetrics& metrics : results) {
        if (metrics.site == site.customer && metrics.policy == policy) {
          sum += Penalty(metrics);
          ++cases;
        }
      }
      out << "  " << std::left << std::setw(kPolicyColumnWidth) << policy
          << std::right << std::setprecision(4)
          << (cases == 0 ? 0 : sum / cases) << "\n";
    }
  }
}

void PrintTargets(const std::vector<RunMetrics>& results,
                  const std::string& policy,
                  std::ostream& out) {
  for (const Site& site : Sites()) {
    const CaseSet cases(results, site.customer, policy);
    out << "\nTargets, " << site.customer << ", policy " << policy << ":\n";
    for (const Target& target : kTargets) {
      PrintTarget(target, cases, out);
    }
  }
}

void WriteCsv(const std::vector<RunMetrics>& results, std::ostream& out) {
  out << "site,case,policy";
  for (const Column& column : kColumns) {
    out << "," << column.name;
  }
  out << "\n" << std::fixed;
  for (const RunMetrics& metrics : results) {
    out << metrics.site << "," << metrics.bench_case << "," << metrics.policy;
    for (const Column& column : kColumns) {
      out << "," << std::setprecision(column.digits) << column.value(metrics);
    }
    out << "\n";
  }
}

void WritePlotScript(std::ostream& out) {
  out << "set datafile separator ','\n"
         "set terminal pngcairo size 1400,900\n"
         "set output 'bench.png'\n"
         "set style data histograms\n"
         "set style fill solid 0.6\n"
         "set xtics rotate by -60\n"
         "set key off\n"
         "set multiplot layout 2,1\n"
         "set title 'Imbalance: busy slots, max over mean'\n"
         "plot 'bench.csv' skip 1 using 8:xtic(strcol(1).' '.strcol(2).' '."
         "strcol(3))\n"
         "set title 'Broken flows per million'\n"
         "plot 'bench.csv' skip 1 using 4:xtic(strcol(1).' '.strcol(2).' '."
         "strcol(3))\n"
         "unset multiplot\n";
}

}  // namespace cactuscross::bench
