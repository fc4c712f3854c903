#include "src/shell/udp_socket.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <ctime>

#include "src/shell/socket_address.h"

namespace cactuscross {
namespace {

// Receive buffer size per datagram: the maximum IPv4 UDP payload.
constexpr std::size_t kMaxUdpPayloadBytes = 65507;
// Requested size of the kernel's send and receive buffers; the kernel may grant
// less.
constexpr int kSocketBufferBytes = 4 << 20;
// Maximum number of datagrams per sendmmsg() call.
constexpr std::size_t kSendBatch = 64;

// Control data size for the timestamp that the kernel adds to a datagram.
constexpr std::size_t kTimestampControlBytes = CMSG_SPACE(sizeof(timespec));

// Receive buffers, one instance per thread.
struct ReceiveBuffers {
  std::array<std::array<std::uint8_t, kMaxUdpPayloadBytes>, kReceiveBatch>
      bytes;
  std::array<sockaddr_in, kReceiveBatch> sources;
  std::array<iovec, kReceiveBatch> vectors;
  std::array<mmsghdr, kReceiveBatch> headers;
  alignas(cmsghdr) std::array<std::array<char, kTimestampControlBytes>,
                              kReceiveBatch> controls;

  void Reset() {
    for (std::size_t i = 0; i < kReceiveBatch; ++i) {
      this->vectors[i] = {this->bytes[i].data(), this->bytes[i].size()};
      this->headers[i] = {};
      this->headers[i].msg_hdr.msg_name = &this->sources[i];
      this->headers[i].msg_hdr.msg_namelen = sizeof(sockaddr_in);
      this->headers[i].msg_hdr.msg_iov = &this->vectors[i];
      this->headers[i].msg_hdr.msg_iovlen = 1;
      this->headers[i].msg_hdr.msg_control = this->controls[i].data();
      this->headers[i].msg_hdr.msg_controllen = kTimestampControlBytes;
    }
  }
};

ReceiveBuffers& Buffers() {
  // Default-initialized, because zeroing would touch all pages. Untouched pages
  // use no physical memory.
  thread_local const std::unique_ptr<ReceiveBuffers> buffers(
      new ReceiveBuffers);
  return *buffers;
}

Duration ToDuration(const timespec& time) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::seconds(time.tv_sec) +
      std::chrono::nanoseconds(time.tv_nsec));
}

// Returns the time since the kernel received a datagram, or 0 without a
// timestamp. The kernel's timestamps use the wall clock, so a step of that
// clock distorts the result.
Duration AgeOf(msghdr& header, const timespec& now) {
  const cmsghdr* control = CMSG_FIRSTHDR(&header);
  if (control == nullptr || control->cmsg_level != SOL_SOCKET ||
      control->cmsg_type != SCM_TIMESTAMPNS) {
    return Duration{0};
  }
  timespec received{};
  std::memcpy(&received, CMSG_DATA(control), sizeof(received));
  return std::max(ToDuration(now) - ToDuration(received), Duration{0});
}

}  // namespace

tl::expected<UdpSocket, int> UdpSocket::Open(const Endpoint& local) {
  FileDescriptor socket(
      ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  const sockaddr_in address = ToSocketAddress(local);
  if (!socket.IsOpen() ||
      bind(socket.Get(), reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0) {
    return tl::unexpected<int>(errno);
  }
  const int on = 1;
  setsockopt(socket.Get(), SOL_SOCKET, SO_TIMESTAMPNS, &on, sizeof(on));
  // Failure is ignored because the default sizes are sufficient.
  setsockopt(socket.Get(), SOL_SOCKET, SO_RCVBUF, &kSocketBufferBytes,
             sizeof(kSocketBufferBytes));
  setsockopt(socket.Get(), SOL_SOCKET, SO_SNDBUF, &kSocketBufferBytes,
             sizeof(kSocketBufferBytes));
  return UdpSocket(std::move(socket));
}

Endpoint UdpSocket::Local() const {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(this->Get(), reinterpret_cast<sockaddr*>(&address), &size);
  return ToEndpoint(address);
}

std::vector<ReceivedDatagram> UdpSocket::Receive() const {
  ReceiveBuffers& buffers = Buffers();
  buffers.Reset();
  const int count = recvmmsg(this->Get(), buffers.headers.data(), kReceiveBatch,
                             MSG_DONTWAIT, nullptr);
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  std::vector<ReceivedDatagram> datagrams;
  for (int i = 0; i < count; ++i) {
    mmsghdr& header = buffers.headers[i];
    datagrams.push_back({ToEndpoint(buffers.sources[i]),
                         ByteView(buffers.bytes[i].data(), header.msg_len),
                         (header.msg_hdr.msg_flags & MSG_TRUNC) != 0,
                         AgeOf(header.msg_hdr, now)});
  }
  return datagrams;
}

std::size_t UdpSocket::Send(gsl::span<const OutgoingDatagram> datagrams) const {
  std::array<sockaddr_in, kSendBatch> destinations{};
  std::array<iovec, kSendBatch> vectors{};
  std::array<mmsghdr, kSendBatch> headers{};
  std::size_t accepted = 0;
  std::size_t next = 0;
  while (next < datagrams.size()) {
    const std::size_t count = std::min(datagrams.size() - next, kSendBatch);
    for (std::size_t i = 0; i < count; ++i) {
      const OutgoingDatagram& datagram = datagrams[next + i];
      destinations[i] = ToSocketAddress(datagram.destination);
      // The kernel does not write through this pointer.
      vectors[i] = {const_cast<std::uint8_t*>(datagram.bytes.data()),
                    datagram.bytes.size()};
      headers[i] = {};
      headers[i].msg_hdr.msg_name = &destinations[i];
      headers[i].msg_hdr.msg_namelen = sizeof(sockaddr_in);
      headers[i].msg_hdr.msg_iov = &vectors[i];
      headers[i].msg_hdr.msg_iovlen = 1;
    }
    const int sent = sendmmsg(this->Get(), headers.data(),
                              static_cast<unsigned>(count), MSG_DONTWAIT);
    // If the first datagram of the batch fails, it is skipped; the remaining
    // ones are sent by the next iteration.
    accepted += std::max(sent, 0);
    next += std::max(sent, 1);
  }
  return accepted;
}

}  // namespace cactuscross
