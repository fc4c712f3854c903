#ifndef CACTUSCROSS_SRC_SHELL_LOG_H_
#define CACTUSCROSS_SRC_SHELL_LOG_H_

// One JSON object a line, written by glog: time, severity, node, category,
// message and fields.

#include <cstdint>
#include <string_view>

#include <nlohmann/json.hpp>

#include "cactuscross/types.h"

namespace cactuscross {

enum class LogSeverity : std::uint8_t { kInfo, kWarning, kError };

// Prepares glog for lines on standard error; called once, before the first
// line. `node` stands in each line.
void InitLogging(std::string_view program, NodeId node);

// The same for lines on standard output, which is made non-blocking: a reader
// that stops costs lines, not time.
void InitLogging(std::string_view program, std::string_view node_name);

// Writes one line; does nothing before InitLogging(). `category` names the part
// of the process that speaks, `fields` is a JSON object.
void Log(LogSeverity severity,
         std::string_view category,
         std::string_view message,
         const nlohmann::json& fields = nlohmann::json::object());

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_SHELL_LOG_H_
