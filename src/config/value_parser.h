#ifndef CACTUSCROSS_SRC_CONFIG_VALUE_PARSER_H_
#define CACTUSCROSS_SRC_CONFIG_VALUE_PARSER_H_

// Parses single values from text, and formats them for messages.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <gsl/span>

#include "cactuscross/types.h"

namespace cactuscross {

// Parses a decimal integer with an optional minus sign.
std::optional<std::int64_t> ParseNumber(std::string_view text);

// Parses "a.b.c.d" into host byte order.
std::optional<std::uint32_t> ParseIpv4(std::string_view text);

// Parses "a.b.c.d:port"; the port is not 0.
std::optional<Endpoint> ParseEndpoint(std::string_view text);

// Returns true for lower-case letters, digits and '-' that start with a letter
// or digit.
bool IsName(std::string_view text);

// Returns true for two names joined by '/'.
bool IsFullName(std::string_view text);

// Parses a decimal number such as "6" or "2.5".
std::optional<double> ParseDecimal(std::string_view text);

// Returns true if `text` contains no control characters.
bool IsPrintable(std::string_view text);

// Quotes text for a message: truncates it and replaces each control character
// and each byte outside ASCII by '?'.
std::string QuoteText(std::string_view text);

// Returns the candidate with the smallest edit distance to `text`, or an empty
// string if no candidate is close enough to suggest it instead of `text`.
std::string_view FindNearest(std::string_view text,
                             gsl::span<const std::string_view> candidates);

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CONFIG_VALUE_PARSER_H_
