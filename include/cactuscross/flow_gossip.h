#ifndef CACTUSCROSS_FLOW_GOSSIP_H_
#define CACTUSCROSS_FLOW_GOSSIP_H_

// Anti-entropy gossip between balancers of the flow path: replicates routes and
// the server list. Each message is one datagram. If one is lost, the next
// digest starts the exchange again.

#include <cstdint>
#include <optional>
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
  // kPull: the sender takes the changes of the routes after this version
  // instead of all; 0: it has no routes. Processes of the previous version send
  // 0, and in reply to a pull all routes.
  std::uint64_t routes_known = 0;
  // kPull: first part of the routes that is wanted.
  std::uint32_t first_part = 0;
  // kPull: number of parts of the routes that are wanted; 0: all. kRoutes: the
  // same as in the pull that is answered.
  std::uint32_t max_parts = 0;
  // kRoutes: the routes that changed after this version; 0: all.
  std::uint64_t routes_after = 0;
  // kRoutes: RouteChanges::former_known_for.
  std::optional<Duration> former_known_for;
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
