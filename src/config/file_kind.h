#ifndef CACTUSCROSS_SRC_CONFIG_FILE_KIND_H_
#define CACTUSCROSS_SRC_CONFIG_FILE_KIND_H_

// Detects the kind of a file: a contract, or the settings of a role.

#include <cstdint>
#include <optional>
#include <string_view>

#include <tl/expected.hpp>

#include "cactuscross/result_code.h"

namespace cactuscross {

enum class FileKind : std::uint8_t {
  kContract,
  kBalancer,
  kAgent,
  kFlowBalancer,
  kFlowAgent,
};

// Returns the kind whose NameOf() is `name`.
std::optional<FileKind> FindFileKind(std::string_view name);

std::string_view NameOf(FileKind kind);

// Returns the kind whose specific keys are present in `text`. Settings with
// only the keys that all roles share are taken as those of a balancer.
// Errors: those of LoadYaml(); kMissingKey if no key of any kind is present.
tl::expected<FileKind, Error> DetectFileKind(std::string_view text);

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CONFIG_FILE_KIND_H_
