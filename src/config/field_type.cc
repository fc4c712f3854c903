#include "src/config/field_type.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <optional>

#include <gsl/span>

#include "src/config/value_parser.h"
#include "src/config/yaml_document.h"

namespace cactuscross {
namespace {

// One of the allowed texts of a value that is an enumeration or a boolean.
template <typename Value>
struct Keyword {
  std::string_view text;
  Value value;
};

constexpr std::array kRoleKeywords = {
    Keyword<Role>{"balancer", Role::kBalancer},
    Keyword<Role>{"agent", Role::kAgent}};
constexpr std::array kStateKeywords = {
    Keyword<ServerState>{"serving", ServerState::kServing},
    Keyword<ServerState>{"leaving", ServerState::kLeaving}};
constexpr std::array kBooleanKeywords = {Keyword<bool>{"true", true},
                                         Keyword<bool>{"false", false}};

std::string Prefix(const FieldInfo& info) {
  return "'" + std::string(info.key) + "': ";
}

// Returns the text of a scalar; reports an error for any other kind of node.
std::optional<std::string> ReadScalar(FieldReport& report,
                                      const FieldInfo& info,
                                      const YAML::Node& node,
                                      std::string_view expected) {
  if (!node.IsScalar()) {
    report.Add(ResultCode::kWrongType, node,
               Prefix(info) + "write " + std::string(expected));
    return std::nullopt;
  }
  return node.Scalar();
}

std::string BoundsText(const Bounds& bounds) {
  return std::to_string(bounds.min) + " to " + std::to_string(bounds.max);
}

std::optional<std::int64_t> ReadNumber(FieldReport& report,
                                       const FieldInfo& info,
                                       const YAML::Node& node) {
  const std::string expected = "a whole number from " + BoundsText(info.bounds);
  const auto text = ReadScalar(report, info, node, expected);
  if (!text) {
    return std::nullopt;
  }
  const auto number = ParseNumber(*text);
  if (!number) {
    report.Add(ResultCode::kWrongType, node,
               Prefix(info) + QuoteText(*text) + " is not a number; write " +
                   expected);
    return std::nullopt;
  }
  if (*number < info.bounds.min || *number > info.bounds.max) {
    report.Add(ResultCode::kOutOfBounds, node,
               Prefix(info) + *text + " is out of bounds; write " + expected);
    return std::nullopt;
  }
  return number;
}

std::optional<double> ReadDecimal(FieldReport& report,
                                  const FieldInfo& info,
                                  const YAML::Node& node) {
  const std::string unit =
      info.unit.empty() ? "" : " of " + std::string(info.unit);
  const std::string expected =
      "a number" + unit + " from " + BoundsText(info.bounds);
  const auto text = ReadScalar(report, info, node, expected);
  if (!text) {
    return std::nullopt;
  }
  const auto number = ParseDecimal(*text);
  if (!number) {
    report.Add(ResultCode::kWrongType, node,
               Prefix(info) + QuoteText(*text) + " is not a number; write " +
                   expected);
    return std::nullopt;
  }
  if (*number < static_cast<double>(info.bounds.min) ||
      *number > static_cast<double>(info.bounds.max)) {
    report.Add(ResultCode::kOutOfBounds, node,
               Prefix(info) + *text + " is out of bounds; write " + expected);
    return std::nullopt;
  }
  return number;
}

template <typename Value>
void ReadKeyword(FieldReport& report,
                 const FieldInfo& info,
                 const YAML::Node& node,
                 gsl::span<const Keyword<Value>> keywords,
                 Value& value) {
  std::string expected;
  for (const Keyword<Value>& keyword : keywords) {
    expected += (expected.empty() ? "" : " or ") + std::string(keyword.text);
  }
  const auto text = ReadScalar(report, info, node, expected);
  if (!text) {
    return;
  }
  for (const Keyword<Value>& keyword : keywords) {
    if (keyword.text == *text) {
      value = keyword.value;
      return;
    }
  }
  report.Add(ResultCode::kWrongType, node,
             Prefix(info) + QuoteText(*text) +
                 " is not an allowed value; write " + expected);
}

template <typename Value>
std::string FormatKeyword(gsl::span<const Keyword<Value>> keywords,
                          Value value) {
  for (const Keyword<Value>& keyword : keywords) {
    if (keyword.value == value) {
      return std::string(keyword.text);
    }
  }
  return "";
}

double MicrosecondsPerUnit(std::string_view unit) {
  return unit == "s" ? 1000000 : 1000;
}

struct TextRuleRow {
  bool (*accepts)(std::string_view);
  std::string_view expected;
};

const TextRuleRow& GetTextRule(TextRule rule) {
  static constexpr std::array kTextRules = {
      TextRuleRow{&IsName, "lower-case letters, digits and '-' only"},
      TextRuleRow{&IsFullName,
                  "\"customer/service\", each of lower-case letters, digits "
                  "and '-'"},
      TextRuleRow{&IsPrintable, "printable text"}};
  return kTextRules.at(static_cast<std::size_t>(rule));
}

}  // namespace

void FieldReport::Add(ResultCode code,
                      const YAML::Node& node,
                      std::string detail) {
  this->AddAtLine(code, LineOf(node), std::move(detail));
}

void FieldReport::AddAtLine(ResultCode code, int line, std::string detail) {
  this->errors.push_back(Error{code, std::move(detail), "", line});
}

std::vector<Error> FieldReport::TakeErrors() {
  std::stable_sort(
      this->errors.begin(), this->errors.end(),
      [](const Error& a, const Error& b) { return a.line < b.line; });
  return std::move(this->errors);
}

void FieldReport::CheckUnique(const FieldInfo& info,
                              const YAML::Node& node,
                              const std::string& value) {
  if (info.unique.scope.empty()) {
    return;
  }
  const auto [existing, inserted] =
      this->seen.try_emplace({info.unique.scope, value}, LineOf(node));
  if (!inserted) {
    this->Add(info.unique.code, node,
              Prefix(info) + QuoteText(value) + " is already used at line " +
                  std::to_string(existing->second) + "; write another one");
  }
}

void ReadValue(FieldReport& report,
               const FieldInfo& info,
               const YAML::Node& node,
               std::uint32_t& value) {
  if (const auto number = ReadNumber(report, info, node)) {
    value = static_cast<std::uint32_t>(*number);
  }
}

void ReadValue(FieldReport& report,
               const FieldInfo& info,
               const YAML::Node& node,
               bool& value) {
  ReadKeyword<bool>(report, info, node, kBooleanKeywords, value);
}

void ReadValue(FieldReport& report,
               const FieldInfo& info,
               const YAML::Node& node,
               std::string& value) {
  const TextRuleRow& rule = GetTextRule(info.text_rule);
  const auto text = ReadScalar(report, info, node, rule.expected);
  if (!text) {
    return;
  }
  const auto length = static_cast<std::int64_t>(text->size());
  if (length < info.bounds.min || length > info.bounds.max) {
    report.Add(ResultCode::kBadName, node,
               Prefix(info) + QuoteText(*text) + " has " +
                   std::to_string(length) + " characters; write " +
                   BoundsText(info.bounds));
    return;
  }
  if (!rule.accepts(*text)) {
    report.Add(ResultCode::kBadName, node,
               Prefix(info) + QuoteText(*text) + " is not valid; write " +
                   std::string(rule.expected));
    return;
  }
  report.CheckUnique(info, node, *text);
  value = *text;
}

void ReadValue(FieldReport& report,
               const FieldInfo& info,
               const YAML::Node& node,
               double& value) {
  if (const auto number = ReadDecimal(report, info, node)) {
    value = *number;
  }
}

void ReadValue(FieldReport& report,
               const FieldInfo& info,
               const YAML::Node& node,
               Duration& value) {
  if (const auto number = ReadDecimal(report, info, node)) {
    value = Duration(std::llround(*number * MicrosecondsPerUnit(info.unit)));
  }
}

void ReadValue(FieldReport& report,
               const FieldInfo& info,
               const YAML::Node& node,
               NodeId& value) {
  if (const auto number = ReadNumber(report, info, node)) {
    report.CheckUnique(info, node, std::to_string(*number));
    value = NodeId{static_cast<std::uint32_t>(*number)};
  }
}

void ReadValue(FieldReport& report,
               const FieldInfo& info,
               const YAML::Node& node,
               Role& value) {
  ReadKeyword<Role>(report, info, node, kRoleKeywords, value);
}

void ReadValue(FieldReport& report,
               const FieldInfo& info,
               const YAML::Node& node,
               ServerState& value) {
  ReadKeyword<ServerState>(report, info, node, kStateKeywords, value);
}

void ReadValue(FieldReport& report,
               const FieldInfo& info,
               const YAML::Node& node,
               Endpoint& value) {
  constexpr std::string_view kExpected =
      "an IPv4 address and a port, like \"192.0.2.1:5683\"";
  const auto text = ReadScalar(report, info, node, kExpected);
  if (!text) {
    return;
  }
  const auto endpoint = ParseEndpoint(*text);
  if (!endpoint) {
    report.Add(ResultCode::kBadAddress, node,
               Prefix(info) + QuoteText(*text) + " is not an address; write " +
                   std::string(kExpected));
    return;
  }
  report.CheckUnique(info, node, ToString(*endpoint));
  value = *endpoint;
}

void ReadValue(FieldReport& report,
               const FieldInfo& info,
               const YAML::Node& node,
               std::optional<std::uint32_t>& value) {
  constexpr std::string_view kExpected = "an IPv4 address, like \"192.0.2.1\"";
  const auto text = ReadScalar(report, info, node, kExpected);
  if (!text) {
    return;
  }
  value = ParseIpv4(*text);
  if (!value) {
    report.Add(ResultCode::kBadAddress, node,
               Prefix(info) + QuoteText(*text) + " is not an address; write " +
                   std::string(kExpected));
  }
}

void ReadValue(FieldReport& report,
               const FieldInfo& info,
               const YAML::Node& node,
               std::vector<Endpoint>& value) {
  if (!CheckList(report, info, node)) {
    return;
  }
  for (const YAML::Node& item : node) {
    ReadValue(report, info, item, value.emplace_back());
  }
}

bool CheckList(FieldReport& report,
               const FieldInfo& info,
               const YAML::Node& node) {
  if (!node.IsSequence()) {
    report.Add(ResultCode::kWrongType, node, Prefix(info) + "write a list");
    return false;
  }
  const auto length = static_cast<std::int64_t>(node.size());
  if (length < info.bounds.min || length > info.bounds.max) {
    report.Add(ResultCode::kOutOfBounds, node,
               Prefix(info) + std::to_string(length) +
                   " entries are out of bounds; write " +
                   BoundsText(info.bounds));
    return false;
  }
  return true;
}

std::string_view TypeName(std::uint32_t /*value*/) {
  return "number";
}

std::string_view TypeName(bool /*value*/) {
  return "true or false";
}

std::string_view TypeName(double /*value*/) {
  return "number";
}

std::string_view TypeName(const std::string& /*value*/) {
  return "name";
}

std::string_view TypeName(Duration /*value*/) {
  return "number";
}

std::string_view TypeName(NodeId /*value*/) {
  return "number";
}

std::string_view TypeName(Role /*value*/) {
  return "balancer or agent";
}

std::string_view TypeName(ServerState /*value*/) {
  return "serving or leaving";
}

std::string_view TypeName(const Endpoint& /*value*/) {
  return "address:port";
}

std::string_view TypeName(const std::optional<std::uint32_t>& /*value*/) {
  return "address";
}

std::string_view TypeName(const std::vector<Endpoint>& /*value*/) {
  return "list of address:port";
}

std::string FormatValue(std::uint32_t value) {
  return std::to_string(value);
}

std::string FormatValue(bool value) {
  return FormatKeyword<bool>(kBooleanKeywords, value);
}

std::string FormatValue(double value) {
  std::array<char, 32> text{};
  const auto result =
      std::to_chars(text.data(), text.data() + text.size(), value);
  return {text.data(), result.ptr};
}

std::string FormatValue(const std::string& value) {
  return value;
}

std::string FormatValue(Duration value, std::string_view unit) {
  return std::to_string(value.count() /
                        static_cast<std::int64_t>(MicrosecondsPerUnit(unit)));
}

std::string FormatValue(NodeId value) {
  return std::to_string(ToNumber(value));
}

std::string FormatValue(Role value) {
  return FormatKeyword<Role>(kRoleKeywords, value);
}

std::string FormatValue(ServerState value) {
  return FormatKeyword<ServerState>(kStateKeywords, value);
}

std::string FormatValue(const Endpoint& value) {
  return ToString(value);
}

std::string FormatValue(const std::optional<std::uint32_t>& value) {
  return value ? std::to_string(*value) : "none";
}

std::string FormatValue(const std::vector<Endpoint>& value) {
  return value.empty() ? "empty" : std::to_string(value.size());
}

}  // namespace cactuscross
