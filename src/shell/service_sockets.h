#ifndef CACTUSCROSS_SRC_SHELL_SERVICE_SOCKETS_H_
#define CACTUSCROSS_SRC_SHELL_SERVICE_SOCKETS_H_

// UDP sockets on which a balancer receives datagrams of callers (CoAP clients):
// one for each service address of the contracts in force.

#include <poll.h>

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "cactuscross/balancer.h"
#include "cactuscross/settings.h"
#include "src/shell/counters.h"
#include "src/shell/udp_socket.h"

namespace cactuscross {

class ServiceSockets {
 public:
  ServiceSockets(const BalancerSettings& settings, ShellCounters& counters)
      : bind_address(settings.bind_address), counters(counters) {}

  // Opens sockets for new addresses and closes the sockets of removed
  // addresses. Later calls retry addresses that could not be bound.
  void Update(TimePoint now, const std::vector<Endpoint>& addresses);

  void AppendPollEntries(std::vector<pollfd>& entries) const;

  // Receives and decodes datagrams of callers, up to a fixed number per socket.
  // Datagrams that cannot be decoded are rejected as RFC 7252 requires and are
  // not returned.
  std::vector<CallerDatagram> Receive();

  // Sends each message from the socket of its service address.
  void Send(const std::vector<CallerDatagram>& replies);

 private:
  Endpoint BoundAddress(const Endpoint& service_address) const;
  void Open(const Endpoint& service_address);
  void Reject(const UdpSocket& socket,
              const ReceivedDatagram& datagram,
              ResultCode code);

  std::optional<std::uint32_t> bind_address;
  ShellCounters& counters;
  std::map<Endpoint, UdpSocket> sockets;      // by service address
  std::set<Endpoint> failed_addresses;        // failure already logged
  std::vector<Endpoint> requested_addresses;  // of the last Update()
  TimePoint next_retry;
};

// Returns the reply to a datagram that cannot be decoded: 4.02 (Bad Option) for
// a confirmable request with an unknown critical option, a Reset for any other
// confirmable message, else nullopt.
std::optional<CoapMessage> MakeRejection(ByteView datagram, ResultCode code);

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_SHELL_SERVICE_SOCKETS_H_
