#ifndef CACTUSCROSS_SRC_CONFIG_ENTITY_READER_H_
#define CACTUSCROSS_SRC_CONFIG_ENTITY_READER_H_

// Reads entities of settings and contracts from YAML by their field rows.

#include <string_view>
#include <vector>

#include "src/config/field_table.h"
#include "src/config/field_type.h"

namespace cactuscross {

// Returns the value of the key of `info` in `map`. Reports an error if the key
// has no value, or if it is required and absent.
std::optional<YAML::Node> FindField(FieldReport& report,
                                    const FieldInfo& info,
                                    const YAML::Node& map);

// Reports an error for each key of `map` that is not in `known` or appears
// twice.
void CheckKeys(FieldReport& report,
               const YAML::Node& map,
               gsl::span<const std::string_view> known);

// Returns true if `node` is a map of keys and values; reports an error
// otherwise.
bool CheckMap(FieldReport& report, const YAML::Node& node);

template <typename Entity>
void ReadEntity(FieldReport& report, const YAML::Node& map, Entity& entity);

// Reads a nested entity.
template <typename Entity>
void ReadValue(FieldReport& report,
               const FieldInfo& /*info*/,
               const YAML::Node& node,
               Entity& entity) {
  ReadEntity(report, node, entity);
}

// Reads a list of nested entities.
template <typename Entity>
void ReadValue(FieldReport& report,
               const FieldInfo& info,
               const YAML::Node& node,
               std::vector<Entity>& entities) {
  if (!CheckList(report, info, node)) {
    return;
  }
  for (const YAML::Node& item : node) {
    ReadEntity(report, item, entities.emplace_back());
  }
}

// Reads every field of `entity` that is present in `map`.
template <typename Entity>
void ReadFields(FieldReport& report, const YAML::Node& map, Entity& entity) {
  for (const FieldRow<Entity>& row : Rows<Entity>()) {
    const auto value = FindField(report, row.info, map);
    if (value) {
      std::visit(
          [&](auto member) {
            ReadValue(report, row.info, *value, entity.*member);
          },
          row.target);
    }
  }
}

template <typename Entity>
void AppendKeys(std::vector<std::string_view>& keys) {
  for (const FieldRow<Entity>& row : Rows<Entity>()) {
    keys.push_back(row.info.key);
  }
}

// Reads `map` into one entity, or into several whose keys share the map.
// Reports keys that belong to none of them.
template <typename... Entities>
void ReadEntities(FieldReport& report,
                  const YAML::Node& map,
                  Entities&... entities) {
  if (!CheckMap(report, map)) {
    return;
  }
  std::vector<std::string_view> keys;
  (AppendKeys<Entities>(keys), ...);
  CheckKeys(report, map, keys);
  (ReadFields(report, map, entities), ...);
}

template <typename Entity>
void ReadEntity(FieldReport& report, const YAML::Node& map, Entity& entity) {
  ReadEntities(report, map, entity);
}

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CONFIG_ENTITY_READER_H_
