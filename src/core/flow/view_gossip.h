#ifndef CACTUSCROSS_SRC_CORE_FLOW_VIEW_GOSSIP_H_
#define CACTUSCROSS_SRC_CORE_FLOW_VIEW_GOSSIP_H_

// Keeps the views of balancers alike: a few read the store, all exchange
// digests and pull what is newer. A balancer that cannot reach the store lives
// by its peers; one that hears no peer reads the store itself.

#include <vector>

#include "cactuscross/flow_balancer.h"
#include "cactuscross/flow_gossip.h"
#include "src/core/flow/gossip_peers.h"
#include "src/core/flow/store_view.h"

namespace cactuscross {

class ViewGossip {
 public:
  explicit ViewGossip(const FlowBalancerSettings& settings);

  // Handles messages, sends digests, and decides whether `view` reads the
  // store.
  void Tick(TimePoint now,
            const std::vector<GossipMessage>& messages,
            StoreView& view,
            FlowBalancerOutbox& outbox);

  void SetSeeds(const std::vector<Endpoint>& seeds) {
    this->peers.SetSeeds(seeds);
  }

  // True if the store confirmed the view lately, here or at a peer whose view
  // is no newer.
  bool IsCurrent(TimePoint now, const StoreView& view) const;

  // True once a peer has told of servers that the store no longer lists, or
  // none did in time. Before, a flow's server may be unknown here.
  bool HasSynced(TimePoint now) const;

 private:
  void OnDigest(const GossipMessage& digest, StoreView& view);
  void OnPull(const GossipMessage& pull, const StoreView& view);
  void OnRoutes(const GossipMessage& message, StoreView& view);
  void OnServers(const GossipMessage& message, StoreView& view);
  // Sends the entries in messages of at most `entries_per_part`, each as
  // `reply` with its part of them in `list`.
  template <typename Entry>
  void SendInParts(const Endpoint& destination,
                   GossipMessage reply,
                   std::vector<Entry> GossipMessage::*list,
                   const std::vector<Entry>& entries,
                   std::size_t entries_per_part);
  void SendDigests(const StoreView& view);
  GossipMessage MakeDigest(const StoreView& view) const;
  void Send(const Endpoint& destination, GossipMessage message);

  const Endpoint own;
  GossipPeers peers;
  TimePoint digest_at;
  ViewVersion advertised;  // by the last digests
  // The reply that is being put together, of each kind.
  GossipMessage routes;
  std::vector<bool> routes_parts;
  GossipMessage servers;
  std::vector<bool> servers_parts;
  bool full_view_received = false;  // a peer has told all that it knows
  TimePoint loaded_at;              // first view; the epoch: none yet
  TimePoint now;
  FlowBalancerOutbox* outbox = nullptr;  // of this tick
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_VIEW_GOSSIP_H_
