#include "src/config/value_parser.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <numeric>
#include <vector>

namespace cactuscross {
namespace {

// Maximum edit distance of a suggestion.
constexpr std::size_t kMaxSuggestionDistance = 3;
constexpr std::size_t kMaxQuotedCharacters = 40;
// A longer text gets no suggestion, which bounds the cost of EditDistance().
constexpr std::size_t kMaxComparedCharacters = 64;

bool IsNameCharacter(char character) {
  return (character >= 'a' && character <= 'z') ||
         (character >= '0' && character <= '9') || character == '-';
}

// Computes the Levenshtein distance with a single row of costs.
std::size_t EditDistance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> costs(b.size() + 1);
  std::iota(costs.begin(), costs.end(), std::size_t{0});
  for (std::size_t i = 0; i < a.size(); ++i) {
    std::size_t diagonal = costs[0];
    costs[0] = i + 1;
    for (std::size_t j = 0; j < b.size(); ++j) {
      const std::size_t substitution_cost = diagonal + (a[i] == b[j] ? 0 : 1);
      diagonal = costs[j + 1];
      costs[j + 1] = std::min({substitution_cost, costs[j] + 1, diagonal + 1});
    }
  }
  return costs.back();
}

}  // namespace

std::optional<std::int64_t> ParseNumber(std::string_view text) {
  std::int64_t number = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, number);
  if (result.ec != std::errc() || result.ptr != end) {
    return std::nullopt;
  }
  return number;
}

std::optional<double> ParseDecimal(std::string_view text) {
  double number = 0;
  const char* end = text.data() + text.size();
  const auto result =
      std::from_chars(text.data(), end, number, std::chars_format::fixed);
  if (result.ec != std::errc() || result.ptr != end) {
    return std::nullopt;
  }
  return number;
}

std::optional<std::uint32_t> ParseIpv4(std::string_view text) {
  std::uint32_t address = 0;
  for (int part = 0; part < 4; ++part) {
    const bool last = part == 3;
    const std::size_t dot = last ? text.size() : text.find('.');
    if (dot == std::string_view::npos || dot == 0 || dot > 3) {
      return std::nullopt;
    }
    const auto number = ParseNumber(text.substr(0, dot));
    if (!number || *number < 0 || *number > 255) {
      return std::nullopt;
    }
    address = (address << 8U) | static_cast<std::uint32_t>(*number);
    text.remove_prefix(last ? dot : dot + 1);
  }
  return address;
}

std::optional<Endpoint> ParseEndpoint(std::string_view text) {
  const std::size_t colon = text.find(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  const auto address = ParseIpv4(text.substr(0, colon));
  const auto port = ParseNumber(text.substr(colon + 1));
  if (!address || !port || *port < 1 || *port > 65535) {
    return std::nullopt;
  }
  return Endpoint{*address, static_cast<std::uint16_t>(*port)};
}

bool IsName(std::string_view text) {
  return !text.empty() && text.front() != '-' &&
         std::all_of(text.begin(), text.end(), IsNameCharacter);
}

bool IsFullName(std::string_view text) {
  const std::size_t slash = text.find('/');
  return slash != std::string_view::npos && IsName(text.substr(0, slash)) &&
         IsName(text.substr(slash + 1));
}

bool IsPrintable(std::string_view text) {
  return std::none_of(text.begin(), text.end(), [](char character) {
    return std::iscntrl(static_cast<unsigned char>(character)) != 0;
  });
}

std::string QuoteText(std::string_view text) {
  std::string quoted = "'";
  for (const char character : text.substr(0, kMaxQuotedCharacters)) {
    const auto code = static_cast<unsigned char>(character);
    quoted += code < 0x20 || code >= 0x7F ? '?' : character;
  }
  return quoted + (text.size() > kMaxQuotedCharacters ? "...'" : "'");
}

std::string_view FindNearest(std::string_view text,
                             gsl::span<const std::string_view> candidates) {
  std::string_view nearest;
  if (text.size() > kMaxComparedCharacters) {
    return nearest;
  }
  std::size_t min_distance = kMaxSuggestionDistance + 1;
  for (const std::string_view candidate : candidates) {
    const std::size_t distance = EditDistance(text, candidate);
    if (distance < min_distance && distance < candidate.size()) {
      min_distance = distance;
      nearest = candidate;
    }
  }
  return nearest;
}

}  // namespace cactuscross
