#include "src/shell/http_client.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <string_view>

#include "src/config/value_parser.h"
#include "src/shell/socket_address.h"

namespace cactuscross {
namespace {

// Maximum number of bytes per recv() call.
constexpr std::size_t kReadBytes = 65536;

void AppendEncoded(std::string_view text,
                   std::string_view allowed,
                   std::string& target) {
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  for (const char character : text) {
    const auto byte = static_cast<unsigned char>(character);
    if (std::isalnum(byte) != 0 ||
        allowed.find(character) != std::string_view::npos) {
      target += character;
    } else {
      target += '%';
      target += kDigits[byte >> 4U];
      target += kDigits[byte & 15U];
    }
  }
}

std::string Serialize(const HttpRequest& request) {
  std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
  text += "Host: " + ToString(request.server) + "\r\n";
  text += request.keep_alive ? "Connection: keep-alive\r\n"
                             : "Connection: close\r\n";
  for (const auto& [name, value] : request.headers) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  if (!request.body.empty() || request.method != "GET") {
    text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  }
  text += "\r\n";
  text.append(request.body.begin(), request.body.end());
  return text;
}

}  // namespace

std::string EncodeTarget(std::string_view path, std::string_view query) {
  // RFC 3986, sections 3.3 and 3.4, and '%', which the input may contain from
  // an earlier encoding.
  constexpr std::string_view kPathBytes = "-._~!$&'()*+,;=:@/%";
  constexpr std::string_view kQueryBytes = "-._~!$&'()*+,;=:@/?%";
  std::string target = "/";
  AppendEncoded(path, kPathBytes, target);
  if (!query.empty()) {
    target += '?';
    AppendEncoded(query, kQueryBytes, target);
  }
  return target;
}

bool IsIdleConnection(const FileDescriptor& socket) {
  char byte = 0;
  return socket.IsOpen() &&
         recv(socket.Get(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
         errno == EAGAIN;
}

HttpExchange::HttpExchange(HttpRequest request,
                           TimePoint deadline,
                           FileDescriptor connection)
    : request(std::move(request)),
      deadline(deadline),
      socket(std::move(connection)),
      request_bytes(Serialize(this->request)),
      parser(this->request.max_body_bytes) {
  if (this->socket.IsOpen()) {
    this->stage = Stage::kSending;
  } else {
    this->Connect();
  }
}

pollfd HttpExchange::PollEntry() const {
  if (this->done) {
    return {-1, 0, 0};
  }
  const short events = this->stage == Stage::kReceiving ? POLLIN : POLLOUT;
  return {this->socket.Get(), events, 0};
}

void HttpExchange::Continue(TimePoint now, short events) {
  if (!this->done && events != 0 && this->stage == Stage::kConnecting) {
    this->FinishConnect();
  }
  if (!this->done && this->stage == Stage::kSending) {
    this->Send();
  }
  if (!this->done && events != 0 && this->stage == Stage::kReceiving) {
    this->Receive();
  }
  if (!this->done && now >= this->deadline) {
    this->Finish(this->HasSent() ? ServerCallStatus::kTimedOut
                                 : ServerCallStatus::kNotSent);
  }
}

void HttpExchange::Connect() {
  this->socket = FileDescriptor(
      ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  const sockaddr_in address = ToSocketAddress(this->request.server);
  const int no_delay = 1;
  setsockopt(this->socket.Get(), IPPROTO_TCP, TCP_NODELAY, &no_delay,
             sizeof(no_delay));
  this->stage = Stage::kConnecting;
  if (connect(this->socket.Get(), reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) == 0) {
    this->stage = Stage::kSending;
  } else if (errno != EINPROGRESS) {
    this->Finish(ServerCallStatus::kNotSent);
  }
}

void HttpExchange::FinishConnect() {
  int error = 0;
  socklen_t size = sizeof(error);
  getsockopt(this->socket.Get(), SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0) {
    this->Finish(ServerCallStatus::kNotSent);
    return;
  }
  this->stage = Stage::kSending;
}

void HttpExchange::Send() {
  while (this->sent < this->request_bytes.size()) {
    const ssize_t count =
        send(this->socket.Get(), this->request_bytes.data() + this->sent,
             this->request_bytes.size() - this->sent, MSG_NOSIGNAL);
    if (count < 0) {
      if (errno != EAGAIN && errno != EINTR) {
        this->Fail();
      }
      return;
    }
    this->sent += static_cast<std::size_t>(count);
  }
  this->stage = Stage::kReceiving;
}

void HttpExchange::Receive() {
  std::array<char, kReadBytes> buffer;
  while (!this->done) {
    const ssize_t count =
        recv(this->socket.Get(), buffer.data(), buffer.size(), 0);
    if (count > 0) {
      this->received = true;
      this->Parse({buffer.data(), static_cast<std::size_t>(count)});
    } else if (count == 0 || (errno != EAGAIN && errno != EINTR)) {
      this->Fail();
    } else {
      return;
    }
  }
}

void HttpExchange::Parse(std::string_view bytes) {
  switch (this->parser.Append(bytes)) {
    case HttpParseState::kIncomplete:
      break;
    case HttpParseState::kComplete:
      this->FinishWithResponse(/*body_complete=*/true);
      break;
    case HttpParseState::kTooLong:
      this->FinishWithResponse(/*body_complete=*/false);
      break;
    case HttpParseState::kMalformed:
      this->response.malformed = true;
      this->Fail();
      break;
  }
}

void HttpExchange::FinishWithResponse(bool body_complete) {
  const HttpResponseParser& parsed = this->parser;
  const bool keep = this->request.keep_alive && parsed.KeepsConnection();
  this->response.code = parsed.Code();
  if (!this->request.response_header.empty()) {
    this->response.header = parsed.Header(this->request.response_header);
  }
  this->response.not_run = parsed.Header("Not-Run") == "1";
  const auto retry_after = ParseNumber(parsed.Header("Retry-After"));
  this->response.retry_after_s = static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(retry_after.value_or(0), 0, UINT32_MAX));
  this->response.body = this->parser.TakeBody();
  if (!body_complete) {
    this->response.body.resize(this->request.max_body_bytes + 1);
  }
  FileDescriptor kept = keep ? std::move(this->socket) : FileDescriptor();
  this->Finish(ServerCallStatus::kAnswered);
  this->socket = std::move(kept);
}

void HttpExchange::Fail() {
  this->Finish(this->HasSent() ? ServerCallStatus::kBroken
                               : ServerCallStatus::kNotSent);
}

void HttpExchange::Finish(ServerCallStatus status) {
  this->response.status = status;
  this->done = true;
  this->socket.Close();
}

}  // namespace cactuscross
