#ifndef CACTUSCROSS_FLOW_GOSSIP_H_
#define CACTUSCROSS_FLOW_GOSSIP_H_

// Anti-entropy gossip between balancers of the flow path: replicates routes and
// the server list. Each message is one datagram. If one is lost, the next
// digest starts the exchange again.

#include <cstdint>
#include <vector>

#include "cactuscross/flow_view.h"

namespace cactuscross {

enum class GossipKind : std::uint8_t {
  kDigest = 1,   // version of the sender's view
  kPull = 2,     // requests what is newer than the sender's view
  kRoutes = 3,   // reply to kPull: a part of the routes in force
  kServers = 4,  // reply to kPull: a part of the servers that changed
};

// Version of a balancer's view, compared to find the newer of two views.
struct ViewVersion {
  bool loaded = false;
  std::uint64_t routes_version = 0;
  // Position of the store up to which the server list is complete; revision 0:
  // none.
  StorePosition servers;
};

// Position of a datagram in a reply that is split over several datagrams.
struct GossipPart {
  std::uint32_t index = 0;
  std::uint32_t count = 1;
};

// A balancer that reads the store, as far as the sender of a digest knows.
struct ReaderStatus {
  Endpoint control;
  Duration age{0};  // time since the store last answered it
};

struct GossipMessage {
  GossipKind kind = GossipKind::kDigest;
  Endpoint sender;  // control address
  // Of the sender. kPull: a position of revision 0 requests all servers.
  ViewVersion view_version;
  // kDigest, kRoutes, kServers: time since the store last confirmed, to any
  // balancer, that the view of this version is complete.
  Duration age{0};
  // kDigest: hash of the servers that are listed. At the same position it
  // differs only if one of two balancers knows more than the store from which
  // the other has read.
  std::uint64_t servers_hash = 0;
  // kDigest: the sender knows no server that may hold flows and that the store
  // does not list.
  bool lists_all_servers = false;
  std::vector<Endpoint> peers;        // kDigest: some live peers of the sender
  std::vector<ReaderStatus> readers;  // kDigest: the designated ones
  GossipPart part;                    // kRoutes, kServers
  StorePosition after;  // kServers: changes after it; revision 0: all
  std::vector<FlowRoute> routes;
  std::vector<WarmupLimit> warmup_limits;  // kRoutes: in every part
  std::vector<ZoneOrder> zone_orders;      // kDigest: the newest of each zone
  std::vector<ServerChange> servers;
};

// A message and the control address that it is sent to.
struct OutgoingGossip {
  Endpoint destination;
  GossipMessage message;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_FLOW_GOSSIP_H_
