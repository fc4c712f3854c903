#ifndef CACTUSCROSS_SRC_SHELL_FLOW_FLOW_LOG_H_
#define CACTUSCROSS_SRC_SHELL_FLOW_FLOW_LOG_H_

// Decisions of the flow path as JSON lines on standard output. The rate is
// bounded: what is left out is counted, and the count is logged.

#include <cstdint>
#include <string_view>
#include <vector>

#include "cactuscross/flow_event.h"

namespace cactuscross {

class FlowLog {
 public:
  // `name`: of this process, in each line.
  explicit FlowLog(std::string_view name);

  void Write(TimePoint now, const std::vector<FlowEvent>& events);

  // Lines left out since the start.
  std::uint64_t SuppressedLines() const { return this->suppressed; }

 private:
  // True if a line of this kind may be written now.
  bool TryAdmitLine(TimePoint now, FlowEventKind kind);

  TimePoint refilled_at;
  double tokens;
  std::uint64_t suppressed = 0;
  std::uint64_t suppressed_reported = 0;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_SHELL_FLOW_FLOW_LOG_H_
