#include "src/shell/log.h"

#include <fcntl.h>
#include <glog/logging.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <ctime>
#include <string>

#include "src/shell/crash_log.h"
#include "src/shell/system.h"

namespace cactuscross {
namespace {

constexpr std::int64_t kMicrosecondsPerSecond = 1000000;

// Longer than any line, so that each line is written by one write() call.
constexpr std::size_t kStdoutBufferBytes = 8192;

// Number or name of the node. Written before any other thread starts, so it is
// not guarded.
nlohmann::json node_identity;

struct SeverityRow {
  google::LogSeverity glog;
  std::string_view name;
};

constexpr std::array<SeverityRow, 3> kSeverities{{
    {google::GLOG_INFO, "info"},
    {google::GLOG_WARNING, "warning"},
    {google::GLOG_ERROR, "error"},
}};

// Formats microseconds since 1970 as "2026-01-31T23:59:59.123456Z".
std::string FormatTime(std::int64_t wall_us) {
  const std::time_t seconds = wall_us / kMicrosecondsPerSecond;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 32> date{};
  const std::size_t size =
      std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  const std::string fraction =
      std::to_string(kMicrosecondsPerSecond + wall_us % kMicrosecondsPerSecond);
  return std::string(date.data(), size) + "." + fraction.substr(1) + "Z";
}

// Replaces invalid UTF-8.
std::string ToText(const nlohmann::ordered_json& json) {
  return json.dump(-1, ' ', true,
                   nlohmann::ordered_json::error_handler_t::replace);
}

// `descriptor`: where glog writes its lines.
void InitGlog(std::string_view program, int descriptor) {
  static const std::string name(program);
  FLAGS_log_prefix = false;
  if (!google::IsGoogleLoggingInitialized()) {
    google::InitGoogleLogging(name.c_str());
  }
  InstallCrashLog(ToText(node_identity), descriptor);
}

}  // namespace

void InitLogging(std::string_view program, NodeId node) {
  node_identity = ToNumber(node);
  FLAGS_logtostderr = true;
  InitGlog(program, STDERR_FILENO);
}

void InitLogging(std::string_view program, std::string_view node_name) {
  node_identity = node_name;
  FLAGS_logtostdout = true;
  setvbuf(stdout, nullptr, _IOLBF, kStdoutBufferBytes);
  fcntl(STDOUT_FILENO, F_SETFL, fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
  InitGlog(program, STDOUT_FILENO);
}

void Log(LogSeverity severity,
         std::string_view category,
         std::string_view message,
         const nlohmann::json& fields) {
  if (!google::IsGoogleLoggingInitialized()) {
    return;
  }
  const SeverityRow& row = kSeverities.at(ToNumber(severity));
  nlohmann::ordered_json line;
  line["time"] = FormatTime(ToNumber(WallClockMicroseconds()));
  line["severity"] = row.name;
  line["node"] = node_identity;
  line["category"] = category;
  line["message"] = message;
  line["fields"] = fields;
  google::LogMessage(__FILE__, __LINE__, row.glog).stream() << ToText(line);
}

}  // namespace cactuscross
