#ifndef CACTUSCROSS_SRC_CORE_COMMON_METRIC_SET_H_
#define CACTUSCROSS_SRC_CORE_COMMON_METRIC_SET_H_

// Metrics of one process: counters by name and label, and distributions
// (Boost.Accumulators).

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include "cactuscross/observation.h"

namespace cactuscross {

// Count, sum, median and 99th percentile of a stream of values.
class Distribution {
 public:
  Distribution();
  void Add(double value);
  // Appends "<name>_count", "<name>_sum" and two quantiles.
  void AppendTo(std::string_view name, std::vector<MetricSample>& out) const;

 private:
  using Quantile = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::p_square_quantile>>;
  boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::count,
                                 boost::accumulators::tag::sum>>
      totals;
  Quantile median;
  Quantile p99;
};

class MetricSet {
 public:
  // Adds `amount` to counter `name` with label `key`="`value`".
  void Count(std::string_view name,
             std::string_view key = {},
             std::string_view value = {},
             std::uint64_t amount = 1);
  std::uint64_t Get(std::string_view name, std::string_view value = {}) const;

  // Adds one value to distribution `name`.
  void Observe(std::string_view name, double value);

  void AppendTo(std::vector<MetricSample>& out) const;

 private:
  struct Counter {
    std::string key;
    std::uint64_t total = 0;
  };
  std::map<std::pair<std::string, std::string>, Counter> counters;
  std::map<std::string, Distribution, std::less<>> distributions;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_COMMON_METRIC_SET_H_
