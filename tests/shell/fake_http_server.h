#ifndef CACTUSCROSS_TESTS_SHELL_FAKE_HTTP_SERVER_H_
#define CACTUSCROSS_TESTS_SHELL_FAKE_HTTP_SERVER_H_

// An HTTP server that answers each request with fixed bytes. The test calls
// Step() from its own thread. Only the connection accepted last is served.

#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <cstdlib>
#include <string>
#include <utility>

#include "src/shell/socket_address.h"
#include "src/shell/system.h"

namespace cactuscross::testing {

// What the server does after the end of a request's headers has arrived.
enum class AfterRequest : std::uint8_t {
  kRespond,
  kRespondAndClose,
  kNoResponse
};

class FakeHttpServer {
 public:
  FakeHttpServer(std::string response, AfterRequest after_request)
      : listener(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)),
        response(std::move(response)),
        after_request(after_request) {
    const sockaddr_in address = ToSocketAddress(Endpoint{0x7F000001, 0});
    if (bind(this->listener.Get(), reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) != 0) {
      std::abort();
    }
    listen(this->listener.Get(), 8);
  }

  Endpoint Local() const {
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    getsockname(this->listener.Get(), reinterpret_cast<sockaddr*>(&address),
                &size);
    return ToEndpoint(address);
  }

  // Accepts, reads and responds as far as possible without blocking.
  void Step() {
    FileDescriptor accepted(
        accept4(this->listener.Get(), nullptr, nullptr, SOCK_NONBLOCK));
    if (accepted.IsOpen()) {
      ++this->connection_count;
      this->connection = std::move(accepted);
      this->last_request.clear();
      this->responded = false;
    }
    std::array<char, 4096> buffer{};
    ssize_t count = 0;
    while (this->connection.IsOpen() &&
           (count = recv(this->connection.Get(), buffer.data(), buffer.size(),
                         0)) > 0) {
      if (this->responded) {  // the next request over this connection
        this->last_request.clear();
        this->responded = false;
      }
      this->last_request.append(buffer.data(), static_cast<std::size_t>(count));
      this->all_received.append(buffer.data(), static_cast<std::size_t>(count));
    }
    const bool complete =
        this->last_request.find("\r\n\r\n") != std::string::npos;
    if (complete && !this->responded && this->IsHealthRequest()) {
      this->responded = true;
      this->unsent = this->health_response;
    } else if (complete && !this->responded &&
               this->after_request != AfterRequest::kNoResponse) {
      this->responded = true;
      this->unsent = this->response;
    }
    this->SendUnsent();
  }

  // Makes the server answer GET /health with the name `service`. The connection
  // stays open after the response unless `close_after_health`.
  void SetService(const std::string& service, bool close_after_health = false) {
    const std::string body =
        R"({"service":")" + service + R"(","state":"serving","in_flight":0})";
    this->health_response =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
        "\r\n\r\n" + body;
    this->close_after_health = close_after_health;
  }
  void SetHealthResponse(std::string bytes) {
    this->health_response = std::move(bytes);
  }
  void SetResponse(std::string bytes) { this->response = std::move(bytes); }
  // Sends `bytes` although no request asks for them.
  void SendUnrequested(const std::string& bytes) {
    this->unsent += bytes;
    this->SendUnsent();
  }

  // All bytes received over all connections.
  const std::string& AllReceived() const { return this->all_received; }
  // The bytes of the last request.
  const std::string& LastRequest() const { return this->last_request; }
  int ConnectionCount() const { return this->connection_count; }
  void CloseConnection() { this->connection.Close(); }

 private:
  bool IsHealthRequest() const {
    return !this->health_response.empty() &&
           this->last_request.rfind("GET /health ", 0) == 0;
  }

  void SendUnsent() {
    while (!this->unsent.empty()) {
      const ssize_t count = send(this->connection.Get(), this->unsent.data(),
                                 this->unsent.size(), MSG_NOSIGNAL);
      if (count <= 0) {
        return;
      }
      this->unsent.erase(0, static_cast<std::size_t>(count));
    }
    const bool close =
        this->IsHealthRequest()
            ? this->close_after_health
            : this->after_request == AfterRequest::kRespondAndClose;
    if (this->responded && close) {
      this->connection.Close();
    }
  }

  FileDescriptor listener;
  FileDescriptor connection;
  std::string response;
  // If empty, GET /health is answered like any other request.
  std::string health_response;
  std::string unsent;
  std::string last_request;
  std::string all_received;
  AfterRequest after_request;
  bool responded = false;
  bool close_after_health = false;
  int connection_count = 0;
};

}  // namespace cactuscross::testing

#endif  // CACTUSCROSS_TESTS_SHELL_FAKE_HTTP_SERVER_H_
