#ifndef CACTUSCROSS_SRC_CLI_HTTP_GET_H_
#define CACTUSCROSS_SRC_CLI_HTTP_GET_H_

#include <string>

#include <tl/expected.hpp>

#include "cactuscross/result_code.h"
#include "cactuscross/types.h"

namespace cactuscross {

// Sends a GET request to the operations address of a process and returns the
// body of the response. `path` starts with '/'. Blocks for a few seconds at
// most.
// Errors: kPeerUnreachable, also for a status other than 200.
tl::expected<std::string, Error> HttpGet(const Endpoint& endpoint,
                                         const std::string& path);

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CLI_HTTP_GET_H_
