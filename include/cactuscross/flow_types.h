#ifndef CACTUSCROSS_FLOW_TYPES_H_
#define CACTUSCROSS_FLOW_TYPES_H_

// Types of flow forwarding: the second data path beside CoAP. A flow is a
// connection between a client and a backend server whose bytes only those two
// read. Balancers and agents see its packets one by one.

#include <cstdint>
#include <string>
#include <vector>

#include "cactuscross/types.h"

namespace cactuscross {

// A flow as its client sees it: both ends of the connection.
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

// Formats "client>service_address"; names the flow in logs.
std::string ToString(const FlowKey& key);

// Why a balancer sent a packet to an agent.
enum class MarkPurpose : std::uint8_t {
  kNone = 0,     // not sent by a balancer
  kOpening = 1,  // the first packet of a flow, placed on this server
  kCached = 2,   // the balancer believes that the server holds the flow
  kSearch = 3,   // the balancer asks whether the server holds the flow
};

// What balancers write beside a packet. Neither end of the flow reads it.
struct RouteMark {
  MarkPurpose purpose = MarkPurpose::kNone;
  // Low half of the ServiceId that the balancer routed by.
  std::uint32_t service_tag = 0;
  // IPv4 address of the balancer. A server that returns the packet keeps it.
  std::uint32_t balancer = 0;
};

// The part of a ServiceId that fits a RouteMark.
constexpr std::uint32_t ServiceTag(ServiceId service) {
  return static_cast<std::uint32_t>(ToNumber(service));
}

// One decoded packet of a flow.
struct FlowPacket {
  FlowKey flow;
  bool from_server = false;  // direction
  bool opening = false;      // asks to open the flow, or grants it
  bool acknowledges = false;
  bool closing = false;
  bool reset = false;
  // The server returned it: it does not hold the flow, or does not accept it.
  bool returned = false;
  std::uint32_t sequence = 0;
  // Sequence number that the sender expects next; 0 if it acknowledges nothing.
  std::uint32_t acknowledgement = 0;
  // How many times the client sent this opening packet before.
  std::uint32_t retransmit_count = 0;
  std::uint32_t data_bytes = 0;
  RouteMark mark;
  std::uint32_t sender = 0;  // IPv4 address of the host that it came from
  ByteView bytes;            // the whole datagram

  // True for the first packet of a flow.
  bool IsRequestToOpen() const { return this->opening && !this->from_server; }
};

// A packet on its way to an agent or, unmarked, to a server or client.
struct FlowForward {
  Endpoint destination;
  RouteMark mark;
  Bytes bytes;
};

// Ends a flow at its client in the name of the server.
struct FlowReset {
  FlowKey flow;
  // Must be near the client's last acknowledgement if the flow is open.
  std::uint32_t sequence = 0;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_FLOW_TYPES_H_
