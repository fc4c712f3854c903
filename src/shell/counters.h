#ifndef CACTUSCROSS_SRC_SHELL_COUNTERS_H_
#define CACTUSCROSS_SRC_SHELL_COUNTERS_H_

// Counters of the shell (the I/O layer of a process, see node_shell.h),
// exported by /metrics and in /dump under "shell".

#include <cstdint>
#include <string_view>
#include <vector>

#include <gsl/span>
#include <nlohmann/json.hpp>

#include "cactuscross/observation.h"

namespace cactuscross {

struct ShellCounters {
  std::uint64_t caller_datagrams_received = 0;
  std::uint64_t caller_datagrams_sent = 0;
  std::uint64_t caller_datagrams_malformed = 0;
  std::uint64_t caller_options_unsupported = 0;
  std::uint64_t caller_datagrams_stale = 0;
  std::uint64_t peer_datagrams_received = 0;
  std::uint64_t peer_datagrams_sent = 0;
  std::uint64_t peer_datagrams_malformed = 0;
  std::uint64_t control_messages_received = 0;
  std::uint64_t control_messages_sent = 0;
  std::uint64_t control_messages_malformed = 0;
  std::uint64_t control_messages_dropped = 0;
  std::uint64_t messages_unencodable = 0;
  std::uint64_t datagrams_not_sent = 0;
  std::uint64_t service_binds_failed = 0;
  std::uint64_t paths_renewed = 0;
  std::uint64_t server_calls = 0;
  std::uint64_t server_calls_broken = 0;
  std::uint64_t server_answers_malformed = 0;
  std::uint64_t platform_reads = 0;
  std::uint64_t platform_reads_failed = 0;
  std::uint64_t ticks = 0;
  std::uint64_t control_bytes_received = 0;
  std::uint64_t control_bytes_sent = 0;
};

struct ShellCounterRow {
  std::string_view name;
  std::uint64_t ShellCounters::*member;
};

// All counters, in the order of the struct.
gsl::span<const ShellCounterRow> ShellCounterTable();

nlohmann::json DumpCounters(const ShellCounters& counters);

// Returns one sample per counter, named "shell_<name>_total".
std::vector<MetricSample> CounterSamples(const ShellCounters& counters);

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_SHELL_COUNTERS_H_
