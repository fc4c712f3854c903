#ifndef CACTUSCROSS_SRC_CLI_ERRORS_PAGE_H_
#define CACTUSCROSS_SRC_CLI_ERRORS_PAGE_H_

#include <string>

namespace cactuscross {

// Formats docs/ERRORS.md from the table of result codes.
std::string FormatErrorsAsMarkdown();

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CLI_ERRORS_PAGE_H_
