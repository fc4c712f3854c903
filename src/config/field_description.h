#ifndef CACTUSCROSS_SRC_CONFIG_FIELD_DESCRIPTION_H_
#define CACTUSCROSS_SRC_CONFIG_FIELD_DESCRIPTION_H_

// Describes the keys of settings and contracts as text for operators.

#include <string>
#include <string_view>
#include <vector>

namespace cactuscross {

// Description of one key.
struct FieldDescription {
  std::string_view key;
  std::string type;
  std::string bounds;         // e.g. "1 to 7 ms"; empty if none apply
  std::string default_value;  // "required" for a required key
  std::string_view help;
};

// Descriptions of the keys of one map in a file.
struct EntityDescription {
  std::string_view title;
  std::vector<FieldDescription> fields;
};

// Describes every key of settings and contracts.
std::vector<EntityDescription> DescribeFields();

// Formats the descriptions for a terminal.
std::string FormatFieldsAsText();

// Formats the descriptions as the Markdown tables of docs/OPERATIONS.md.
std::string FormatFieldsAsMarkdown();

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CONFIG_FIELD_DESCRIPTION_H_
