#include "src/cli/errors_page.h"

#include <array>
#include <cstdio>
#include <string_view>

#include "cactuscross/result_code.h"
#include "cactuscross/types.h"

namespace cactuscross {
namespace {

constexpr std::string_view kIntroduction =
    "# Result codes\n\n"
    "Every refusal and failure has a number. The number appears in logs, in "
    "dumps, in\n"
    "the output of `explain` and `check`, and at the start of the payload of "
    "a\n"
    "response to a caller: \"E201 refused_rate\".\n"
    "\"Not run\" is a guarantee: the request has not been run and will not "
    "be.\n"
    "\"CoAP\" is the response code that a caller receives; \"-\" marks codes "
    "that are\n"
    "never sent to callers.\n\n"
    "This page is the output of `cactuscross check --errors-markdown`; a test\n"
    "fails if the two differ.\n";

struct SectionRow {
  int hundreds;
  std::string_view title;
};

constexpr std::array kSections = {
    SectionRow{0, "0: done"},
    SectionRow{1, "1xx: settings, contracts and command line"},
    SectionRow{2, "2xx: refused, not run"},
    SectionRow{3, "3xx: not refused, but without a result"},
    SectionRow{4, "4xx: routing and isolation"},
    SectionRow{5, "5xx: malformed input"},
    SectionRow{6, "6xx: membership and configuration"}};

// Formats a CoAP code as "c.dd" (RFC 7252, section 3).
std::string FormatCoapCode(CoapCode code) {
  if (code == CoapCode::kEmpty) {
    return "-";
  }
  const auto number = static_cast<unsigned>(code);
  std::array<char, 8> text{};
  std::snprintf(text.data(), text.size(), "%u.%02u", number >> 5U,
                number & 31U);
  return text.data();
}

std::string FormatRow(const ResultCodeRow& row) {
  return "| " + std::to_string(ToNumber(row.code)) + " | `" +
         std::string(row.name) + "` | " + FormatCoapCode(row.coap_code) +
         " | " + (row.not_run ? "yes" : "no") + " | " + std::string(row.text) +
         " |\n";
}

}  // namespace

std::string FormatErrorsAsMarkdown() {
  std::string text(kIntroduction);
  for (const SectionRow& section : kSections) {
    text += "\n## " + std::string(section.title) + "\n\n";
    text += "| code | name | CoAP | not run | what happened, what to do |\n";
    text += "| --- | --- | --- | --- | --- |\n";
    for (const ResultCodeRow& row : ResultCodeTable()) {
      if (ToNumber(row.code) / 100 == section.hundreds) {
        text += FormatRow(row);
      }
    }
  }
  return text;
}

}  // namespace cactuscross
