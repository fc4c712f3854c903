#ifndef CACTUSCROSS_SRC_CONFIG_FILE_READER_H_
#define CACTUSCROSS_SRC_CONFIG_FILE_READER_H_

#include <string>

#include <tl/expected.hpp>

#include "cactuscross/result_code.h"

namespace cactuscross {

// Returns the text of a settings or contract file. Reads a little more than the
// most that the parsers accept and leaves the refusal to them.
// Errors: kFileUnreadable.
tl::expected<std::string, Error> ReadFile(const std::string& path);

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CONFIG_FILE_READER_H_
