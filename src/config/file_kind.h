#ifndef CACTUSCROSS_SRC_CONFIG_FILE_KIND_H_
#define CACTUSCROSS_SRC_CONFIG_FILE_KIND_H_

// Tells settings and contracts apart.

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

// Returns the kind of that name, see NameOf().
std::optional<FileKind> FindFileKind(std::string_view name);

std::string_view NameOf(FileKind kind);

// Returns the kind whose own keys stand in `text`; of settings without any such
// key, the balancer.
// Errors: those of LoadYaml(); kMissingKey where no key of any kind stands.
tl::expected<FileKind, Error> DetectFileKind(std::string_view text);

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CONFIG_FILE_KIND_H_
