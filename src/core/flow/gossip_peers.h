#ifndef CACTUSCROSS_SRC_CORE_FLOW_GOSSIP_PEERS_H_
#define CACTUSCROSS_SRC_CORE_FLOW_GOSSIP_PEERS_H_

// Membership of the gossip between balancers: the seeds from the settings, and
// the peers that sent a digest or were named in one.

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
  // When the store last confirmed the peer's view, on the local clock.
  TimePoint confirmed_at;
  TimePoint pulled_at;
};

class GossipPeers {
 public:
  GossipPeers(const Endpoint& own_control, const std::vector<Endpoint>& seeds);

  // Replaces the seeds after a reload of the settings.
  void SetSeeds(const std::vector<Endpoint>& seeds);
  // Records a digest and the peers that it names. Returns its sender, or null
  // if the table is full. The pointer is valid until peers are added or
  // removed.
  GossipPeer* NoteDigest(TimePoint now, const GossipMessage& digest);
  bool HasReceivedDigest(const Endpoint& control) const;
  // Removes peers that have stopped sending digests, except seeds.
  void Expire(TimePoint now);

  // Peers to send a digest to: up to `max_count` in round-robin order, and all
  // seeds that have not sent a digest recently.
  std::vector<Endpoint> NextTargets(TimePoint now, std::size_t max_count);
  // Up to `max_count` peers that sent a digest within kPeerTimeout.
  std::vector<Endpoint> LivePeers(TimePoint now, std::size_t max_count) const;

  // Number of live peers that rank before this process in the election of
  // designated store readers. Only peers whose view the store confirmed within
  // `max_age` count.
  std::size_t RankOfSelf(TimePoint now, Duration max_age) const;
  // Latest time at which the store confirmed the view of any live peer; the
  // epoch if there is none.
  TimePoint ConfirmedAt(TimePoint now) const;

 private:
  GossipPeer* Find(const Endpoint& control);
  GossipPeer* FindOrAdd(const Endpoint& control);
  static bool IsAlive(TimePoint now, const GossipPeer& peer);

  const Endpoint own_control;  // control address of this process
  std::vector<GossipPeer> peers;
  std::size_t next_peer = 0;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_GOSSIP_PEERS_H_
