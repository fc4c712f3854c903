#ifndef CACTUSCROSS_SRC_SHELL_HTTP_RESPONSE_PARSER_H_
#define CACTUSCROSS_SRC_SHELL_HTTP_RESPONSE_PARSER_H_

// Strict parser of HTTP/1.1 responses (RFC 9112). It accepts a response only if
// its headers determine the end of its body. Pistache's parser is not used for
// responses: it rejects one whose status line arrives in two segments, takes
// the Content-Length "x" for an empty body, an interim response for the final
// one, and chunks that are longer than their size for complete ones.

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cactuscross {

enum class HttpParseState : std::uint8_t {
  kIncomplete,
  kComplete,
  kTooLong,  // the body exceeds the limit; code and headers are valid
  kMalformed,
};

class HttpResponseParser {
 public:
  explicit HttpResponseParser(std::size_t max_body_bytes)
      : max_body_bytes(max_body_bytes) {}

  // Parses the next bytes of the connection. Has no effect after the state has
  // become final.
  HttpParseState Append(std::string_view bytes);

  int Code() const { return this->code; }
  // Returns the value of the first header `name`, whose case is ignored, or an
  // empty string.
  std::string_view Header(std::string_view name) const;
  std::string TakeBody() { return std::move(this->body); }
  // True if both ends may use the connection for another exchange: the server
  // keeps it open and has sent nothing after the response.
  bool KeepsConnection() const;

 private:
  // Each returns false if more bytes are needed or the state has become final.
  bool ReadHead();
  bool ReadChunk();

  bool ParseHead(std::string_view head);
  bool ParseStatusLine(std::string_view line);
  bool ParseHeaderLine(std::string_view line);
  // Determines from code and headers how the body ends.
  bool ParseFraming();
  void ReadCountedBody();
  void ReadTrailers(std::size_t start);
  // Ends the response before the offset `end` of the buffer.
  void Complete(std::size_t end);
  // Returns false.
  bool Fail(HttpParseState final_state);

  std::size_t max_body_bytes;
  HttpParseState state = HttpParseState::kIncomplete;
  std::string buffer;  // received, not yet parsed
  bool head_read = false;
  int code = 0;
  bool version_1_1 = false;
  std::vector<std::pair<std::string, std::string>> headers;
  bool chunked = false;
  std::uint64_t content_length = 0;  // if not chunked
  std::string body;
  bool surplus = false;  // bytes follow the response
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_SHELL_HTTP_RESPONSE_PARSER_H_
