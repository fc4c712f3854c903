#ifndef CACTUSCROSS_SRC_CORE_FLOW_GOSSIP_PEERS_H_
#define CACTUSCROSS_SRC_CORE_FLOW_GOSSIP_PEERS_H_

// Other balancers: the seeds, and those heard of from them.

#include <cstdint>
#include <vector>

#include "cactuscross/flow_gossip.h"

namespace cactuscross {

struct GossipPeer {
  Endpoint control;
  bool seed = false;
  bool digest_received = false;
  TimePoint last_digest_at;
  ViewVersion view_version;
  // The store confirmed the peer's view at this time, by the own clock.
  TimePoint confirmed_at;
  TimePoint pulled_at;
};

class GossipPeers {
 public:
  GossipPeers(const Endpoint& own, const std::vector<Endpoint>& seeds);

  // Replaces the seeds, after a reload of the settings.
  void SetSeeds(const std::vector<Endpoint>& seeds);
  // Notes a digest; returns the peer, null if there is no room.
  GossipPeer* NoteDigest(TimePoint now, const GossipMessage& digest);
  bool HasReceivedDigest(const Endpoint& control) const;
  // Forgets peers that are silent, but for seeds.
  void Expire(TimePoint now);

  // Peers to send a digest to: `max_count` of those heard, in turn, and all
  // seeds that are silent.
  std::vector<Endpoint> NextTargets(TimePoint now, std::size_t max_count);
  // Up to `max_count` peers that were heard lately.
  std::vector<Endpoint> LivePeers(TimePoint now, std::size_t max_count) const;

  // How many peers with a current view precede this process in the order of
  // readers.
  std::size_t RankOfSelf(TimePoint now, Duration max_age) const;
  // Newest confirmation of a view by the store, over all peers; the epoch if
  // there is none.
  TimePoint ConfirmedAt(TimePoint now) const;

 private:
  const GossipPeer* Find(const Endpoint& control) const;
  GossipPeer* FindOrAdd(const Endpoint& control);
  static bool IsAlive(TimePoint now, const GossipPeer& peer);

  const Endpoint own;
  std::vector<GossipPeer> peers;
  std::size_t next_peer = 0;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_GOSSIP_PEERS_H_
