#ifndef CACTUSCROSS_SRC_SHELL_UDP_SOCKET_H_
#define CACTUSCROSS_SRC_SHELL_UDP_SOCKET_H_

// A non-blocking IPv4 UDP socket that receives and sends in batches.

#include <memory>
#include <vector>

#include <gsl/span>
#include <tl/expected.hpp>

#include "cactuscross/types.h"
#include "src/shell/system.h"

namespace cactuscross {

// Maximum number of datagrams that one call of Receive() returns.
inline constexpr std::size_t kReceiveBatch = 32;

struct ReceivedDatagram {
  Endpoint source;
  ByteView bytes;  // valid until the next Receive() in this thread
  bool truncated = false;
  Duration age{0};  // time since the kernel received it
};

struct OutgoingDatagram {
  Endpoint destination;
  Bytes bytes;
};

class UdpSocket {
 public:
  // Opens a socket bound to `local`; port 0 selects a free port. Returns errno
  // on failure.
  static tl::expected<UdpSocket, int> Open(const Endpoint& local);

  int Get() const { return this->socket.Get(); }

  // Returns the address that the socket is bound to.
  Endpoint Local() const;

  // Returns up to kReceiveBatch datagrams without blocking.
  std::vector<ReceivedDatagram> Receive() const;

  // Sends all datagrams and returns how many of them the kernel accepted.
  std::size_t Send(gsl::span<const OutgoingDatagram> datagrams) const;

 private:
  explicit UdpSocket(FileDescriptor socket) : socket(std::move(socket)) {}

  FileDescriptor socket;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_SHELL_UDP_SOCKET_H_
