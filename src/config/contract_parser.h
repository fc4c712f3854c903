#ifndef CACTUSCROSS_SRC_CONFIG_CONTRACT_PARSER_H_
#define CACTUSCROSS_SRC_CONFIG_CONTRACT_PARSER_H_

// Parses contracts from YAML: values of the configuration service, or files.

#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "cactuscross/contract.h"

namespace cactuscross {

// Parses and checks the contract of one customer. `key` is the contract's key
// in the configuration service, which must equal the customer's name; an empty
// key is not compared.
// Returns all errors with their lines, ordered by line; Error::file stays
// empty.
tl::expected<Contract, std::vector<Error>> ParseContract(std::string_view key,
                                                         std::string_view text);

// Like ParseContract(), but returns the first error only. Usable as a
// ContractParser.
tl::expected<Contract, Error> ParseContractToFirstError(std::string_view key,
                                                        std::string_view text);

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CONFIG_CONTRACT_PARSER_H_
