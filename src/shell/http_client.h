#ifndef CACTUSCROSS_SRC_SHELL_HTTP_CLIENT_H_
#define CACTUSCROSS_SRC_SHELL_HTTP_CLIENT_H_

// HTTP/1.1 client over non-blocking sockets. Pistache's client is not used
// because it does not distinguish a request
// of which no byte was sent from one that failed later. That difference decides
// whether the request may be retried.

#include <poll.h>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "cactuscross/server_message.h"
#include "cactuscross/types.h"
#include "src/shell/http_response_parser.h"
#include "src/shell/system.h"

namespace cactuscross {

struct HttpRequest {
  Endpoint server;
  std::string method;
  std::string target;  // see EncodeTarget()
  std::vector<std::pair<std::string, std::string>> headers;
  Bytes body;
  std::size_t max_body_bytes = 0;  // of the response
  // Name of a header whose value is returned in HttpResponse::header; empty:
  // none.
  std::string response_header;
  // Asks the server to keep the connection for a later exchange.
  bool keep_alive = false;
};

struct HttpResponse {
  ServerCallStatus status = ServerCallStatus::kNotSent;
  int code = 0;
  std::uint32_t retry_after_s = 0;
  bool not_run = false;
  bool malformed = false;  // the received bytes are not a valid response
  // Value of HttpRequest::response_header; empty: the response has none.
  std::string header;
  // The complete body if it fits into `max_body_bytes`; else resized to one
  // byte more, which shows that it was too long.
  std::string body;
};

// Joins path and query to a request target. Bytes that are not allowed there
// are percent-encoded, except '%' itself: the input may already be encoded.
std::string EncodeTarget(std::string_view path, std::string_view query);

// True if the connection is open and has nothing to read, neither data nor
// end-of-file. A server may send an answer twice; on a connection with
// something to read, the second copy would be taken for the answer to the next
// request.
bool IsIdleConnection(const FileDescriptor& socket);

// One request and its response over a connection.
class HttpExchange {
 public:
  // Starts to connect, or reuses `connection` of an earlier exchange if it is
  // open. The caller has checked that it is idle. `deadline` bounds the whole
  // exchange.
  HttpExchange(HttpRequest request,
               TimePoint deadline,
               FileDescriptor connection = FileDescriptor());

  // Events to poll for; the descriptor is -1 when the exchange is done.
  pollfd PollEntry() const;

  // Continues the exchange after poll() returned `events`. Ends it if `now` has
  // reached the deadline.
  void Continue(TimePoint now, short events);

  bool IsDone() const { return this->done; }
  // True once the kernel has accepted a byte of the request.
  bool HasSent() const { return this->sent > 0; }
  // True once a byte of the response has been received.
  bool HasReceived() const { return this->received; }
  HttpResponse& Response() { return this->response; }
  // Returns the connection if the response is complete and both sides keep the
  // connection alive, else a closed descriptor.
  FileDescriptor TakeConnection() { return std::move(this->socket); }

 private:
  enum class Stage : std::uint8_t { kConnecting, kSending, kReceiving };

  void Connect();
  void FinishConnect();
  void Send();
  void Receive();
  void Parse(std::string_view bytes);
  void FinishWithResponse(bool body_complete);
  // Ends the exchange because the connection failed before the response was
  // complete.
  void Fail();
  void Finish(ServerCallStatus status);

  HttpRequest request;
  TimePoint deadline;
  FileDescriptor socket;
  Stage stage = Stage::kConnecting;
  std::string request_bytes;
  std::size_t sent = 0;
  bool done = false;
  bool received = false;
  HttpResponseParser parser;
  HttpResponse response;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_SHELL_HTTP_CLIENT_H_
