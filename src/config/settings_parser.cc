#include "src/config/settings_parser.h"

#include <string>

#include "src/config/entity_reader.h"
#include "src/config/yaml_document.h"

namespace cactuscross {
namespace {

std::vector<Error> WithFile(std::vector<Error> errors, std::string_view file) {
  for (Error& error : errors) {
    error.file = std::string(file);
  }
  return errors;
}

template <typename Settings>
tl::expected<Settings, std::vector<Error>> ParseSettings(
    std::string_view text,
    std::string_view file) {
  const auto root = LoadYaml(text);
  if (!root) {
    return tl::unexpected(WithFile({root.error()}, file));
  }
  FieldReport report;
  Settings settings;
  ReadEntities(report, *root, settings.node, settings);
  if (report.HasErrors()) {
    return tl::unexpected(WithFile(report.TakeErrors(), file));
  }
  return settings;
}

template <typename Settings>
tl::expected<Settings, std::vector<Error>>
ParseRoleSettings(std::string_view text, std::string_view file, Role role) {
  auto settings = ParseSettings<Settings>(text, file);
  if (settings) {
    settings->node.role = role;
  }
  return settings;
}

}  // namespace

tl::expected<BalancerSettings, std::vector<Error>> ParseBalancerSettings(
    std::string_view text,
    std::string_view file) {
  return ParseRoleSettings<BalancerSettings>(text, file, Role::kBalancer);
}

tl::expected<AgentSettings, std::vector<Error>> ParseAgentSettings(
    std::string_view text,
    std::string_view file) {
  return ParseRoleSettings<AgentSettings>(text, file, Role::kAgent);
}

tl::expected<FlowBalancerSettings, std::vector<Error>>
ParseFlowBalancerSettings(std::string_view text, std::string_view file) {
  return ParseSettings<FlowBalancerSettings>(text, file);
}

tl::expected<FlowAgentSettings, std::vector<Error>> ParseFlowAgentSettings(
    std::string_view text,
    std::string_view file) {
  return ParseSettings<FlowAgentSettings>(text, file);
}

}  // namespace cactuscross
