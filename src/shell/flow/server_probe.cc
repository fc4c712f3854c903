#include "src/shell/flow/server_probe.h"

#include <sys/socket.h>

#include <cerrno>
#include <utility>

#include "src/shell/socket_address.h"

namespace cactuscross {
namespace {

// The server is on this host, where a connection takes well under a
// millisecond.
constexpr Duration kConnectTimeout{150000};  // 150 ms
// Time until an attempt that could not be made is repeated.
constexpr Duration kRetryInterval{100000};  // 100 ms

}  // namespace

void ServerProbe::Begin(TimePoint now) {
  this->started_at = now;
  this->immediate_result = ProbeResult::kNone;
  this->socket = FileDescriptor(
      ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  const sockaddr_in address = ToSocketAddress(this->server);
  if (connect(this->socket.Get(), reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) == 0) {
    this->immediate_result = ProbeResult::kAccepted;
  } else if (errno == ECONNREFUSED) {
    this->immediate_result = ProbeResult::kRefused;
  }
  this->failed = this->immediate_result == ProbeResult::kNone &&
                 (!this->socket.IsOpen() || errno != EINPROGRESS);
  if (this->failed) {
    this->socket.Close();
  }
}

void ServerProbe::AppendPollEntries(std::vector<pollfd>& entries) const {
  if (this->socket.IsOpen()) {
    entries.push_back({this->socket.Get(), POLLOUT, 0});
  }
}

ProbeResult ServerProbe::Continue(TimePoint now) {
  if (this->failed && now - this->started_at >= kRetryInterval) {
    this->Begin(now);
  }
  if (!this->socket.IsOpen()) {
    return ProbeResult::kNone;
  }
  ProbeResult result =
      std::exchange(this->immediate_result, ProbeResult::kNone);
  pollfd entry{this->socket.Get(), POLLOUT, 0};
  if (result == ProbeResult::kNone && poll(&entry, 1, 0) == 1) {
    int error = 0;
    socklen_t size = sizeof(error);
    getsockopt(this->socket.Get(), SOL_SOCKET, SO_ERROR, &error, &size);
    result = error == 0              ? ProbeResult::kAccepted
             : error == ECONNREFUSED ? ProbeResult::kRefused
                                     : ProbeResult::kTimedOut;
  }
  if (result == ProbeResult::kNone &&
      now - this->started_at >= kConnectTimeout) {
    result = ProbeResult::kTimedOut;
  }
  if (result != ProbeResult::kNone) {
    this->socket.Close();
  }
  return result;
}

}  // namespace cactuscross
