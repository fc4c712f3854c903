#include "src/config/entity_reader.h"

#include <algorithm>
#include <set>

#include "src/config/value_parser.h"

namespace cactuscross {

std::optional<YAML::Node> FindField(FieldReport& report,
                                    const FieldInfo& info,
                                    const YAML::Node& map) {
  for (const auto& entry : map) {
    if (!entry.first.IsScalar() || entry.first.Scalar() != info.key) {
      continue;
    }
    if (!entry.second.IsNull()) {
      return entry.second;
    }
    // yaml-cpp gives an absent value the position of the next token, so the
    // error is reported at the key.
    report.Add(ResultCode::kWrongType, entry.first,
               "'" + std::string(info.key) +
                   "' has no value; add one or remove the key");
    return std::nullopt;
  }
  if (info.presence == Presence::kRequired) {
    report.Add(ResultCode::kMissingKey, map,
               "'" + std::string(info.key) +
                   "' is missing; add it: " + std::string(info.help));
  }
  return std::nullopt;
}

void CheckKeys(FieldReport& report,
               const YAML::Node& map,
               gsl::span<const std::string_view> known) {
  std::set<std::string> seen;
  for (const auto& entry : map) {
    if (!entry.first.IsScalar()) {
      report.Add(ResultCode::kWrongType, entry.first,
                 "a key must be a scalar, not a list or a map");
      continue;
    }
    const std::string& key = entry.first.Scalar();
    if (!seen.insert(key).second) {
      report.Add(ResultCode::kDuplicateKey, entry.first,
                 QuoteText(key) + " appears twice; remove one of them");
    } else if (std::find(known.begin(), known.end(), key) == known.end()) {
      const std::string_view nearest = FindNearest(key, known);
      report.Add(
          ResultCode::kUnknownKey, entry.first,
          "no key " + QuoteText(key) + " here; " +
              (nearest.empty() ? "remove it"
                               : "write '" + std::string(nearest) + "'"));
    }
  }
}

bool CheckMap(FieldReport& report, const YAML::Node& node) {
  if (!node.IsMap()) {
    report.Add(ResultCode::kWrongType, node,
               "write a map of keys and values, like \"key: value\"");
    return false;
  }
  return true;
}

}  // namespace cactuscross
