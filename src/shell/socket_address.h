#ifndef CACTUSCROSS_SRC_SHELL_SOCKET_ADDRESS_H_
#define CACTUSCROSS_SRC_SHELL_SOCKET_ADDRESS_H_

// Conversion between Endpoint and sockaddr_in.

#include <netinet/in.h>

#include "cactuscross/types.h"

namespace cactuscross {

inline sockaddr_in ToSocketAddress(const Endpoint& endpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(endpoint.address);
  address.sin_port = htons(endpoint.port);
  return address;
}

inline Endpoint ToEndpoint(const sockaddr_in& address) {
  return Endpoint{ntohl(address.sin_addr.s_addr), ntohs(address.sin_port)};
}

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_SHELL_SOCKET_ADDRESS_H_
