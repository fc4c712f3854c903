#include "src/cli/prometheus_text.h"

#include <cstdlib>
#include <set>
#include <sstream>

namespace cactuscross {
namespace {

constexpr std::string_view kTypePrefix = "# TYPE ";
constexpr std::string_view kCounterSuffix = " counter";

// Returns the metric's name without labels.
std::string BaseName(const std::string& name) {
  return name.substr(0, name.find('{'));
}

}  // namespace

std::vector<MetricLine> ParsePrometheusText(std::string_view text) {
  std::vector<MetricLine> lines;
  std::set<std::string> counters;
  std::istringstream stream{std::string(text)};
  std::string line;
  while (std::getline(stream, line)) {
    const std::size_t type_end = line.rfind(kCounterSuffix);
    if (line.rfind(kTypePrefix, 0) == 0 && type_end != std::string::npos) {
      counters.insert(
          line.substr(kTypePrefix.size(), type_end - kTypePrefix.size()));
    }
    const std::size_t space = line.rfind(' ');
    if (line.empty() || line[0] == '#' || space == std::string::npos) {
      continue;
    }
    char* end = nullptr;
    const double value = std::strtod(line.c_str() + space, &end);
    if (end != line.c_str() + space) {
      const std::string name = line.substr(0, space);
      lines.push_back({name, value, counters.count(BaseName(name)) > 0});
    }
  }
  return lines;
}

}  // namespace cactuscross
