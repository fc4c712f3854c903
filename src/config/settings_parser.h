#ifndef CACTUSCROSS_SRC_CONFIG_SETTINGS_PARSER_H_
#define CACTUSCROSS_SRC_CONFIG_SETTINGS_PARSER_H_

// Parses the settings of a process from YAML.

#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "cactuscross/flow_settings.h"
#include "cactuscross/result_code.h"
#include "cactuscross/settings.h"

namespace cactuscross {

// Each function parses and checks the settings of one process. Returns all
// errors, ordered by line, with `file` as the name of their file.
tl::expected<BalancerSettings, std::vector<Error>> ParseBalancerSettings(
    std::string_view text,
    std::string_view file);
tl::expected<AgentSettings, std::vector<Error>> ParseAgentSettings(
    std::string_view text,
    std::string_view file);

tl::expected<FlowBalancerSettings, std::vector<Error>>
ParseFlowBalancerSettings(std::string_view text, std::string_view file);
tl::expected<FlowAgentSettings, std::vector<Error>> ParseFlowAgentSettings(
    std::string_view text,
    std::string_view file);

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CONFIG_SETTINGS_PARSER_H_
