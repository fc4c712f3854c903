#include "bench/run_metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail_quantile.hpp>

namespace cactuscross::bench {

double Quantile(const std::vector<double>& samples, double probability) {
  namespace acc = boost::accumulators;
  if (samples.empty()) {
    return 0;
  }
  // The quantile is exact if the cache holds all samples.
  acc::accumulator_set<double, acc::stats<acc::tag::tail_quantile<acc::right>>>
      accumulator(acc::tag::tail<acc::right>::cache_size = samples.size());
  for (const double sample : samples) {
    accumulator(sample);
  }
  return acc::quantile(accumulator, acc::quantile_probability = probability);
}

double Goodput(const RunMetrics& metrics) {
  return static_cast<double>(metrics.main_service.answered +
                             metrics.read_service.answered) /
         metrics.seconds;
}

double BrokenPerMillion(const RunMetrics& metrics) {
  constexpr double kMillion = 1e6;
  const std::uint64_t broken =
      metrics.broken_sessions + metrics.main_service.failed +
      metrics.main_service.unknown_outcome + metrics.read_service.failed +
      metrics.read_service.unknown_outcome;
  const std::uint64_t flows = metrics.sessions + metrics.main_service.requests +
                              metrics.read_service.requests;
  return flows == 0 ? 0
                    : kMillion * static_cast<double>(broken) /
                          static_cast<double>(flows);
}

bool IsSafe(const RunMetrics& metrics) {
  return metrics.duplicate_executions == 0 &&
         metrics.executed_though_refused == 0 && metrics.wrong_answers == 0;
}

}  // namespace cactuscross::bench
