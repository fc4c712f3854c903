#ifndef CACTUSCROSS_BENCH_RUN_METRICS_H_
#define CACTUSCROSS_BENCH_RUN_METRICS_H_

// Results of one run of the policy benchmark.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cactuscross::bench {

// Requests to one service, counted by outcome.
struct RequestMetrics {
  std::uint64_t requests = 0;
  std::uint64_t answered = 0;
  std::uint64_t refused = 0;
  // Neither answered nor refused nor reported as of unknown outcome (E301).
  std::uint64_t failed = 0;
  std::uint64_t unknown_outcome = 0;
  std::vector<double> latencies_ms;      // of answered requests
  std::vector<double> refusal_times_ms;  // of refused requests
};

// Maximum divided by mean over the servers that accept new work, averaged over
// the samples of a run.
struct Imbalance {
  double busy_slots = 1;
  double sessions = 1;
};

struct RunMetrics {
  std::string site;
  std::string bench_case;
  std::string policy;
  RequestMetrics main_service;  // the service with POSTs and sessions
  RequestMetrics read_service;  // the service with GETs of large bodies
  double seconds = 0;           // length of the measurement
  std::uint64_t sessions = 0;
  std::uint64_t broken_sessions = 0;
  std::uint64_t unopened_sessions = 0;  // never received a notification
  Imbalance imbalance;
  // Imbalance from 10 s after the event of the case on. Absent if the run ends
  // earlier.
  std::optional<Imbalance> post_recovery_imbalance;
  // Requests started 10 s after that event or later that failed or have an
  // unknown outcome.
  std::uint64_t post_recovery_failures = 0;
  // Executions of a request beyond the first one (retries by the system), per
  // executed request.
  double retries_per_request = 0;
  // The following counts must be zero in every run.
  std::uint64_t duplicate_executions = 0;  // POSTs executed more than once
  // POSTs refused as not run, but executed.
  std::uint64_t executed_though_refused = 0;
  std::uint64_t wrong_answers = 0;  // of another service or request
};

// Returns the exact quantile of `samples`, or 0 if there are none.
double Quantile(const std::vector<double>& samples, double probability);

// Returns the answered requests per second of both services.
double Goodput(const RunMetrics& metrics);

// Returns the broken sessions, failed requests and requests with unknown
// outcome per million sessions and requests.
double BrokenPerMillion(const RunMetrics& metrics);

// Returns true if no POST was executed twice or although it was refused, and
// every answer belongs to its request.
bool IsSafe(const RunMetrics& metrics);

}  // namespace cactuscross::bench

#endif  // CACTUSCROSS_BENCH_RUN_METRICS_H_
