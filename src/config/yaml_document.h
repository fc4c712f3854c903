#ifndef CACTUSCROSS_SRC_CONFIG_YAML_DOCUMENT_H_
#define CACTUSCROSS_SRC_CONFIG_YAML_DOCUMENT_H_

// Loads YAML from untrusted sources. Accepts one document without anchors or
// aliases, of limited size, depth and number of nodes.

#include <cstddef>
#include <string_view>

#include <yaml-cpp/yaml.h>
#include <tl/expected.hpp>

#include "cactuscross/result_code.h"

namespace cactuscross {

inline constexpr std::size_t kMaxYamlBytes = 1048576;
inline constexpr int kMaxYamlDepth = 16;
inline constexpr int kMaxYamlNodes = 200000;

// Returns the document's root.
// Errors: kYamlSyntax; kOutOfBounds if the text exceeds a limit above.
tl::expected<YAML::Node, Error> LoadYaml(std::string_view text);

// Returns the line of `node`, counted from 1.
int LineOf(const YAML::Node& node);

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CONFIG_YAML_DOCUMENT_H_
