#include "src/shell/flow/http_listener.h"

#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <system_error>
#include <utility>

#include "src/shell/socket_address.h"

namespace cactuscross {
namespace {

constexpr int kBacklog = 64;
constexpr std::size_t kMaxRequestBytes = 4096;
constexpr std::size_t kMaxConnections = 64;
// Routers query readiness twice a second, so a connection that has been idle
// for this long is dead.
constexpr Duration kIdleTimeout{10000000};  // 10 s

FileDescriptor Listen(const Endpoint& endpoint) {
  FileDescriptor socket(
      ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  const int on = 1;
  setsockopt(socket.Get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = ToSocketAddress(endpoint);
  if (bind(socket.Get(), reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0 ||
      listen(socket.Get(), kBacklog) != 0) {
    throw std::system_error(errno, std::generic_category(),
                            "listen on " + ToString(endpoint));
  }
  return socket;
}

std::string_view ReasonPhrase(int code) {
  switch (code) {
    case 200:
      return "OK";
    case 404:
      return "Not Found";
    default:
      return "Service Unavailable";
  }
}

}  // namespace

HttpListener::HttpListener(const Endpoint& address, HttpHandler handler)
    : socket(Listen(address)), handler(std::move(handler)) {}

void HttpListener::AppendPollEntries(std::vector<pollfd>& entries) const {
  entries.push_back({this->socket.Get(), POLLIN, 0});
  for (const Connection& connection : this->connections) {
    entries.push_back({connection.socket.Get(), POLLIN, 0});
  }
}

void HttpListener::Continue(TimePoint now, const PollSet& poll_set) {
  if (poll_set.IsReady(this->socket.Get())) {
    this->Accept(now);
  }
  for (auto connection = this->connections.begin();
       connection != this->connections.end();) {
    const bool keep = poll_set.IsReady(connection->socket.Get())
                          ? this->Serve(now, *connection)
                          : now - connection->last_used < kIdleTimeout;
    connection =
        keep ? std::next(connection) : this->connections.erase(connection);
  }
}

void HttpListener::Accept(TimePoint now) {
  while (true) {
    FileDescriptor accepted(accept4(this->socket.Get(), nullptr, nullptr,
                                    SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!accepted.IsOpen()) {
      return;
    }
    if (this->connections.size() >= kMaxConnections) {
      this->connections.pop_front();
    }
    Connection& connection = this->connections.emplace_back();
    connection.socket = std::move(accepted);
    connection.parser =
        std::make_unique<Pistache::Http::RequestParser>(kMaxRequestBytes);
    connection.last_used = now;
  }
}

bool HttpListener::Serve(TimePoint now, Connection& connection) {
  std::array<char, 2048> buffer;
  while (true) {
    const ssize_t count =
        recv(connection.socket.Get(), buffer.data(), buffer.size(), 0);
    if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
      return true;
    }
    if (count <= 0) {
      return false;
    }
    connection.last_used = now;
    // Pistache throws exceptions of several types for malformed requests.
    try {
      if (!connection.parser->feed(buffer.data(),
                                   static_cast<std::size_t>(count))) {
        return false;
      }
      if (connection.parser->parse() == Pistache::Http::Private::State::Done &&
          !this->Reply(connection)) {
        return false;
      }
    } catch (const std::exception&) {
      return false;
    }
  }
}

bool HttpListener::Reply(Connection& connection) {
  const HttpReply reply = this->handler(connection.parser->request.resource());
  const std::string text = "HTTP/1.1 " + std::to_string(reply.code) + " " +
                           std::string(ReasonPhrase(reply.code)) +
                           "\r\nContent-Type: text/plain\r\nContent-Length: " +
                           std::to_string(reply.body.size()) + "\r\n\r\n" +
                           reply.body;
  connection.parser->reset();
  // A reply fits into the socket's send buffer. If the client does not read and
  // the buffer is full, the connection is closed.
  return send(connection.socket.Get(), text.data(), text.size(),
              MSG_NOSIGNAL | MSG_DONTWAIT) == static_cast<ssize_t>(text.size());
}

}  // namespace cactuscross
