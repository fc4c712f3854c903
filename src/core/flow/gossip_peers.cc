#include "src/core/flow/gossip_peers.h"

#include <algorithm>

namespace cactuscross {
namespace {

// Limits the size of the peer table and so the cost of a gossip round in a
// large fleet.
constexpr std::size_t kMaxPeers = 64;
// A peer sends a digest every 400 ms and is considered dead after three missed
// ones.
constexpr Duration kPeerTimeout{1300000};
constexpr Duration kPeerRetention{10000000};

// The balancers with the lowest ranks read the store. Hashing the address
// spreads the readers over the fleet.
std::uint64_t ReaderRank(const Endpoint& control) {
  return EndpointHash()(control);
}

}  // namespace

GossipPeers::GossipPeers(const Endpoint& own_control,
                         const std::vector<Endpoint>& seeds)
    : own_control(own_control) {
  this->SetSeeds(seeds);
}

void GossipPeers::SetSeeds(const std::vector<Endpoint>& seeds) {
  for (GossipPeer& peer : this->peers) {
    peer.seed = false;
  }
  for (const Endpoint& seed : seeds) {
    if (GossipPeer* peer = this->FindOrAdd(seed)) {
      peer->seed = true;
    }
  }
}

GossipPeer* GossipPeers::NoteDigest(TimePoint now,
                                    const GossipMessage& digest) {
  this->FindOrAdd(digest.sender);
  for (const Endpoint& other : digest.peers) {
    this->FindOrAdd(other);
  }
  // Looked up last, because adding a peer invalidates pointers to others.
  GossipPeer* peer = this->Find(digest.sender);
  if (peer != nullptr) {
    peer->digest_received = true;
    peer->last_digest_at = now;
    peer->view_version = digest.view_version;
    peer->confirmed_at = now - digest.age;
  }
  return peer;
}

void GossipPeers::Expire(TimePoint now) {
  this->peers.erase(
      std::remove_if(this->peers.begin(), this->peers.end(),
                     [now](const GossipPeer& peer) {
                       return !peer.seed && peer.digest_received &&
                              now - peer.last_digest_at > kPeerRetention;
                     }),
      this->peers.end());
}

std::vector<Endpoint> GossipPeers::NextTargets(TimePoint now,
                                               std::size_t max_count) {
  std::vector<Endpoint> targets;
  std::size_t round_robin_targets = 0;
  for (std::size_t i = 0; i < this->peers.size(); ++i) {
    GossipPeer& peer = this->peers[(this->next_peer + i) % this->peers.size()];
    const bool silent_seed = peer.seed && !IsAlive(now, peer);
    if (silent_seed) {
      targets.push_back(peer.control);
    } else if (round_robin_targets < max_count) {
      targets.push_back(peer.control);
      ++round_robin_targets;
    }
  }
  this->next_peer += max_count;
  return targets;
}

std::vector<Endpoint> GossipPeers::LivePeers(TimePoint now,
                                             std::size_t max_count) const {
  std::vector<Endpoint> live_peers;
  for (std::size_t i = 0;
       i < this->peers.size() && live_peers.size() < max_count; ++i) {
    const GossipPeer& peer =
        this->peers[(this->next_peer + i) % this->peers.size()];
    if (IsAlive(now, peer)) {
      live_peers.push_back(peer.control);
    }
  }
  return live_peers;
}

std::size_t GossipPeers::RankOfSelf(TimePoint now, Duration max_age) const {
  const std::uint64_t own_rank = ReaderRank(this->own_control);
  return std::count_if(this->peers.begin(), this->peers.end(),
                       [now, max_age, own_rank](const GossipPeer& peer) {
                         return IsAlive(now, peer) &&
                                now - peer.confirmed_at <= max_age &&
                                ReaderRank(peer.control) < own_rank;
                       });
}

TimePoint GossipPeers::ConfirmedAt(TimePoint now) const {
  TimePoint newest;
  for (const GossipPeer& peer : this->peers) {
    if (IsAlive(now, peer)) {
      newest = std::max(newest, peer.confirmed_at);
    }
  }
  return newest;
}

bool GossipPeers::HasReceivedDigest(const Endpoint& control) const {
  return std::any_of(this->peers.begin(), this->peers.end(),
                     [&control](const GossipPeer& peer) {
                       return peer.control == control && peer.digest_received;
                     });
}

GossipPeer* GossipPeers::Find(const Endpoint& control) {
  const auto found = std::find_if(
      this->peers.begin(), this->peers.end(),
      [&control](const GossipPeer& peer) { return peer.control == control; });
  return found == this->peers.end() ? nullptr : &*found;
}

GossipPeer* GossipPeers::FindOrAdd(const Endpoint& control) {
  if (control == this->own_control || control.port == 0) {
    return nullptr;
  }
  if (GossipPeer* known = this->Find(control)) {
    return known;
  }
  if (this->peers.size() >= kMaxPeers) {
    return nullptr;
  }
  GossipPeer& added = this->peers.emplace_back();
  added.control = control;
  return &added;
}

bool GossipPeers::IsAlive(TimePoint now, const GossipPeer& peer) {
  return peer.digest_received && now - peer.last_digest_at <= kPeerTimeout;
}

}  // namespace cactuscross
