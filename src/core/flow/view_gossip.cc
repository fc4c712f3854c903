#include "src/core/flow/view_gossip.h"

#include <algorithm>
#include <utility>

namespace cactuscross {
namespace {

// A digest takes some 150 bytes: eight each 400 ms are 3 KB/s, the bound for
// control traffic of one process.
constexpr Duration kDigestInterval{400000};
constexpr std::size_t kDigestTargets = 8;
constexpr std::size_t kPeersInDigest = 8;
// Changes are told at once, to as many peers as one round takes.
constexpr Duration kLeastDigestPause{10000};

// Balancers that read the store while their views are confirmed. Two, so that
// the loss of one is not noticed.
constexpr std::size_t kReaders = 2;
// A view that the store has not confirmed for longer is not trusted: a reader's
// watch is answered at least each 1.2 s, of a slow store each 1.5 s, and its
// digest comes 0.4 s later. New routes must be in force within 3 s.
constexpr Duration kMostAge{2000000};

// A peer that lives tells what it knows within this time of the first view.
constexpr Duration kMostIntroduction{500000};

// Pause between two pulls from one peer.
constexpr Duration kPullInterval{100000};

// Entries in one datagram: some 25 bytes a route, some 90 a server.
constexpr std::size_t kRoutesInPart = 40;
constexpr std::size_t kServersInPart = 10;
// Parts that a reply may have: 40,000 routes.
constexpr std::uint32_t kMaxParts = 1000;

// Takes note of a part; true if all are there. A part of another reply begins
// anew.
bool NotePart(const GossipMessage& message,
              GossipMessage& reply,
              std::vector<bool>& parts) {
  const bool same =
      reply.sender == message.sender &&
      reply.mark.routes_version == message.mark.routes_version &&
      reply.mark.servers_revision == message.mark.servers_revision &&
      reply.after_revision == message.after_revision &&
      parts.size() == message.part.count;
  if (!same) {
    reply = message;
    reply.routes.clear();
    reply.servers.clear();
    parts.assign(message.part.count, false);
  }
  if (message.part.index >= parts.size() || parts[message.part.index]) {
    return false;
  }
  parts[message.part.index] = true;
  reply.routes.insert(reply.routes.end(), message.routes.begin(),
                      message.routes.end());
  reply.servers.insert(reply.servers.end(), message.servers.begin(),
                       message.servers.end());
  return std::all_of(parts.begin(), parts.end(),
                     [](bool part) { return part; });
}

bool IsNewer(const ViewMark& mark, const ViewMark& than) {
  return mark.loaded &&
         (!than.loaded || mark.routes_version > than.routes_version ||
          mark.servers_revision > than.servers_revision);
}

std::uint32_t PartsOf(std::size_t entries, std::size_t in_part) {
  return static_cast<std::uint32_t>(
      std::max<std::size_t>(1, (entries + in_part - 1) / in_part));
}

}  // namespace

ViewGossip::ViewGossip(const FlowBalancerSettings& settings)
    : own(settings.control), peers(settings.control, settings.seeds) {}

void ViewGossip::Tick(TimePoint now,
                      const std::vector<GossipMessage>& messages,
                      StoreView& view,
                      FlowBalancerOutbox& outbox) {
  this->now = now;
  this->outbox = &outbox;
  for (const GossipMessage& message : messages) {
    switch (message.kind) {
      case GossipKind::kDigest:
        this->OnDigest(message, view);
        break;
      case GossipKind::kPull:
        this->OnPull(message, view);
        break;
      case GossipKind::kRoutes:
        this->OnRoutes(message, view);
        break;
      case GossipKind::kServers:
        this->OnServers(message, view);
        break;
    }
  }
  this->peers.Expire(now);
  if (view.IsLoaded() && this->loaded_at == TimePoint()) {
    this->loaded_at = now;
  }
  const bool confirmed = now - this->peers.ConfirmedAt(now) <= kMostAge;
  view.SetReading(!view.IsLoaded() || !confirmed ||
                  this->peers.RankOfSelf(now, kMostAge) < kReaders);
  this->SendDigests(view);
}

bool ViewGossip::IsCurrent(TimePoint now, const StoreView& view) const {
  const TimePoint confirmed =
      std::max(view.ConfirmedAt(), this->peers.ConfirmedAt(now));
  return now - confirmed <= kMostAge;
}

bool ViewGossip::IsSettled(TimePoint now) const {
  return this->heard_all || (this->loaded_at != TimePoint() &&
                             now - this->loaded_at >= kMostIntroduction);
}

void ViewGossip::OnDigest(const GossipMessage& digest, StoreView& view) {
  const bool met = this->peers.HasHeard(digest.sender);
  GossipPeer* peer = this->peers.NoteDigest(this->now, digest);
  if (peer == nullptr) {
    return;
  }
  if (!met) {
    this->Send(peer->control, this->MakeDigest(view));
  }
  const bool wanted = IsNewer(digest.mark, view.Mark()) ||
                      (!this->heard_all && digest.mark.loaded);
  if (!wanted || this->now - peer->pulled_at < kPullInterval) {
    return;
  }
  peer->pulled_at = this->now;
  GossipMessage pull;
  pull.kind = GossipKind::kPull;
  pull.mark = view.Mark();
  if (!this->heard_all) {
    pull.mark.servers_revision = 0;
  }
  this->Send(peer->control, std::move(pull));
}

template <typename Entry>
void ViewGossip::SendInParts(const Endpoint& destination,
                             GossipMessage reply,
                             std::vector<Entry> GossipMessage::*list,
                             const std::vector<Entry>& entries,
                             std::size_t in_part) {
  reply.part.count = PartsOf(entries.size(), in_part);
  for (reply.part.index = 0; reply.part.index < reply.part.count;
       ++reply.part.index) {
    const std::size_t first = reply.part.index * in_part;
    const std::size_t last = std::min(first + in_part, entries.size());
    (reply.*list)
        .assign(entries.begin() + static_cast<std::ptrdiff_t>(first),
                entries.begin() + static_cast<std::ptrdiff_t>(last));
    this->Send(destination, reply);
  }
}

void ViewGossip::OnPull(const GossipMessage& pull, const StoreView& view) {
  const ViewMark mark = view.Mark();
  if (!mark.loaded) {
    return;
  }
  GossipMessage reply;
  reply.mark = mark;
  if (!pull.mark.loaded || pull.mark.routes_version < mark.routes_version) {
    reply.kind = GossipKind::kRoutes;
    this->SendInParts(pull.sender, reply, &GossipMessage::routes,
                      view.Routes().All(), kRoutesInPart);
  }
  if (!pull.mark.loaded || pull.mark.servers_revision < mark.servers_revision) {
    reply.kind = GossipKind::kServers;
    reply.after_revision = pull.mark.loaded ? pull.mark.servers_revision : 0;
    this->SendInParts(
        pull.sender, reply, &GossipMessage::servers,
        view.Servers().ChangesSince(this->now, reply.after_revision),
        kServersInPart);
  }
}

void ViewGossip::OnRoutes(const GossipMessage& message, StoreView& view) {
  if (message.part.count > kMaxParts ||
      !NotePart(message, this->routes, this->routes_parts)) {
    return;
  }
  RouteSet routes;
  routes.version = this->routes.mark.routes_version;
  routes.routes = std::move(this->routes.routes);
  view.ApplyRoutes(routes, "peer", this->outbox->events);
  this->routes_parts.clear();
}

void ViewGossip::OnServers(const GossipMessage& message, StoreView& view) {
  if (message.part.count > kMaxParts ||
      !NotePart(message, this->servers, this->servers_parts)) {
    return;
  }
  view.ApplyPeerServers(
      this->now, this->servers.servers, this->servers.after_revision,
      this->servers.mark.servers_revision, this->outbox->events);
  this->servers_parts.clear();
  this->heard_all = this->heard_all || this->servers.after_revision == 0;
}

void ViewGossip::SendDigests(const StoreView& view) {
  const ViewMark mark = view.Mark();
  const Duration since = this->now - this->digest_at;
  const bool news = IsNewer(mark, this->told);
  if (this->own.port == 0 || since < kLeastDigestPause ||
      (!news && since < kDigestInterval)) {
    return;
  }
  this->digest_at = this->now;
  this->told = mark;
  const GossipMessage digest = this->MakeDigest(view);
  for (const Endpoint& target :
       this->peers.NextTargets(this->now, kDigestTargets)) {
    this->Send(target, digest);
  }
}

GossipMessage ViewGossip::MakeDigest(const StoreView& view) const {
  GossipMessage digest;
  digest.kind = GossipKind::kDigest;
  digest.mark = view.Mark();
  digest.age = this->now - view.ConfirmedAt();
  digest.peers = this->peers.Known(this->now, kPeersInDigest);
  return digest;
}

void ViewGossip::Send(const Endpoint& destination, GossipMessage message) {
  message.sender = this->own;
  this->outbox->gossip.push_back({destination, std::move(message)});
}

}  // namespace cactuscross
