#include "src/core/flow/view/gossip_peers.h"

#include <algorithm>

namespace cactuscross {
namespace {

// Limits the size of the peer table and so the cost of a gossip round in a
// large fleet.
constexpr std::size_t kMaxPeers = 64;
// A peer sends a digest to kDigestFanout others every 0.4 s, in turn, and
// counts as dead after three that were due have not arrived. This is the time
// for each kDigestFanout peers that it has.
constexpr Duration kAliveTimeoutPerRound{1300000};
constexpr Duration kMinPeerRetention{10000000};

}  // namespace

GossipPeers::GossipPeers(const Endpoint& own_control,
                         const std::vector<Endpoint>& seeds)
    : own_control(own_control), next_peer(EndpointHash()(own_control)) {
  this->SetSeeds(seeds);
}

void GossipPeers::SetSeeds(const std::vector<Endpoint>& seeds) {
  for (GossipPeer& peer : this->peers) {
    peer.seed = false;
  }
  for (const Endpoint& seed : seeds) {
    this->Add(TimePoint(), seed);
    if (GossipPeer* peer = this->Find(seed)) {
      peer->seed = true;
    }
  }
}

bool GossipPeers::NoteDigest(TimePoint now, const GossipMessage& digest) {
  if (digest.sender == this->own_control || digest.sender.port == 0) {
    return false;
  }
  GossipPeer* sender = this->Find(digest.sender);
  if (sender == nullptr && this->peers.size() >= kMaxPeers) {
    sender = this->LongestSilent();
    if (sender != nullptr) {
      *sender = GossipPeer();
    }
  } else if (sender == nullptr) {
    sender = &this->peers.emplace_back();
  }
  if (sender == nullptr) {
    return false;
  }
  const bool first = !sender->digest_received;
  sender->control = digest.sender;
  sender->digest_received = true;
  sender->heard_at = now;
  // Last, because adding peers invalidates `sender`.
  for (const Endpoint& other : digest.peers) {
    this->Add(now, other);
  }
  return first;
}

void GossipPeers::Expire(TimePoint now) {
  const Duration retention =
      std::max(kMinPeerRetention, 2 * this->AliveTimeout());
  this->peers.erase(std::remove_if(this->peers.begin(), this->peers.end(),
                                   [now, retention](const GossipPeer& peer) {
                                     return !peer.seed &&
                                            now - peer.heard_at > retention;
                                   }),
                    this->peers.end());
}

std::vector<Endpoint> GossipPeers::NextTargets(TimePoint now,
                                               std::size_t max_count) {
  std::vector<Endpoint> targets;
  std::size_t round_robin_targets = 0;
  for (std::size_t i = 0; i < this->peers.size(); ++i) {
    const GossipPeer& peer =
        this->peers[(this->next_peer + i) % this->peers.size()];
    const bool silent_seed = peer.seed && !this->IsAlive(now, peer);
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
    if (this->IsAlive(now, peer)) {
      live_peers.push_back(peer.control);
    }
  }
  return live_peers;
}

std::size_t GossipPeers::CountLive(TimePoint now) const {
  return static_cast<std::size_t>(
      std::count_if(this->peers.begin(), this->peers.end(),
                    [this, now](const GossipPeer& peer) {
                      return this->IsAlive(now, peer);
                    }));
}

GossipPeer* GossipPeers::Find(const Endpoint& control) {
  const auto found = std::find_if(
      this->peers.begin(), this->peers.end(),
      [&control](const GossipPeer& peer) { return peer.control == control; });
  return found == this->peers.end() ? nullptr : &*found;
}

void GossipPeers::Add(TimePoint now, const Endpoint& control) {
  if (control == this->own_control || control.port == 0 ||
      this->peers.size() >= kMaxPeers || this->Find(control) != nullptr) {
    return;
  }
  GossipPeer& added = this->peers.emplace_back();
  added.control = control;
  added.heard_at = now;
}

GossipPeer* GossipPeers::LongestSilent() {
  GossipPeer* longest = nullptr;
  for (GossipPeer& peer : this->peers) {
    if (!peer.seed &&
        (longest == nullptr || peer.heard_at < longest->heard_at)) {
      longest = &peer;
    }
  }
  return longest;
}

bool GossipPeers::IsAlive(TimePoint now, const GossipPeer& peer) const {
  return peer.digest_received && now - peer.heard_at <= this->AliveTimeout();
}

Duration GossipPeers::AliveTimeout() const {
  const std::size_t rounds =
      (this->peers.size() + kDigestFanout - 1) / kDigestFanout;
  return kAliveTimeoutPerRound * std::max<std::size_t>(1, rounds);
}

}  // namespace cactuscross
