#include "src/config/file_kind.h"

#include <array>

#include "src/config/field_table.h"
#include "src/config/yaml_document.h"

namespace cactuscross {
namespace {

template <typename Entity>
bool HasAnyKeyOf(const YAML::Node& map) {
  for (const FieldRow<Entity>& row : Rows<Entity>()) {
    if (map[std::string(row.info.key)]) {
      return true;
    }
  }
  return false;
}

// Keys that are required in one kind of file and allowed in no other.
constexpr char kStoreKey[] = "store";
constexpr char kOutboundKey[] = "outbound";

template <const char* key>
bool HasKey(const YAML::Node& map) {
  return static_cast<bool>(map[key]);
}

struct KindRow {
  FileKind kind;
  std::string_view name;
  bool (*has_key)(const YAML::Node& map);
};

// Ordered from the most to the least specific keys; the first match decides.
constexpr std::array kKinds = {
    KindRow{FileKind::kFlowBalancer, "flow-balancer", &HasKey<kStoreKey>},
    KindRow{FileKind::kFlowAgent, "flow-agent", &HasKey<kOutboundKey>},
    KindRow{FileKind::kContract, "contract", &HasAnyKeyOf<Contract>},
    KindRow{FileKind::kAgent, "agent", &HasAnyKeyOf<AgentSettings>},
    KindRow{FileKind::kBalancer, "balancer", &HasAnyKeyOf<BalancerSettings>},
    KindRow{FileKind::kBalancer, "balancer", &HasAnyKeyOf<NodeSettings>},
};

}  // namespace

std::optional<FileKind> FindFileKind(std::string_view name) {
  for (const KindRow& row : kKinds) {
    if (row.name == name) {
      return row.kind;
    }
  }
  return std::nullopt;
}

std::string_view NameOf(FileKind kind) {
  for (const KindRow& row : kKinds) {
    if (row.kind == kind) {
      return row.name;
    }
  }
  return "";
}

tl::expected<FileKind, Error> DetectFileKind(std::string_view text) {
  const auto root = LoadYaml(text);
  if (!root) {
    return tl::unexpected(root.error());
  }
  if (root->IsMap()) {
    for (const KindRow& row : kKinds) {
      if (row.has_key(*root)) {
        return row.kind;
      }
    }
  }
  return tl::unexpected(
      Error{ResultCode::kMissingKey,
            "neither a contract ('customer', 'services') nor settings ('node', "
            "'listen', ...); give the kind with --kind",
            "", 1});
}

}  // namespace cactuscross
