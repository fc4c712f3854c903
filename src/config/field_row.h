#ifndef CACTUSCROSS_SRC_CONFIG_FIELD_ROW_H_
#define CACTUSCROSS_SRC_CONFIG_FIELD_ROW_H_

// A row of the tables that describe the keys of settings and contracts. Each
// row fills one member of an entity, which is a struct that holds values of one
// map in a file. Parsing, checking, `check --fields` and the reference in
// docs/OPERATIONS.md use the same rows.

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "cactuscross/contract.h"
#include "cactuscross/flow_settings.h"
#include "cactuscross/settings.h"

namespace cactuscross {

enum class Presence : std::uint8_t { kRequired, kOptional };

// Characters that a text value may contain.
enum class TextRule : std::uint8_t {
  kName,      // lower-case letters, digits and '-'
  kFullName,  // two names joined by '/'
  kText,      // any printable text
};

// Inclusive bounds of a number, of a text's length or of a list's length.
struct Bounds {
  std::int64_t min = 0;
  std::int64_t max = std::numeric_limits<std::int64_t>::max();
};

// Requires that values of the same scope differ from each other within one
// file.
struct UniqueRule {
  std::string_view scope;  // empty: values may repeat
  ResultCode code = ResultCode::kOk;
};

// The part of a row that does not depend on the entity's type.
struct FieldInfo {
  std::string_view key;
  Presence presence = Presence::kOptional;
  Bounds bounds;
  std::string_view unit;  // "ms" and "s" also scale a Duration
  std::string_view help;
  UniqueRule unique = {};
  TextRule text_rule = TextRule::kName;
};

// The member that a row fills. Its type selects the overload of ReadValue().
template <typename Entity>
using FieldTarget = std::variant<std::uint32_t Entity::*,
                                 bool Entity::*,
                                 double Entity::*,
                                 std::string Entity::*,
                                 Duration Entity::*,
                                 NodeId Entity::*,
                                 Role Entity::*,
                                 ServerState Entity::*,
                                 Endpoint Entity::*,
                                 std::optional<std::uint32_t> Entity::*,
                                 std::vector<Endpoint> Entity::*,
                                 ServiceLimits Entity::*,
                                 std::vector<PeerAddress> Entity::*,
                                 std::vector<ContractServer> Entity::*,
                                 std::vector<ContractService> Entity::*>;

template <typename Entity>
struct FieldRow {
  FieldInfo info;
  FieldTarget<Entity> target;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CONFIG_FIELD_ROW_H_
