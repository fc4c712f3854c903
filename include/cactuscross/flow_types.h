#ifndef CACTUSCROSS_FLOW_TYPES_H_
#define CACTUSCROSS_FLOW_TYPES_H_

// Types of flow forwarding, the second data path beside CoAP. A flow is a
// connection between a client and a backend server. Balancers and agents
// forward its packets one by one and read the headers only, which resemble
// those of TCP.

#include <cstdint>
#include <string>
#include <vector>

#include "cactuscross/types.h"

namespace cactuscross {

// Identifies a flow by the addresses of the connection as the client sees them.
struct FlowKey {
  Endpoint client;
  Endpoint service_address;

  friend bool operator==(const FlowKey& a, const FlowKey& b) {
    return a.client == b.client && a.service_address == b.service_address;
  }
  friend bool operator!=(const FlowKey& a, const FlowKey& b) {
    return !(a == b);
  }
};

struct FlowKeyHash {
  std::size_t operator()(const FlowKey& key) const {
    const EndpointHash hash;
    return hash(key.client) ^ (hash(key.service_address) * 31);
  }
};

// Formats the flow for logs as "client>service_address".
std::string ToString(const FlowKey& key);

// Why a balancer sent a packet to an agent.
enum class MarkPurpose : std::uint8_t {
  kNone = 0,     // not sent by a balancer
  kOpening = 1,  // opening packet of a new flow that is assigned to the server
  kCached = 2,   // the balancer's cache says that the server holds the flow
  kSearch = 3,   // the balancer queries whether the server holds the flow
};

// Forwarding metadata that a balancer writes into a packet's header. Clients
// and servers ignore it.
struct RouteMark {
  MarkPurpose purpose = MarkPurpose::kNone;
  // ServiceTag() of the service that the balancer routed the packet to.
  std::uint32_t service_tag = 0;
  // IPv4 address of the balancer. A server that returns the packet leaves it
  // in place.
  std::uint32_t balancer = 0;
};

// Low 32 bits of a ServiceId, as carried in a RouteMark.
constexpr std::uint32_t ServiceTag(ServiceId service) {
  return static_cast<std::uint32_t>(ToNumber(service));
}

// One decoded packet of a flow.
struct FlowPacket {
  FlowKey flow;
  bool from_server = false;
  bool opening = false;       // SYN: requests to open the flow, or accepts it
  bool acknowledges = false;  // ACK
  bool closing = false;       // FIN
  bool reset = false;         // RST
  // The server sent the client's packet back because it does not hold the flow
  // or does not accept it.
  bool returned = false;
  std::uint32_t sequence = 0;
  // Sequence number that the sender expects next; 0 without acknowledgement.
  std::uint32_t acknowledgement = 0;
  // Opening packets: how many times the client has sent the packet before.
  std::uint32_t retransmit_count = 0;
  std::uint32_t data_bytes = 0;
  RouteMark mark;
  std::uint32_t sender = 0;  // IPv4 source address of the datagram
  ByteView bytes;            // the whole datagram

  // True for an opening packet of a client.
  bool IsRequestToOpen() const { return this->opening && !this->from_server; }
};

// A packet to send to an agent, a server or a client. The mark of a packet to a
// server holds only the balancer's address, that of one to a client is unset.
struct FlowForward {
  Endpoint destination;
  RouteMark mark;
  Bytes bytes;
};

// A reset (RST) sent to the client in the name of the server.
struct FlowReset {
  FlowKey flow;
  // Must be close to the client's last acknowledgement if the flow is open.
  std::uint32_t sequence = 0;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_FLOW_TYPES_H_
