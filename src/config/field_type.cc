#include "src/config/field_type.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <optional>

#include <gsl/span>

#include "src/config/value_parser.h"
#include "src/config/yaml_document.h"

namespace cactuscross {
namespace {

// One word of a list of allowed words.
template <typename Value>
struct Word {
  std::string_view text;
  Value value;
};

constexpr std::array kRoleWords = {Word<Role>{"balancer", Role::kBalancer},
                                   Word<Role>{"agent", Role::kAgent}};
constexpr std::array kStateWords = {
    Word<ServerState>{"serving", ServerState::kServing},
    Word<ServerState>{"leaving", ServerState::kLeaving}};
constexpr std::array kFlagWords = {Word<bool>{"true", true},
                                   Word<bool>{"false", false}};

std::string Prefix(const FieldInfo& info) {
  return "'" + std::string(info.key) + "': ";
}

// Returns the text of a scalar; reports anything else.
std::optional<std::string> ReadScalar(FieldReport& report,
                                      const FieldInfo& info,
                                      const YAML::Node& node,
                                      std::string_view wanted) {
  if (!node.IsScalar()) {
    report.Add(ResultCode::kWrongType, node,
               Prefix(info) + "write " + std::string(wanted));
    return std::nullopt;
  }
  return node.Scalar();
}

std::string BoundsText(const Bounds& bounds) {
  return std::to_string(bounds.least) + " to " + std::to_string(bounds.most);
}

std::optional<std::int64_t> ReadNumber(FieldReport& report,
                                       const FieldInfo& info,
                                       const YAML::Node& node) {
  const std::string wanted = "a whole number from " + BoundsText(info.bounds);
  const auto text = ReadScalar(report, info, node, wanted);
  if (!text) {
    return std::nullopt;
  }
  const auto number = ParseNumber(*text);
  if (!number) {
    report.Add(
        ResultCode::kWrongType, node,
        Prefix(info) + QuoteText(*text) + " is no number; write " + wanted);
    return std::nullopt;
  }
  if (*number < info.bounds.least || *number > info.bounds.most) {
    report.Add(ResultCode::kOutOfBounds, node,
               Prefix(info) + *text + " is out of bounds; write " + wanted);
    return std::nullopt;
  }
  return number;
}

template <typename Value>
void ReadWord(FieldReport& report,
              const FieldInfo& info,
              const YAML::Node& node,
              gsl::span<const Word<Value>> words,
              Value& value) {
  std::string wanted;
  for (const Word<Value>& word : words) {
    wanted += (wanted.empty() ? "" : " or ") + std::string(word.text);
  }
  const auto text = ReadScalar(report, info, node, wanted);
  if (!text) {
    return;
  }
  for (const Word<Value>& word : words) {
    if (word.text == *text) {
      value = word.value;
      return;
    }
  }
  report.Add(
      ResultCode::kWrongType, node,
      Prefix(info) + QuoteText(*text) + " is not known; write " + wanted);
}

template <typename Value>
std::string FormatWord(gsl::span<const Word<Value>> words, Value value) {
  for (const Word<Value>& word : words) {
    if (word.value == value) {
      return std::string(word.text);
    }
  }
  return "";
}

double UnitMicroseconds(std::string_view unit) {
  return unit == "s" ? 1000000 : 1000;
}

struct TextRuleRow {
  bool (*accepts)(std::string_view);
  std::string_view wanted;
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
  const auto [place, inserted] =
      this->seen.try_emplace({info.unique.scope, value}, LineOf(node));
  if (!inserted) {
    this->Add(info.unique.code, node,
              Prefix(info) + QuoteText(value) + " stands already at line " +
                  std::to_string(place->second) + "; write another");
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
  ReadWord<bool>(report, info, node, kFlagWords, value);
}

void ReadValue(FieldReport& report,
               const FieldInfo& info,
               const YAML::Node& node,
               std::string& value) {
  const TextRuleRow& rule = GetTextRule(info.text_rule);
  const auto text = ReadScalar(report, info, node, rule.wanted);
  if (!text) {
    return;
  }
  const auto length = static_cast<std::int64_t>(text->size());
  if (length < info.bounds.least || length > info.bounds.most) {
    report.Add(ResultCode::kBadName, node,
               Prefix(info) + QuoteText(*text) + " has " +
                   std::to_string(length) + " characters; write " +
                   BoundsText(info.bounds));
    return;
  }
  if (!rule.accepts(*text)) {
    report.Add(ResultCode::kBadName, node,
               Prefix(info) + QuoteText(*text) + " is no name; write " +
                   std::string(rule.wanted));
    return;
  }
  report.CheckUnique(info, node, *text);
  value = *text;
}

void ReadValue(FieldReport& report,
               const FieldInfo& info,
               const YAML::Node& node,
               Duration& value) {
  const std::string wanted = "a number of " + std::string(info.unit) +
                             " from " + BoundsText(info.bounds);
  const auto text = ReadScalar(report, info, node, wanted);
  if (!text) {
    return;
  }
  const auto number = ParseDecimal(*text);
  if (!number) {
    report.Add(
        ResultCode::kWrongType, node,
        Prefix(info) + QuoteText(*text) + " is no number; write " + wanted);
  } else if (*number < static_cast<double>(info.bounds.least) ||
             *number > static_cast<double>(info.bounds.most)) {
    report.Add(ResultCode::kOutOfBounds, node,
               Prefix(info) + *text + " is out of bounds; write " + wanted);
  } else {
    value = Duration(std::llround(*number * UnitMicroseconds(info.unit)));
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
  ReadWord<Role>(report, info, node, kRoleWords, value);
}

void ReadValue(FieldReport& report,
               const FieldInfo& info,
               const YAML::Node& node,
               ServerState& value) {
  ReadWord<ServerState>(report, info, node, kStateWords, value);
}

void ReadValue(FieldReport& report,
               const FieldInfo& info,
               const YAML::Node& node,
               Endpoint& value) {
  constexpr std::string_view kWanted =
      "an IPv4 address and a port, like \"192.0.2.1:5683\"";
  const auto text = ReadScalar(report, info, node, kWanted);
  if (!text) {
    return;
  }
  const auto endpoint = ParseEndpoint(*text);
  if (!endpoint) {
    report.Add(ResultCode::kBadAddress, node,
               Prefix(info) + QuoteText(*text) + " is no address; write " +
                   std::string(kWanted));
    return;
  }
  report.CheckUnique(info, node, ToString(*endpoint));
  value = *endpoint;
}

void ReadValue(FieldReport& report,
               const FieldInfo& info,
               const YAML::Node& node,
               std::optional<std::uint32_t>& value) {
  constexpr std::string_view kWanted = "an IPv4 address, like \"192.0.2.1\"";
  const auto text = ReadScalar(report, info, node, kWanted);
  if (!text) {
    return;
  }
  value = ParseIpv4(*text);
  if (!value) {
    report.Add(ResultCode::kBadAddress, node,
               Prefix(info) + QuoteText(*text) + " is no address; write " +
                   std::string(kWanted));
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
  if (length < info.bounds.least || length > info.bounds.most) {
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
  return FormatWord<bool>(kFlagWords, value);
}

std::string FormatValue(const std::string& value) {
  return value;
}

std::string FormatValue(Duration value) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

std::string FormatValue(NodeId value) {
  return std::to_string(ToNumber(value));
}

std::string FormatValue(Role value) {
  return FormatWord<Role>(kRoleWords, value);
}

std::string FormatValue(ServerState value) {
  return FormatWord<ServerState>(kStateWords, value);
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
