#include "src/shell/http_response_parser.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <optional>
#include <system_error>
#include <type_traits>

namespace cactuscross {
namespace {

// Maximum size of the status line and headers, and of the trailers.
constexpr std::size_t kMaxHeadBytes = 16384;
// Maximum length of the line that starts a chunk.
constexpr std::size_t kMaxChunkLineBytes = 64;
constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeadEnd = "\r\n\r\n";

constexpr int kFirstFinalCode = 200;
constexpr int kLastCode = 599;
constexpr int kSwitchingProtocols = 101;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) {
    return std::tolower(static_cast<unsigned char>(x)) ==
           std::tolower(static_cast<unsigned char>(y));
  });
}

// Returns the number that `digits` consists of, or nullopt.
template <typename Number>
std::optional<Number> ParseDigits(std::string_view digits, int base) {
  // from_chars() accepts a sign only for signed types.
  static_assert(std::is_unsigned_v<Number>);
  Number number = 0;
  const char* const end = digits.data() + digits.size();
  const auto [stop, error] = std::from_chars(digits.data(), end, number, base);
  if (digits.empty() || error != std::errc() || stop != end) {
    return std::nullopt;
  }
  return number;
}

std::string_view TrimSpaces(std::string_view text) {
  constexpr std::string_view kSpaces = " \t";
  const std::size_t first = text.find_first_not_of(kSpaces);
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(kSpaces) - first + 1);
}

bool IsTokenByte(char character) {
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  return std::isalnum(static_cast<unsigned char>(character)) != 0 ||
         kMarks.find(character) != std::string_view::npos;
}

}  // namespace

HttpParseState HttpResponseParser::Append(std::string_view bytes) {
  if (this->state != HttpParseState::kIncomplete) {
    return this->state;
  }
  this->buffer.append(bytes);
  while (!this->head_read && this->ReadHead()) {
  }
  if (!this->head_read || this->state != HttpParseState::kIncomplete) {
    return this->state;
  }
  if (!this->chunked) {
    this->ReadCountedBody();
    return this->state;
  }
  while (this->ReadChunk()) {
  }
  return this->state;
}

std::string_view HttpResponseParser::Header(std::string_view name) const {
  const auto found = std::find_if(
      this->headers.begin(), this->headers.end(), [name](const auto& header) {
        return EqualsIgnoringCase(header.first, name);
      });
  return found == this->headers.end() ? std::string_view() : found->second;
}

bool HttpResponseParser::KeepsConnection() const {
  const std::string_view connection = this->Header("Connection");
  const bool keeps = connection.empty()
                         ? this->version_1_1
                         : EqualsIgnoringCase(connection, "keep-alive");
  return this->state == HttpParseState::kComplete && keeps && !this->surplus;
}

bool HttpResponseParser::ReadHead() {
  const std::size_t end = this->buffer.find(kHeadEnd);
  if (std::min(end, this->buffer.size()) > kMaxHeadBytes) {
    return this->Fail(HttpParseState::kMalformed);
  }
  if (end == std::string::npos) {
    return false;
  }
  this->headers.clear();
  if (!this->ParseHead(std::string_view(this->buffer).substr(0, end))) {
    return this->Fail(HttpParseState::kMalformed);
  }
  this->buffer.erase(0, end + kHeadEnd.size());
  if (this->code < kFirstFinalCode) {
    return true;  // an interim response; the final one follows
  }
  this->head_read = this->ParseFraming();
  return this->head_read || this->Fail(HttpParseState::kMalformed);
}

bool HttpResponseParser::ParseHead(std::string_view head) {
  std::size_t end = std::min(head.find(kLineEnd), head.size());
  if (!this->ParseStatusLine(head.substr(0, end))) {
    return false;
  }
  while (end < head.size()) {
    const std::size_t start = end + kLineEnd.size();
    end = std::min(head.find(kLineEnd, start), head.size());
    if (!this->ParseHeaderLine(head.substr(start, end - start))) {
      return false;
    }
  }
  return true;
}

bool HttpResponseParser::ParseStatusLine(std::string_view line) {
  constexpr std::string_view kVersion = "HTTP/1.";
  constexpr std::size_t kMinorOffset = kVersion.size();
  constexpr std::size_t kCodeOffset = kMinorOffset + 2;
  constexpr std::size_t kCodeBytes = 3;
  constexpr std::size_t kMinBytes = kCodeOffset + kCodeBytes;
  if (line.size() < kMinBytes || line.substr(0, kMinorOffset) != kVersion ||
      line[kCodeOffset - 1] != ' ' ||
      (line.size() > kMinBytes && line[kMinBytes] != ' ')) {
    return false;
  }
  this->version_1_1 = line[kMinorOffset] == '1';
  const auto number =
      ParseDigits<unsigned>(line.substr(kCodeOffset, kCodeBytes), 10);
  this->code = static_cast<int>(number.value_or(0));
  return this->code >= 100 && this->code <= kLastCode &&
         this->code != kSwitchingProtocols;
}

bool HttpResponseParser::ParseHeaderLine(std::string_view line) {
  const std::size_t colon = line.find(':');
  if (colon == 0 || colon == std::string_view::npos) {
    return false;
  }
  const std::string_view name = line.substr(0, colon);
  if (!std::all_of(name.begin(), name.end(), IsTokenByte)) {
    return false;
  }
  this->headers.emplace_back(name, TrimSpaces(line.substr(colon + 1)));
  return true;
}

bool HttpResponseParser::ParseFraming() {
  std::optional<std::uint64_t> length;
  for (const auto& [name, value] : this->headers) {
    if (EqualsIgnoringCase(name, "Transfer-Encoding")) {
      if (this->chunked || !EqualsIgnoringCase(value, "chunked")) {
        return false;
      }
      this->chunked = true;
    } else if (EqualsIgnoringCase(name, "Content-Length")) {
      const auto number = ParseDigits<std::uint64_t>(value, 10);
      if (!number || (length && *length != *number)) {
        return false;
      }
      length = number;
    }
  }
  if (this->code == kNoContent || this->code == kNotModified) {
    this->chunked = false;
    return true;
  }
  this->content_length = length.value_or(0);
  // A response with both was changed on its way or is an attempt to hide
  // another one in its body.
  return this->chunked != length.has_value();
}

void HttpResponseParser::ReadCountedBody() {
  if (this->content_length > this->max_body_bytes) {
    this->Fail(HttpParseState::kTooLong);
  } else if (this->buffer.size() >= this->content_length) {
    this->body = this->buffer.substr(0, this->content_length);
    this->Complete(this->content_length);
  }
}

bool HttpResponseParser::ReadChunk() {
  const std::size_t line_end = this->buffer.find(kLineEnd);
  if (std::min(line_end, this->buffer.size()) > kMaxChunkLineBytes) {
    return this->Fail(HttpParseState::kMalformed);
  }
  if (line_end == std::string::npos) {
    return false;
  }
  const std::string_view line =
      std::string_view(this->buffer).substr(0, line_end);
  const auto size =
      ParseDigits<std::uint32_t>(line.substr(0, line.find(';')), 16);
  if (!size) {
    return this->Fail(HttpParseState::kMalformed);
  }
  if (*size == 0) {
    this->ReadTrailers(line_end);
    return false;
  }
  if (this->body.size() + *size > this->max_body_bytes) {
    return this->Fail(HttpParseState::kTooLong);
  }
  const std::size_t start = line_end + kLineEnd.size();
  const std::size_t end = start + *size;
  if (this->buffer.size() < end + kLineEnd.size()) {
    return false;
  }
  if (this->buffer.compare(end, kLineEnd.size(), kLineEnd) != 0) {
    return this->Fail(HttpParseState::kMalformed);
  }
  this->body.append(this->buffer, start, *size);
  this->buffer.erase(0, end + kLineEnd.size());
  return true;
}

// `start` is the end of the last chunk's line, so that the end of the trailers
// is found as well if there are none.
void HttpResponseParser::ReadTrailers(std::size_t start) {
  const std::size_t end = this->buffer.find(kHeadEnd, start);
  if (end != std::string::npos) {
    this->Complete(end + kHeadEnd.size());
  } else if (this->buffer.size() - start > kMaxHeadBytes) {
    this->Fail(HttpParseState::kMalformed);
  }
}

void HttpResponseParser::Complete(std::size_t end) {
  this->surplus = this->buffer.size() > end;
  this->buffer.clear();
  this->state = HttpParseState::kComplete;
}

bool HttpResponseParser::Fail(HttpParseState final_state) {
  this->state = final_state;
  this->buffer.clear();
  return false;
}

}  // namespace cactuscross
