#include "src/shell/counters.h"

#include <array>
#include <string>

namespace cactuscross {
namespace {

constexpr std::array<ShellCounterRow, 24> kCounters{{
    {"caller_datagrams_received", &ShellCounters::caller_datagrams_received},
    {"caller_datagrams_sent", &ShellCounters::caller_datagrams_sent},
    {"caller_datagrams_malformed", &ShellCounters::caller_datagrams_malformed},
    {"caller_options_unsupported", &ShellCounters::caller_options_unsupported},
    {"caller_datagrams_stale", &ShellCounters::caller_datagrams_stale},
    {"peer_datagrams_received", &ShellCounters::peer_datagrams_received},
    {"peer_datagrams_sent", &ShellCounters::peer_datagrams_sent},
    {"peer_datagrams_malformed", &ShellCounters::peer_datagrams_malformed},
    {"control_messages_received", &ShellCounters::control_messages_received},
    {"control_messages_sent", &ShellCounters::control_messages_sent},
    {"control_messages_malformed", &ShellCounters::control_messages_malformed},
    {"control_messages_dropped", &ShellCounters::control_messages_dropped},
    {"messages_unencodable", &ShellCounters::messages_unencodable},
    {"datagrams_not_sent", &ShellCounters::datagrams_not_sent},
    {"service_binds_failed", &ShellCounters::service_binds_failed},
    {"paths_renewed", &ShellCounters::paths_renewed},
    {"server_calls", &ShellCounters::server_calls},
    {"server_calls_broken", &ShellCounters::server_calls_broken},
    {"server_answers_malformed", &ShellCounters::server_answers_malformed},
    {"platform_reads", &ShellCounters::platform_reads},
    {"platform_reads_failed", &ShellCounters::platform_reads_failed},
    {"ticks", &ShellCounters::ticks},
    {"control_bytes_received", &ShellCounters::control_bytes_received},
    {"control_bytes_sent", &ShellCounters::control_bytes_sent},
}};

}  // namespace

gsl::span<const ShellCounterRow> ShellCounterTable() {
  return kCounters;
}

nlohmann::json DumpCounters(const ShellCounters& counters) {
  nlohmann::json dump = nlohmann::json::object();
  for (const ShellCounterRow& row : kCounters) {
    dump[std::string(row.name)] = counters.*row.member;
  }
  return dump;
}

std::vector<MetricSample> CounterSamples(const ShellCounters& counters) {
  std::vector<MetricSample> samples;
  samples.reserve(kCounters.size());
  for (const ShellCounterRow& row : kCounters) {
    samples.push_back({"shell_" + std::string(row.name) + "_total",
                       MetricKind::kCounter, "",
                       static_cast<double>(counters.*row.member)});
  }
  return samples;
}

}  // namespace cactuscross
