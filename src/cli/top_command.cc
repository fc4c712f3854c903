#include <chrono>
#include <iomanip>
#include <map>
#include <sstream>
#include <thread>

#include "src/cli/command.h"
#include "src/cli/http_get.h"
#include "src/cli/prometheus_text.h"

namespace cactuscross {
namespace {

namespace po = boost::program_options;

constexpr std::size_t kMinNameColumnWidth = 40;  // characters
constexpr int kNumberColumnWidth = 14;           // characters
constexpr char kClearScreen[] = "\x1b[H\x1b[2J";

constexpr char kDescription[] =
    "Shows the main metrics of a running process on one screen, with the rate\n"
    "of each counter since the previous screen. HOST:PORT is the `operations`\n"
    "address of the process. Metrics that are zero are omitted.";

using CounterValues = std::map<std::string, double>;

void AddOptions(CommandOptions& options) {
  options.add_options()("once", "print one screen and exit");
  options.add_options()("interval", po::value<unsigned>()->default_value(2),
                        "seconds between two screens");
  options.add_options()("rows", po::value<std::size_t>()->default_value(40),
                        "maximum number of metrics");
}

// Returns the width of the column of names, wide enough for the longest name.
int NameColumnWidth(const std::vector<MetricLine>& metrics) {
  std::size_t width = kMinNameColumnWidth;
  for (const MetricLine& metric : metrics) {
    width = std::max(width, metric.name.size());
  }
  return static_cast<int>(width);
}

// Prints one screen. Returns the values of the counters, from which the next
// screen computes rates.
CounterValues PrintScreen(const std::vector<MetricLine>& metrics,
                          const CounterValues& previous_counters,
                          unsigned interval_s,
                          std::size_t rows,
                          std::ostream& out) {
  CounterValues counters;
  const int name_column_width = NameColumnWidth(metrics);
  std::ostringstream screen;
  screen << std::left << std::setw(name_column_width) << "metric" << std::right
         << std::setw(kNumberColumnWidth) << "value"
         << std::setw(kNumberColumnWidth) << "per second"
         << "\n";
  for (const MetricLine& metric : metrics) {
    if (metric.is_counter) {
      counters[metric.name] = metric.value;
    }
    if (metric.value == 0 || rows == 0) {
      continue;
    }
    --rows;
    screen << std::left << std::setw(name_column_width) << metric.name
           << std::right << std::setw(kNumberColumnWidth) << metric.value;
    const auto previous = previous_counters.find(metric.name);
    if (metric.is_counter && previous != previous_counters.end()) {
      screen << std::setw(kNumberColumnWidth)
             << (metric.value - previous->second) / interval_s;
    }
    screen << "\n";
  }
  out << screen.str() << std::flush;
  return counters;
}

int Run(const CommandValues& values, const CliStreams& streams) {
  const auto endpoint = GetEndpointOperand(values);
  if (!endpoint) {
    return Fail(streams, endpoint.error(), kExitInvalidInput);
  }
  const unsigned interval_s = std::max(1U, values["interval"].as<unsigned>());
  const bool once = values.count("once") > 0;
  CounterValues counters;
  while (true) {
    const auto body = HttpGet(*endpoint, "/metrics");
    if (!body) {
      return Fail(streams, body.error(), kExitFailed);
    }
    if (!once) {
      streams.out << kClearScreen;
    }
    counters = PrintScreen(ParsePrometheusText(*body), counters, interval_s,
                           values["rows"].as<std::size_t>(), streams.out);
    if (once) {
      return kExitDone;
    }
    std::this_thread::sleep_for(std::chrono::seconds(interval_s));
  }
}

}  // namespace

const Command kTopCommand = {
    "top",        "HOST:PORT", 1,   "show the main metrics of a process",
    kDescription, &AddOptions, &Run};

}  // namespace cactuscross
