#include "src/core/common/metric_set.h"

namespace cactuscross {
namespace {

namespace acc = boost::accumulators;

constexpr double kMedian = 0.5;
constexpr double kP99 = 0.99;

}  // namespace

Distribution::Distribution()
    : median(acc::quantile_probability = kMedian),
      p99(acc::quantile_probability = kP99) {}

void Distribution::Add(double value) {
  this->totals(value);
  this->median(value);
  this->p99(value);
}

void Distribution::AppendTo(std::string_view name,
                            std::vector<MetricSample>& out) const {
  const std::string base(name);
  out.push_back({base + "_count", MetricKind::kCounter, "",
                 static_cast<double>(acc::count(this->totals))});
  out.push_back(
      {base + "_sum", MetricKind::kCounter, "", acc::sum(this->totals)});
  out.push_back({base, MetricKind::kGauge, "quantile=\"0.5\"",
                 acc::p_square_quantile(this->median)});
  out.push_back({base, MetricKind::kGauge, "quantile=\"0.99\"",
                 acc::p_square_quantile(this->p99)});
}

void MetricSet::Count(std::string_view name,
                      std::string_view key,
                      std::string_view value,
                      std::uint64_t amount) {
  Counter& counter = this->counters[{std::string(name), std::string(value)}];
  if (counter.total == 0) {
    counter.key = key;
  }
  counter.total += amount;
}

std::uint64_t MetricSet::Get(std::string_view name,
                             std::string_view value) const {
  const auto found =
      this->counters.find({std::string(name), std::string(value)});
  return found == this->counters.end() ? 0 : found->second.total;
}

void MetricSet::Observe(std::string_view name, double value) {
  auto found = this->distributions.find(name);
  if (found == this->distributions.end()) {
    found =
        this->distributions.emplace(std::string(name), Distribution()).first;
  }
  found->second.Add(value);
}

void MetricSet::AppendTo(std::vector<MetricSample>& out) const {
  for (const auto& [id, counter] : this->counters) {
    std::string labels;
    if (!counter.key.empty()) {
      labels = counter.key + "=\"" + id.second + "\"";
    }
    out.push_back({id.first, MetricKind::kCounter, labels,
                   static_cast<double>(counter.total)});
  }
  for (const auto& [name, distribution] : this->distributions) {
    distribution.AppendTo(name, out);
  }
}

}  // namespace cactuscross
