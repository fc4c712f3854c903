#ifndef CACTUSCROSS_SRC_CORE_FLOW_VIEW_GOSSIP_PEERS_H_
#define CACTUSCROSS_SRC_CORE_FLOW_VIEW_GOSSIP_PEERS_H_

// Membership of the gossip between balancers: the seeds from the settings, and
// the peers that sent a digest or were named in one.

#include <cstdint>
#include <vector>

#include "cactuscross/flow_gossip.h"

namespace cactuscross {

// Number of peers that a round of digests goes to, besides silent seeds.
inline constexpr std::size_t kDigestFanout = 8;

struct GossipPeer {
  Endpoint control;
  bool seed = false;
  bool digest_received = false;
  TimePoint heard_at;  // last digest, or when a digest first named the peer
};

class GossipPeers {
 public:
  GossipPeers(const Endpoint& own_control, const std::vector<Endpoint>& seeds);

  // Replaces the seeds after a reload of the settings.
  void SetSeeds(const std::vector<Endpoint>& seeds);
  // Records a digest and the peers that it names. Returns true if it is the
  // first one of its sender. If the table is full, the sender replaces the peer
  // that has been silent for longest.
  bool NoteDigest(TimePoint now, const GossipMessage& digest);
  // Removes peers that have not been heard from, except seeds.
  void Expire(TimePoint now);

  // Peers to send a digest to: up to `max_count` in round-robin order, and all
  // seeds that have not sent a digest recently.
  std::vector<Endpoint> NextTargets(TimePoint now, std::size_t max_count);
  // Up to `max_count` peers that are alive.
  std::vector<Endpoint> LivePeers(TimePoint now, std::size_t max_count) const;
  std::size_t CountLive(TimePoint now) const;

 private:
  GossipPeer* Find(const Endpoint& control);
  // Adds a peer if there is room. Does nothing if it is known.
  void Add(TimePoint now, const Endpoint& control);
  GossipPeer* LongestSilent();
  bool IsAlive(TimePoint now, const GossipPeer& peer) const;
  // Time without a digest after which a peer counts as dead. A peer sends
  // digests to all others in turn, so that the time grows with their number.
  Duration AliveTimeout() const;

  const Endpoint own_control;  // control address of this process
  std::vector<GossipPeer> peers;
  // Position of the round-robin. Starts at a different peer in each process:
  // their tables are similar, and a round must not go to the same few peers.
  std::size_t next_peer;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_VIEW_GOSSIP_PEERS_H_
