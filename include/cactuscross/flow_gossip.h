#ifndef CACTUSCROSS_FLOW_GOSSIP_H_
#define CACTUSCROSS_FLOW_GOSSIP_H_

// Messages between balancers of the flow path: what each knows of routes and
// servers. Single datagrams; a lost one is made good by the next digest.

#include <cstdint>
#include <vector>

#include "cactuscross/flow_view.h"

namespace cactuscross {

enum class GossipKind : std::uint8_t {
  kDigest = 1,   // what the sender knows
  kPull = 2,     // asks for what is newer than the sender's own
  kRoutes = 3,   // a part of the routes in force
  kServers = 4,  // a part of the servers that changed
};

// How much of the view a balancer has.
struct ViewVersion {
  bool loaded = false;
  std::uint64_t routes_version = 0;
  // Revision of the store up to which its servers are known; 0: none.
  std::uint64_t servers_revision = 0;
};

// One part of a reply that takes more than one datagram.
struct GossipPart {
  std::uint32_t index = 0;
  std::uint32_t count = 1;
};

struct GossipMessage {
  GossipKind kind = GossipKind::kDigest;
  Endpoint sender;           // control address
  ViewVersion view_version;  // kDigest, kPull: of the sender; else of the reply
  // kDigest: time since the sender's view was last confirmed by the store.
  Duration age{0};
  std::vector<Endpoint> peers;       // kDigest: some balancers it has heard
  GossipPart part;                   // kRoutes, kServers
  std::uint64_t after_revision = 0;  // kServers: changes since; 0: all
  std::vector<FlowRoute> routes;
  std::vector<ServerChange> servers;
};

// A message and the control address that it goes to.
struct OutgoingGossip {
  Endpoint destination;
  GossipMessage message;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_FLOW_GOSSIP_H_
