#ifndef CACTUSCROSS_SRC_SHELL_FLOW_HTTP_LISTENER_H_
#define CACTUSCROSS_SRC_SHELL_FLOW_HTTP_LISTENER_H_

// Answers GET requests in the polling thread, parsed by Pistache. Pistache's
// own endpoint runs two threads for each address, which costs more memory than
// the rest of a flow process.

#include <poll.h>

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <pistache/http.h>

#include "cactuscross/types.h"
#include "src/shell/system.h"

namespace cactuscross {

struct HttpReply {
  int code = 404;
  std::string body;
};

// Returns the reply to GET `path`.
using HttpHandler = std::function<HttpReply(std::string_view path)>;

class HttpListener {
 public:
  // Throws std::system_error where `address` cannot be bound.
  HttpListener(const Endpoint& address, HttpHandler handler);

  void AppendPollEntries(std::vector<pollfd>& entries) const;
  // Accepts, reads and answers whatever is there.
  void Continue(TimePoint now);

 private:
  struct Connection {
    FileDescriptor socket;
    std::unique_ptr<Pistache::Http::RequestParser> parser;
    TimePoint last_used;
  };

  void Accept(TimePoint now);
  // False if the connection is over.
  bool Serve(TimePoint now, Connection& connection);
  bool Reply(Connection& connection);

  FileDescriptor socket;
  HttpHandler handler;
  std::list<Connection> connections;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_SHELL_FLOW_HTTP_LISTENER_H_
