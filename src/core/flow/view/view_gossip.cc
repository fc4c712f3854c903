#include "src/core/flow/view/view_gossip.h"

#include <algorithm>
#include <utility>

namespace cactuscross {
namespace {

// A digest takes about 150 bytes: eight every 400 ms are 3 KB/s, the limit for
// the control traffic of a process.
constexpr Duration kDigestInterval{400000};
constexpr std::size_t kPeersInDigest = 8;
// Changes are advertised immediately, to as many peers as one round covers, but
// not more often than this.
constexpr Duration kMinDigestInterval{10000};

// Maximum time since the store confirmed a view, after which the view counts as
// stale. A reader's watch is answered at least every 1.2 s, or 1.5 s by a slow
// store, and the confirmation reaches all balancers within two digest intervals
// (0.8 s). New routes must be in force within 3 s.
constexpr Duration kMaxViewAge{2300000};

// Number of peers whose complete views a process takes after its start. The
// first ones may themselves have just started, and know only what the store
// lists.
constexpr std::size_t kInitialViews = 3;

// A live peer sends its view within this time after the first view is loaded.
constexpr Duration kInitialSyncTimeout{500000};

// A pull that was not answered completely within this time is sent again.
constexpr Duration kPullInterval{100000};
// Pulls without a new digest, after which the peer is not asked again.
constexpr int kMaxPulls = 10;
// Minimum time between two pulls of all servers because the hashes differ.
constexpr Duration kCompareInterval{1000000};

// Entries in one datagram: a route with two services and two former ones takes
// about 90 bytes, as a server does.
constexpr std::size_t kRoutesPerPart = 12;
constexpr std::size_t kServersPerPart = 10;
// Maximum number of parts of a reply, enough for 40,000 routes.
constexpr std::uint32_t kMaxParts = 3400;

// Adds a part to the reply being reassembled; returns true if the reply is
// complete. A part of a different reply discards the parts received so far.
bool AddPart(const GossipMessage& message,
             GossipMessage& reply,
             std::vector<bool>& parts) {
  const bool same =
      reply.sender == message.sender &&
      reply.view_version.routes_version ==
          message.view_version.routes_version &&
      reply.view_version.servers == message.view_version.servers &&
      reply.after == message.after && parts.size() == message.part.count;
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
          view_version.servers > than.servers);
}

std::uint32_t PartCount(std::size_t entries, std::size_t entries_per_part) {
  return static_cast<std::uint32_t>(std::max<std::size_t>(
      1, (entries + entries_per_part - 1) / entries_per_part));
}

}  // namespace

ViewGossip::ViewGossip(const FlowBalancerSettings& settings)
    : own_control(settings.control),
      peers(settings.control, settings.seeds),
      election(settings.control) {}

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
  this->SendPull(view);
  this->UpdateReading(view);
  this->SendDigests(view);
}

bool ViewGossip::IsCurrent(TimePoint now, const StoreView& view) const {
  const TimePoint confirmed_at =
      std::max(view.ConfirmedAt(), this->peer_confirmed_at);
  return view.IsLoaded() && confirmed_at != TimePoint() &&
         now - confirmed_at <= kMaxViewAge;
}

void ViewGossip::UpdateReading(StoreView& view) {
  ReaderElectionInput input;
  input.answered_at = view.ConfirmedAt();
  // Before the first view: peers that reach the store have found nothing in it
  // as long as they advertise no view either.
  input.confirmed = view.IsLoaded() ? this->IsCurrent(this->now, view)
                                    : !this->pull_target.version.loaded;
  input.live_peers = this->peers.CountLive(this->now);
  const bool reading = this->election.Update(this->now, input);
  // Readers that get no answer share the attempts, so that the store's return
  // is noticed as fast in a large fleet, at the same number of calls.
  const auto retry_factor = static_cast<std::uint32_t>(
      std::max<std::size_t>(1, input.live_peers / kDigestFanout));
  view.SetReading(reading, retry_factor);
}

bool ViewGossip::HasSynced(TimePoint now) const {
  return !this->full_view_senders.empty() ||
         this->without_unlisted.size() >= kInitialViews ||
         (this->loaded_at != TimePoint() &&
          now - this->loaded_at >= kInitialSyncTimeout);
}

void ViewGossip::OnDigest(const GossipMessage& digest, StoreView& view) {
  const bool first = this->peers.NoteDigest(this->now, digest);
  // A peer that has just started needs a view before the next round.
  if (first || (view.IsLoaded() && !digest.view_version.loaded)) {
    this->Send(digest.sender, this->MakeDigest(view));
  }
  this->readers_changed =
      this->election.Note(this->now, digest.readers) || this->readers_changed;
  view.ApplyPeerZoneOrders(this->now, digest.zone_orders, this->outbox->events);
  this->UpdatePullTarget(digest, view);
  this->NoteConfirmation(digest, view);
  // After a restart of all balancers none has more to send than the store, and
  // the servers that start meanwhile keep changing the views that are pulled.
  if (digest.view_version.loaded && digest.lists_all_servers &&
      this->without_unlisted.size() < kInitialViews &&
      std::find(this->without_unlisted.begin(), this->without_unlisted.end(),
                digest.sender) == this->without_unlisted.end()) {
    this->without_unlisted.push_back(digest.sender);
  }
}

bool ViewGossip::HasFullViewOf(const Endpoint& peer) const {
  return std::find(this->full_view_senders.begin(),
                   this->full_view_senders.end(),
                   peer) != this->full_view_senders.end();
}

void ViewGossip::UpdatePullTarget(const GossipMessage& digest,
                                  const StoreView& view) {
  const ViewVersion own = view.Version();
  const ViewVersion& advertised_version = digest.view_version;
  const bool differs = own.loaded && advertised_version.loaded &&
                       own.servers == advertised_version.servers &&
                       this->now - this->compared_at >= kCompareInterval &&
                       digest.servers_hash != 0 &&
                       view.Servers().ListedHash() != digest.servers_hash;
  const bool initial = advertised_version.loaded &&
                       this->full_view_senders.size() < kInitialViews &&
                       !this->HasFullViewOf(digest.sender);
  if (!differs && !initial && !IsNewer(advertised_version, own)) {
    return;
  }
  if (differs) {
    this->compared_at = this->now;
  }
  this->pull_target = {digest.sender, advertised_version, differs || initial,
                       kMaxPulls};
}

void ViewGossip::NoteConfirmation(const GossipMessage& message,
                                  const StoreView& view) {
  if (view.IsLoaded() && message.view_version.loaded &&
      !IsNewer(message.view_version, view.Version())) {
    this->peer_confirmed_at =
        std::max(this->peer_confirmed_at, this->now - message.age);
  }
}

void ViewGossip::SendPull(const StoreView& view) {
  const bool needs_pull = this->pull_target.all_servers ||
                          IsNewer(this->pull_target.version, view.Version());
  if (!needs_pull || this->pull_target.attempts_left == 0 ||
      this->now - this->pulled_at < kPullInterval) {
    return;
  }
  --this->pull_target.attempts_left;
  this->pulled_at = this->now;
  GossipMessage pull;
  pull.kind = GossipKind::kPull;
  pull.view_version = view.Version();
  if (this->pull_target.all_servers) {
    pull.view_version.servers = StorePosition();
    // The peer may know former services of the same version of the routes.
    pull.view_version.routes_version = 0;
  }
  this->Send(this->pull_target.peer, std::move(pull));
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
  reply.age = this->now - std::max(view.ConfirmedAt(), this->peer_confirmed_at);
  if (!pull.view_version.loaded ||
      pull.view_version.routes_version < view_version.routes_version) {
    reply.kind = GossipKind::kRoutes;
    reply.warmup_limits = view.Routes().WarmupLimits();
    this->SendInParts(pull.sender, reply, &GossipMessage::routes,
                      view.Routes().All(this->now), kRoutesPerPart);
  }
  if (!pull.view_version.loaded ||
      pull.view_version.servers < view_version.servers) {
    reply.kind = GossipKind::kServers;
    reply.warmup_limits.clear();
    reply.after =
        pull.view_version.loaded ? pull.view_version.servers : StorePosition();
    this->SendInParts(pull.sender, reply, &GossipMessage::servers,
                      view.Servers().ChangesSince(this->now, reply.after),
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
  routes.warmup_limits = std::move(this->routes.warmup_limits);
  view.ApplyRoutes(this->now, routes, "peer", this->outbox->events);
  this->NoteConfirmation(this->routes, view);
  this->routes_parts.clear();
}

void ViewGossip::OnServers(const GossipMessage& message, StoreView& view) {
  if (message.part.count > kMaxParts ||
      !AddPart(message, this->servers, this->servers_parts)) {
    return;
  }
  view.ApplyPeerServers(this->now, this->servers.servers, this->servers.after,
                        this->servers.view_version.servers,
                        this->outbox->events);
  this->NoteConfirmation(this->servers, view);
  this->servers_parts.clear();
  if (this->servers.after.revision == 0) {
    if (this->full_view_senders.size() < kInitialViews &&
        !this->HasFullViewOf(this->servers.sender)) {
      this->full_view_senders.push_back(this->servers.sender);
    }
    this->pull_target.all_servers = false;
  }
}

void ViewGossip::SendDigests(const StoreView& view) {
  const ViewVersion view_version = view.Version();
  const Duration since = this->now - this->digest_at;
  const bool changed = IsNewer(view_version, this->advertised) ||
                       this->readers_changed ||
                       view.Orders().ChangeCount() != this->advertised_orders ||
                       view.ConfirmedAt() != this->advertised_answer_at;
  if (this->own_control.port == 0 || since < kMinDigestInterval ||
      (!changed && since < kDigestInterval)) {
    return;
  }
  this->digest_at = this->now;
  this->advertised = view_version;
  this->advertised_orders = view.Orders().ChangeCount();
  this->advertised_answer_at = view.ConfirmedAt();
  this->readers_changed = false;
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
  digest.servers_hash = view.Servers().ListedHash();
  digest.lists_all_servers = view.Servers().ListsAllServers();
  digest.age =
      this->now - std::max(view.ConfirmedAt(), this->peer_confirmed_at);
  digest.readers = this->election.DesignatedReaders(this->now);
  digest.zone_orders = view.Orders().ForDigest();
  digest.peers = this->peers.LivePeers(this->now, kPeersInDigest);
  return digest;
}

void ViewGossip::Send(const Endpoint& destination, GossipMessage message) {
  message.sender = this->own_control;
  this->outbox->gossip.push_back({destination, std::move(message)});
}

}  // namespace cactuscross
