#ifndef CACTUSCROSS_SRC_SHELL_FLOW_FLOW_LOG_H_
#define CACTUSCROSS_SRC_SHELL_FLOW_FLOW_LOG_H_

// Logs the events of the flow path as JSON lines on standard output. The rate
// is limited; the number of suppressed lines is counted and logged.

#include <cstdint>
#include <string_view>
#include <vector>

#include "cactuscross/flow_event.h"

namespace cactuscross {

class FlowLog {
 public:
  // `name` of this process is part of each line.
  explicit FlowLog(std::string_view name);

  void Write(TimePoint now, const std::vector<FlowEvent>& events);

  // Number of lines suppressed since the start.
  std::uint64_t SuppressedLines() const { return this->suppressed; }

 private:
  // Returns true if a line of this kind may be written now. Consumes a token
  // unless the kind is exempt from the rate limit.
  bool TryAdmitLine(TimePoint now, FlowEventKind kind);

  TimePoint refilled_at;
  double tokens;
  std::uint64_t suppressed = 0;
  std::uint64_t suppressed_reported = 0;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_SHELL_FLOW_FLOW_LOG_H_
