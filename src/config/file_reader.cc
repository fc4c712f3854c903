#include "src/config/file_reader.h"

#include <cerrno>
#include <cstring>
#include <fstream>

#include "src/config/yaml_document.h"

namespace cactuscross {

tl::expected<std::string, Error> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::string text(kMaxYamlBytes + 1, '\0');
  if (file) {
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
  }
  // Opening a directory succeeds, but reading from it fails.
  if (!file.is_open() || file.bad()) {
    return tl::unexpected(
        Error{ResultCode::kFileUnreadable, std::strerror(errno), path, 0});
  }
  text.resize(static_cast<std::size_t>(file.gcount()));
  return text;
}

}  // namespace cactuscross
