#include "src/shell/flow/flow_log.h"

#include <algorithm>
#include <chrono>

#include "src/shell/log.h"

namespace cactuscross {
namespace {

// Token bucket of the log: lines per second and burst size. A line takes about
// 10 us, so the limit bounds logging to 0.3% of a core.
constexpr double kLinesPerSecond = 300;
constexpr double kBurstLines = 600;

nlohmann::json FieldsOf(const FlowEvent& event) {
  nlohmann::json fields = nlohmann::json::object();
  if (event.flow) {
    fields["flow"] = ToString(*event.flow);
  }
  if (!event.server.empty()) {
    fields["server"] = event.server;
  }
  if (!event.zone.empty()) {
    fields["zone"] = event.zone;
  }
  if (!event.reason.empty()) {
    fields["reason"] = event.reason;
  }
  if (!event.detail.empty()) {
    fields["detail"] = event.detail;
  }
  if (event.version) {
    fields["version"] = *event.version;
  }
  if (event.running) {
    fields["running"] = *event.running;
  }
  if (event.count) {
    fields["count"] = *event.count;
  }
  if (event.age) {
    fields["age_us"] = event.age->count();
  }
  return fields;
}

}  // namespace

FlowLog::FlowLog(std::string_view name) : tokens(kBurstLines) {
  InitLogging("cactuscross", name);
}

void FlowLog::Write(TimePoint now, const std::vector<FlowEvent>& events) {
  for (const FlowEvent& event : events) {
    if (!this->TryAdmitLine(now, event.kind)) {
      ++this->suppressed;
      continue;
    }
    if (this->suppressed != this->suppressed_reported) {
      Log(LogSeverity::kWarning, "log", "lines_left_out",
          {{"count", this->suppressed - this->suppressed_reported}});
      this->suppressed_reported = this->suppressed;
    }
    Log(LogSeverity::kInfo, "flow", NameOf(event.kind), FieldsOf(event));
  }
}

bool FlowLog::TryAdmitLine(TimePoint now, FlowEventKind kind) {
  const std::chrono::duration<double> since = now - this->refilled_at;
  this->refilled_at = now;
  this->tokens =
      std::min(kBurstLines, this->tokens + since.count() * kLinesPerSecond);
  // State changes of servers, the store, the routes and this process are rare
  // and explain the other lines, so they are always written.
  if (kind >= FlowEventKind::kServerDown) {
    return true;
  }
  if (this->tokens < 1) {
    return false;
  }
  this->tokens -= 1;
  return true;
}

}  // namespace cactuscross
