#ifndef CACTUSCROSS_SRC_CONFIG_FIELD_TYPE_H_
#define CACTUSCROSS_SRC_CONFIG_FIELD_TYPE_H_

// Reads a value of each member type from YAML, and formats its type and default
// for the documentation.

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <yaml-cpp/yaml.h>

#include "src/config/field_row.h"

namespace cactuscross {

// Collects the errors of one file, and the values that must be unique in it.
class FieldReport {
 public:
  void Add(ResultCode code, const YAML::Node& node, std::string detail);
  void AddAtLine(ResultCode code, int line, std::string detail);

  // Reports an error if `value` was seen before in the scope of `info`.
  void CheckUnique(const FieldInfo& info,
                   const YAML::Node& node,
                   const std::string& value);

  bool HasErrors() const { return !this->errors.empty(); }

  // Moves the errors out, ordered by line.
  std::vector<Error> TakeErrors();

 private:
  std::vector<Error> errors;
  // Line of the first use of each pair of scope and value.
  std::map<std::pair<std::string_view, std::string>, int> seen;
};

// Each overload reads `node` into `value`, or reports an error.
void ReadValue(FieldReport& report,
               const FieldInfo& info,
               const YAML::Node& node,
               std::uint32_t& value);
void ReadValue(FieldReport& report,
               const FieldInfo& info,
               const YAML::Node& node,
               bool& value);
void ReadValue(FieldReport& report,
               const FieldInfo& info,
               const YAML::Node& node,
               double& value);
void ReadValue(FieldReport& report,
               const FieldInfo& info,
               const YAML::Node& node,
               std::string& value);
void ReadValue(FieldReport& report,
               const FieldInfo& info,
               const YAML::Node& node,
               Duration& value);
void ReadValue(FieldReport& report,
               const FieldInfo& info,
               const YAML::Node& node,
               NodeId& value);
void ReadValue(FieldReport& report,
               const FieldInfo& info,
               const YAML::Node& node,
               Role& value);
void ReadValue(FieldReport& report,
               const FieldInfo& info,
               const YAML::Node& node,
               ServerState& value);
void ReadValue(FieldReport& report,
               const FieldInfo& info,
               const YAML::Node& node,
               Endpoint& value);
void ReadValue(FieldReport& report,
               const FieldInfo& info,
               const YAML::Node& node,
               std::optional<std::uint32_t>& value);
void ReadValue(FieldReport& report,
               const FieldInfo& info,
               const YAML::Node& node,
               std::vector<Endpoint>& value);

// Returns true if `node` is a list with a length within the bounds of `info`;
// reports an error otherwise.
bool CheckList(FieldReport& report,
               const FieldInfo& info,
               const YAML::Node& node);

// Each overload returns the name of the type as shown to operators.
std::string_view TypeName(std::uint32_t value);
std::string_view TypeName(bool value);
std::string_view TypeName(double value);
std::string_view TypeName(const std::string& value);
std::string_view TypeName(Duration value);
std::string_view TypeName(NodeId value);
std::string_view TypeName(Role value);
std::string_view TypeName(ServerState value);
std::string_view TypeName(const Endpoint& value);
std::string_view TypeName(const std::optional<std::uint32_t>& value);
std::string_view TypeName(const std::vector<Endpoint>& value);

// Each overload formats a default value as shown to operators.
std::string FormatValue(std::uint32_t value);
std::string FormatValue(bool value);
std::string FormatValue(double value);
std::string FormatValue(const std::string& value);
// `unit`: "s" or "ms", in which the setting is written.
std::string FormatValue(Duration value, std::string_view unit);
std::string FormatValue(NodeId value);
std::string FormatValue(Role value);
std::string FormatValue(ServerState value);
std::string FormatValue(const Endpoint& value);
std::string FormatValue(const std::optional<std::uint32_t>& value);
std::string FormatValue(const std::vector<Endpoint>& value);

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CONFIG_FIELD_TYPE_H_
