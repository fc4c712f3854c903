#ifndef CACTUSCROSS_SRC_CONFIG_FILE_READER_H_
#define CACTUSCROSS_SRC_CONFIG_FILE_READER_H_

#include <string>

#include <tl/expected.hpp>

#include "cactuscross/result_code.h"

namespace cactuscross {

// Returns the text of a settings or contract file. Reads at most one byte more
// than kMaxYamlBytes, so that the parsers reject a file that is too long.
// Errors: kFileUnreadable.
tl::expected<std::string, Error> ReadFile(const std::string& path);

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CONFIG_FILE_READER_H_
