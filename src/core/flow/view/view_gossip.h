#ifndef CACTUSCROSS_SRC_CORE_FLOW_VIEW_VIEW_GOSSIP_H_
#define CACTUSCROSS_SRC_CORE_FLOW_VIEW_VIEW_GOSSIP_H_

// Replicates the view between balancers by anti-entropy gossip. A few
// designated readers read the store; all balancers exchange digests and pull
// what is newer. A balancer that can't reach the store relies on its peers, and
// one without live peers reads the store itself.
//
// Load: the operator adds 1,560 routes while balancers behind 10 Mbit/s join. A
// peer sends only the routes that changed, and as many parts at a time as the
// receiver requests, so that a transfer does not fill the links of both: the
// packets of clients pass the same links.

#include <vector>

#include "cactuscross/flow_balancer.h"
#include "cactuscross/flow_gossip.h"
#include "src/core/flow/view/gossip_peers.h"
#include "src/core/flow/view/reply_assembly.h"
#include "src/core/flow/view/store_reader_election.h"
#include "src/core/flow/view/store_view.h"

namespace cactuscross {

// The last peer that advertised something that this process lacks.
struct PullTarget {
  Endpoint peer;
  ViewVersion version;
  bool all_servers = false;  // not only those that changed
  int attempts_left = 0;
};

class ViewGossip {
 public:
  explicit ViewGossip(const FlowBalancerSettings& settings);

  // Handles messages, sends digests, and decides whether this process reads the
  // store for `view`.
  void Tick(TimePoint now,
            const std::vector<GossipMessage>& messages,
            StoreView& view,
            FlowBalancerOutbox& outbox);

  void SetSeeds(const std::vector<Endpoint>& seeds) {
    this->peers.SetSeeds(seeds);
  }

  // True if the store recently confirmed, to this process or a peer, that the
  // view of this process is complete.
  bool IsCurrent(TimePoint now, const StoreView& view) const;

  // True once a peer has sent its complete view, including servers that the
  // store no longer lists, or several have reported that they know no such
  // servers, or none has done so in time. Until then, this process may not know
  // the server that holds a flow.
  bool HasSynced(TimePoint now) const;

 private:
  void OnDigest(const GossipMessage& digest, StoreView& view);
  void OnPull(const GossipMessage& pull, const StoreView& view);
  void OnRoutes(const GossipMessage& message, StoreView& view);
  void OnServers(const GossipMessage& message, StoreView& view);
  bool HasFullViewOf(const Endpoint& peer) const;
  // Determines from a digest whether its sender has something to pull.
  void UpdatePullTarget(const GossipMessage& digest, const StoreView& view);
  // Takes over a confirmation that a peer passes on, unless the peer's view is
  // newer than `view` and the confirmation may therefore not apply to it.
  void NoteConfirmation(const GossipMessage& message, const StoreView& view);
  // Requests what is newer in the view of the last peer that advertised one.
  void SendPull(const StoreView& view);
  // Requests the parts of the routes that are still missing, once those that
  // were requested have arrived.
  void ContinuePull(const StoreView& view);
  // Returns a pull of what is newer than `view`, and records what it requests
  // of the routes.
  GossipMessage BeginPull(const StoreView& view);
  // True while a peer is sending routes.
  bool IsReceivingRoutes() const;
  void AnswerPullOfRoutes(const GossipMessage& pull, const StoreView& view);
  // True if `peer` may be sent a reply that takes several pulls.
  bool AdmitTransfer(const Endpoint& peer);
  void UpdateReading(StoreView& view);
  // Sends the entries in several messages, each a copy of `reply` with up to
  // `entries_per_part` of them in its member `list`.
  template <typename Entry>
  void SendInParts(const Endpoint& destination,
                   GossipMessage reply,
                   std::vector<Entry> GossipMessage::*list,
                   const std::vector<Entry>& entries,
                   std::size_t entries_per_part);
  void SendDigests(const StoreView& view);
  GossipMessage MakeDigest(const StoreView& view) const;
  void Send(const Endpoint& destination, GossipMessage message);

  const Endpoint own_control;  // control address of this process
  GossipPeers peers;
  StoreReaderElection election;
  TimePoint digest_at;
  ViewVersion advertised;  // version of the view in the last digests
  std::uint64_t advertised_orders = 0;  // change count of the orders in them
  // Own contact with the store, as in the last digests.
  TimePoint advertised_answer_at;
  bool readers_changed = false;  // since the last digests
  // When the store last confirmed the view to a peer.
  TimePoint peer_confirmed_at;
  PullTarget pull_target;
  TimePoint pulled_at;
  TimePoint compared_at;  // last pull because of a different hash
  ReplyAssembly routes;
  ReplyAssembly servers;
  // Peers that this process is sending routes to, and their last pulls.
  struct Transfer {
    Endpoint peer;
    TimePoint pulled_at;
  };
  std::vector<Transfer> transfers;
  TimePoint routes_part_at;           // arrival of the last part of routes
  std::uint32_t requested_parts = 0;  // those of the routes before this index
  // Peers that have sent all servers they know, at most kInitialViews.
  std::vector<Endpoint> full_view_senders;
  // Peers that know no servers but those that the store lists, at most
  // kInitialViews.
  std::vector<Endpoint> without_unlisted;
  TimePoint loaded_at;  // of the first view; the epoch: none yet
  TimePoint now;
  FlowBalancerOutbox* outbox = nullptr;  // of this tick
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_VIEW_VIEW_GOSSIP_H_
