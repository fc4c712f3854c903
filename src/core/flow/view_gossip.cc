#include "src/core/flow/view_gossip.h"

#include <algorithm>
#include <utility>

namespace cactuscross {
namespace {

// A digest takes about 150 bytes: eight every 400 ms are 3 KB/s, the limit for
// the control traffic of a process.
constexpr Duration kDigestInterval{400000};
constexpr std::size_t kDigestFanout = 8;
constexpr std::size_t kPeersInDigest = 8;
// Changes are advertised immediately, to as many peers as one round covers, but
// not more often than this.
constexpr Duration kMinDigestInterval{10000};

// Number of balancers that read the store while their views are confirmed. Two,
// so that the loss of one causes no gap.
constexpr std::size_t kDesignatedReaders = 2;
// Maximum time since the store confirmed a view, after which the view counts as
// stale. A reader's watch is answered at least every 1.2 s, or 1.5 s by a slow
// store, and its digest arrives up to 0.4 s later. New routes must be in force
// within 3 s.
constexpr Duration kMaxViewAge{2000000};

// A live peer sends its view within this time after the first view is loaded.
constexpr Duration kInitialSyncTimeout{500000};

// Minimum time between two pulls from a peer.
constexpr Duration kPullInterval{100000};

// Entries in one datagram: a route takes about 25 bytes, a server about 90.
constexpr std::size_t kRoutesPerPart = 40;
constexpr std::size_t kServersPerPart = 10;
// Maximum number of parts of a reply, enough for 40,000 routes.
constexpr std::uint32_t kMaxParts = 1000;

// Adds a part to the reply being reassembled; returns true if the reply is
// complete. A part of a different reply discards the parts received so far.
bool AddPart(const GossipMessage& message,
             GossipMessage& reply,
             std::vector<bool>& parts) {
  const bool same = reply.sender == message.sender &&
                    reply.view_version.routes_version ==
                        message.view_version.routes_version &&
                    reply.view_version.servers_revision ==
                        message.view_version.servers_revision &&
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

bool IsNewer(const ViewVersion& view_version, const ViewVersion& than) {
  return view_version.loaded &&
         (!than.loaded || view_version.routes_version > than.routes_version ||
          view_version.servers_revision > than.servers_revision);
}

std::uint32_t PartCount(std::size_t entries, std::size_t entries_per_part) {
  return static_cast<std::uint32_t>(std::max<std::size_t>(
      1, (entries + entries_per_part - 1) / entries_per_part));
}

}  // namespace

ViewGossip::ViewGossip(const FlowBalancerSettings& settings)
    : own_control(settings.control), peers(settings.control, settings.seeds) {}

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
  const bool confirmed = now - this->peers.ConfirmedAt(now) <= kMaxViewAge;
  view.SetReading(!view.IsLoaded() || !confirmed ||
                  this->peers.RankOfSelf(now, kMaxViewAge) <
                      kDesignatedReaders);
  this->SendDigests(view);
}

bool ViewGossip::IsCurrent(TimePoint now, const StoreView& view) const {
  const TimePoint confirmed =
      std::max(view.ConfirmedAt(), this->peers.ConfirmedAt(now));
  return now - confirmed <= kMaxViewAge;
}

bool ViewGossip::HasSynced(TimePoint now) const {
  return this->full_view_received ||
         (this->loaded_at != TimePoint() &&
          now - this->loaded_at >= kInitialSyncTimeout);
}

void ViewGossip::OnDigest(const GossipMessage& digest, StoreView& view) {
  const bool was_known = this->peers.HasReceivedDigest(digest.sender);
  GossipPeer* peer = this->peers.NoteDigest(this->now, digest);
  if (peer == nullptr) {
    return;
  }
  if (!was_known) {
    this->Send(peer->control, this->MakeDigest(view));
  }
  const bool needs_pull =
      IsNewer(digest.view_version, view.Version()) ||
      (!this->full_view_received && digest.view_version.loaded);
  if (!needs_pull || this->now - peer->pulled_at < kPullInterval) {
    return;
  }
  peer->pulled_at = this->now;
  GossipMessage pull;
  pull.kind = GossipKind::kPull;
  pull.view_version = view.Version();
  if (!this->full_view_received) {
    pull.view_version.servers_revision = 0;
  }
  this->Send(peer->control, std::move(pull));
}

template <typename Entry>
void ViewGossip::SendInParts(const Endpoint& destination,
                             GossipMessage reply,
                             std::vector<Entry> GossipMessage::*list,
                             const std::vector<Entry>& entries,
                             std::size_t entries_per_part) {
  reply.part.count = PartCount(entries.size(), entries_per_part);
  for (reply.part.index = 0; reply.part.index < reply.part.count;
       ++reply.part.index) {
    const std::size_t first = reply.part.index * entries_per_part;
    const std::size_t last = std::min(first + entries_per_part, entries.size());
    (reply.*list)
        .assign(entries.begin() + static_cast<std::ptrdiff_t>(first),
                entries.begin() + static_cast<std::ptrdiff_t>(last));
    this->Send(destination, reply);
  }
}

void ViewGossip::OnPull(const GossipMessage& pull, const StoreView& view) {
  const ViewVersion view_version = view.Version();
  if (!view_version.loaded) {
    return;
  }
  GossipMessage reply;
  reply.view_version = view_version;
  if (!pull.view_version.loaded ||
      pull.view_version.routes_version < view_version.routes_version) {
    reply.kind = GossipKind::kRoutes;
    this->SendInParts(pull.sender, reply, &GossipMessage::routes,
                      view.Routes().All(), kRoutesPerPart);
  }
  if (!pull.view_version.loaded ||
      pull.view_version.servers_revision < view_version.servers_revision) {
    reply.kind = GossipKind::kServers;
    reply.after_revision =
        pull.view_version.loaded ? pull.view_version.servers_revision : 0;
    this->SendInParts(
        pull.sender, reply, &GossipMessage::servers,
        view.Servers().ChangesSince(this->now, reply.after_revision),
        kServersPerPart);
  }
}

void ViewGossip::OnRoutes(const GossipMessage& message, StoreView& view) {
  if (message.part.count > kMaxParts ||
      !AddPart(message, this->routes, this->routes_parts)) {
    return;
  }
  RouteSet routes;
  routes.version = this->routes.view_version.routes_version;
  routes.routes = std::move(this->routes.routes);
  view.ApplyRoutes(routes, "peer", this->outbox->events);
  this->routes_parts.clear();
}

void ViewGossip::OnServers(const GossipMessage& message, StoreView& view) {
  if (message.part.count > kMaxParts ||
      !AddPart(message, this->servers, this->servers_parts)) {
    return;
  }
  view.ApplyPeerServers(
      this->now, this->servers.servers, this->servers.after_revision,
      this->servers.view_version.servers_revision, this->outbox->events);
  this->servers_parts.clear();
  this->full_view_received =
      this->full_view_received || this->servers.after_revision == 0;
}

void ViewGossip::SendDigests(const StoreView& view) {
  const ViewVersion view_version = view.Version();
  const Duration since = this->now - this->digest_at;
  const bool changed = IsNewer(view_version, this->advertised);
  if (this->own_control.port == 0 || since < kMinDigestInterval ||
      (!changed && since < kDigestInterval)) {
    return;
  }
  this->digest_at = this->now;
  this->advertised = view_version;
  const GossipMessage digest = this->MakeDigest(view);
  for (const Endpoint& target :
       this->peers.NextTargets(this->now, kDigestFanout)) {
    this->Send(target, digest);
  }
}

GossipMessage ViewGossip::MakeDigest(const StoreView& view) const {
  GossipMessage digest;
  digest.kind = GossipKind::kDigest;
  digest.view_version = view.Version();
  digest.age = this->now - view.ConfirmedAt();
  digest.peers = this->peers.LivePeers(this->now, kPeersInDigest);
  return digest;
}

void ViewGossip::Send(const Endpoint& destination, GossipMessage message) {
  message.sender = this->own_control;
  this->outbox->gossip.push_back({destination, std::move(message)});
}

}  // namespace cactuscross
