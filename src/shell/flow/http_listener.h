#ifndef CACTUSCROSS_SRC_SHELL_FLOW_HTTP_LISTENER_H_
#define CACTUSCROSS_SRC_SHELL_FLOW_HTTP_LISTENER_H_

// HTTP server for GET requests that runs in the event loop's thread; Pistache
// parses the requests. Pistache's own endpoint is not used because it runs two
// threads per address, which take more memory than the rest of a flow process.

#include <poll.h>

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <pistache/http.h>

#include "cactuscross/types.h"
#include "src/shell/flow/poll_set.h"
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
  // Throws std::system_error if `address` cannot be bound.
  HttpListener(const Endpoint& address, HttpHandler handler);

  void AppendPollEntries(std::vector<pollfd>& entries) const;
  // Accepts pending connections and serves pending requests without blocking.
  void Continue(TimePoint now, const PollSet& poll_set);

 private:
  struct Connection {
    FileDescriptor socket;
    std::unique_ptr<Pistache::Http::RequestParser> parser;
    TimePoint last_used;
  };

  void Accept(TimePoint now);
  // Serves the requests that have arrived. Returns false if the connection must
  // be closed.
  bool Serve(TimePoint now, Connection& connection);
  bool Reply(Connection& connection);

  FileDescriptor socket;
  HttpHandler handler;
  std::list<Connection> connections;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_SHELL_FLOW_HTTP_LISTENER_H_
