#ifndef CACTUSCROSS_SRC_CLI_PROMETHEUS_TEXT_H_
#define CACTUSCROSS_SRC_CLI_PROMETHEUS_TEXT_H_

// Parses the Prometheus text format of /metrics.

#include <string>
#include <string_view>
#include <vector>

namespace cactuscross {

// One sample: the metric's name with labels, and its value.
struct MetricLine {
  std::string name;
  double value = 0;
  bool is_counter = false;  // according to the preceding TYPE line
};

// Returns the samples in the order of the text. Lines that are not valid
// samples are skipped.
std::vector<MetricLine> ParsePrometheusText(std::string_view text);

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CLI_PROMETHEUS_TEXT_H_
