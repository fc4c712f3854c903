#include "src/config/field_description.h"

#include <algorithm>
#include <type_traits>

#include "src/config/field_table.h"
#include "src/config/field_type.h"

namespace cactuscross {
namespace {

constexpr std::size_t kKeyColumnWidth = 27;  // characters

// Types whose keys are described in a table of their own.
template <typename Value>
constexpr bool kIsEntity = std::is_same_v<Value, ServiceLimits>;
template <typename Value>
constexpr bool kIsEntityList =
    std::is_same_v<Value, std::vector<PeerAddress>> ||
    std::is_same_v<Value, std::vector<ContractServer>> ||
    std::is_same_v<Value, std::vector<ContractService>>;

template <typename Value>
std::string DescribeType(const Value& value) {
  if constexpr (kIsEntity<Value>) {
    return "keys, see below";
  } else if constexpr (kIsEntityList<Value>) {
    return "list, see below";
  } else {
    return std::string(TypeName(value));
  }
}

template <typename Value>
std::string DescribeDefault(const Value& value, std::string_view unit) {
  if constexpr (kIsEntity<Value>) {
    return "see below";
  } else if constexpr (kIsEntityList<Value>) {
    return "empty";
  } else if constexpr (std::is_same_v<Value, Duration>) {
    return FormatValue(value, unit);
  } else {
    return FormatValue(value);
  }
}

std::string DescribeBounds(const FieldInfo& info) {
  const Bounds unbounded;
  std::string text;
  if (info.bounds.max != unbounded.max) {
    text = std::to_string(info.bounds.min) + " to " +
           std::to_string(info.bounds.max);
  }
  if (!info.unit.empty()) {
    text += (text.empty() ? "" : " ") + std::string(info.unit);
  }
  return text;
}

template <typename Entity>
FieldDescription DescribeRow(const FieldRow<Entity>& row) {
  const Entity defaults;
  FieldDescription field;
  field.key = row.info.key;
  field.bounds = DescribeBounds(row.info);
  field.help = row.info.help;
  std::visit(
      [&](auto member) {
        field.type = DescribeType(defaults.*member);
        field.default_value =
            row.info.presence == Presence::kRequired
                ? "required"
                : DescribeDefault(defaults.*member, row.info.unit);
      },
      row.target);
  return field;
}

template <typename Entity>
EntityDescription DescribeEntity(std::string_view title) {
  EntityDescription entity{title, {}};
  for (const FieldRow<Entity>& row : Rows<Entity>()) {
    entity.fields.push_back(DescribeRow(row));
  }
  return entity;
}

std::string PadRight(std::string_view text, std::size_t width) {
  std::string padded(text);
  padded.resize(std::max(width, padded.size() + 1), ' ');
  return padded;
}

}  // namespace

std::vector<EntityDescription> DescribeFields() {
  return {
      DescribeEntity<NodeSettings>("Settings of every process"),
      DescribeEntity<PeerAddress>("Settings: each entry of `seeds`"),
      DescribeEntity<BalancerSettings>("Settings of a balancer only"),
      DescribeEntity<AgentSettings>("Settings of an agent only"),
      DescribeEntity<FlowNodeSettings>("Flow path: settings of every process"),
      DescribeEntity<FlowBalancerSettings>(
          "Flow path: settings of a balancer only"),
      DescribeEntity<FlowAgentSettings>("Flow path: settings of an agent only"),
      DescribeEntity<Contract>("Contract"),
      DescribeEntity<ContractService>("Contract: each entry of `services`"),
      DescribeEntity<ContractServer>("Contract: each entry of `servers`"),
      DescribeEntity<ServiceLimits>("Contract: `limits` of a service"),
  };
}

std::string FormatFieldsAsText() {
  std::string text;
  for (const EntityDescription& entity : DescribeFields()) {
    text += (text.empty() ? "" : "\n") + std::string(entity.title) + "\n";
    for (const FieldDescription& field : entity.fields) {
      text += "  " + PadRight(field.key, kKeyColumnWidth) + field.type;
      text += field.bounds.empty() ? "" : ", " + field.bounds;
      text += field.default_value == "required"
                  ? "; required\n"
                  : "; default " + field.default_value + "\n";
      text += std::string(kKeyColumnWidth + 2, ' ') + std::string(field.help) +
              "\n";
    }
  }
  return text;
}

std::string FormatFieldsAsMarkdown() {
  std::string text;
  for (const EntityDescription& entity : DescribeFields()) {
    text += "#### " + std::string(entity.title) + "\n\n";
    text += "| key | type | bounds and unit | default | meaning |\n";
    text += "| --- | --- | --- | --- | --- |\n";
    for (const FieldDescription& field : entity.fields) {
      text += "| `" + std::string(field.key) + "` | " + field.type + " | " +
              field.bounds + " | " + field.default_value + " | " +
              std::string(field.help) + " |\n";
    }
    text += "\n";
  }
  return text;
}

}  // namespace cactuscross
