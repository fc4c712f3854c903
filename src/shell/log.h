#ifndef CACTUSCROSS_SRC_SHELL_LOG_H_
#define CACTUSCROSS_SRC_SHELL_LOG_H_

// Structured log. Each line is one JSON object with time, severity, node,
// category, message and fields, written by glog.

#include <cstdint>
#include <string_view>

#include <nlohmann/json.hpp>

#include "cactuscross/types.h"

namespace cactuscross {

enum class LogSeverity : std::uint8_t { kInfo, kWarning, kError };

// Initializes glog to write to standard error. Must be called once, before the
// first line is logged. Each line contains `node`.
void InitLogging(std::string_view program, NodeId node);

// Initializes glog to write to standard output, which is made non-blocking: if
// the reader stops, lines are lost but the process does not block.
void InitLogging(std::string_view program, std::string_view node_name);

// Writes one line; does nothing before InitLogging(). `category` names the part
// of the process that logs the line; `fields` must be a JSON object.
void Log(LogSeverity severity,
         std::string_view category,
         std::string_view message,
         const nlohmann::json& fields = nlohmann::json::object());

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_SHELL_LOG_H_
