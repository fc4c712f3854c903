#ifndef CACTUSCROSS_BENCH_RUN_METRICS_H_
#define CACTUSCROSS_BENCH_RUN_METRICS_H_

// What one run of the bench measured.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cactuscross::bench {

// Requests of one service, or of both.
struct RequestMetrics {
  std::uint64_t requests = 0;
  std::uint64_t answered = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;  // neither answered nor refused, safe to repeat
  std::uint64_t unknown_outcome = 0;     // outcome unknown
  std::vector<double> latencies_ms;      // of answered requests
  std::vector<double> refusal_times_ms;  // of refused requests
};

// Highest over mean of the servers that take new work; a mean over samples.
struct Imbalance {
  double busy_slots = 1;
  double sessions = 1;
};

struct RunMetrics {
  std::string site;
  std::string bench_case;
  std::string policy;
  RequestMetrics main_service;  // the service with POSTs and sessions
  RequestMetrics read_service;  // the service with large answers
  double seconds = 0;           // of measurement
  std::uint64_t sessions = 0;
  std::uint64_t broken_sessions = 0;
  std::uint64_t unopened_sessions = 0;
  Imbalance imbalance;
  // From 10 s after the case's event on; absent in a short run.
  std::optional<Imbalance> post_recovery_imbalance;
  std::uint64_t post_recovery_failures = 0;  // requests
  double retries_per_request = 0;            // by the system, per request
  // Must be zero in every run.
  std::uint64_t duplicate_executions = 0;     // POSTs run more than once
  std::uint64_t executed_though_refused = 0;  // run, though refused as not run
  std::uint64_t wrong_answers = 0;            // of another service or request
};

// Returns the quantile of `samples`; 0 if there are none.
double Quantile(const std::vector<double>& samples, double probability);

double Goodput(const RunMetrics& metrics);  // answers a second, both services

// Sessions broken, requests cut or with unknown outcome, per million flows.
double BrokenPerMillion(const RunMetrics& metrics);

// True where nothing ran that must not have, and no answer went astray.
bool IsSafe(const RunMetrics& metrics);

}  // namespace cactuscross::bench

#endif  // CACTUSCROSS_BENCH_RUN_METRICS_H_
