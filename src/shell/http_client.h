#ifndef CACTUSCROSS_SRC_SHELL_HTTP_CLIENT_H_
#define CACTUSCROSS_SRC_SHELL_HTTP_CLIENT_H_

// HTTP/1.1 exchanges over non-blocking sockets, parsed by Pistache. Pistache's
// own client is not used: it does not tell a request of which no byte left from
// one that broke later, and that decides whether a request may be run again.

#include <poll.h>

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <pistache/http.h>

#include "cactuscross/server_message.h"
#include "cactuscross/types.h"
#include "src/shell/system.h"

namespace cactuscross {

struct HttpRequest {
  Endpoint server;
  std::string method;
  std::string target;  // see EncodeTarget()
  std::vector<std::pair<std::string, std::string>> headers;
  Bytes body;
  std::size_t max_body_bytes = 0;  // of the answer
  // Asks the server to keep the connection for a later exchange.
  bool keep_alive = false;
};

struct HttpResponse {
  ServerCallStatus status = ServerCallStatus::kNotSent;
  int code = 0;
  std::uint32_t retry_after_s = 0;
  bool not_run = false;
  bool malformed = false;  // bytes came that are no HTTP answer
  // Whole if it fits; else cut to one byte more than `max_body_bytes`.
  std::string body;
};

// Joins path and query to a request target. Bytes that may not stand in one are
// percent-encoded; '%' itself is left.
std::string EncodeTarget(std::string_view path, std::string_view query);

// One request and its answer over a connection.
class HttpExchange {
 public:
  // Begins to connect, or to send over `connection`, that of an earlier
  // exchange. `deadline` bounds the whole exchange.
  HttpExchange(HttpRequest request,
               TimePoint deadline,
               FileDescriptor connection = FileDescriptor());

  // What to poll for; the descriptor is -1 when done.
  pollfd PollEntry() const;

  // Goes on after poll returned. `now` ends the exchange past its deadline.
  void Continue(TimePoint now, short events);

  bool IsDone() const { return this->done; }
  // True once the system took a byte of the request.
  bool HasSent() const { return this->sent > 0; }
  // True once a byte of an answer came.
  bool HasReceived() const { return this->received; }
  HttpResponse& Response() { return this->response; }
  // The connection after a whole answer if both sides keep it, else closed.
  FileDescriptor TakeConnection() { return std::move(this->socket); }

 private:
  enum class Stage : std::uint8_t { kConnecting, kSending, kReceiving };

  void Connect();
  void FinishConnect();
  void Send();
  void Receive();
  void Parse(const char* bytes, std::size_t size);
  void FinishWithResponse(bool body_complete);
  // The connection has ended without a whole answer.
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
  // Apart, since the parser's steps point into it.
  std::unique_ptr<Pistache::Http::ResponseParser> parser;
  HttpResponse response;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_SHELL_HTTP_CLIENT_H_
