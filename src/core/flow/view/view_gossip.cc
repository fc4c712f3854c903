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
// Parts of the routes that are requested at a time: up to 10 KB, which take 8
// ms on a link of 10 Mbit/s.
constexpr std::uint32_t kPartsPerPull = 8;

// Transfers that a process serves at a time, and the time without a pull after
// which one has ended. Load: all of 75 balancers restart, and one has routes
// before the others. With all transfers at once its link was full, so that none
// ended for seconds; the peers that it serves first serve the others.
constexpr std::size_t kMaxTransfers = 4;
constexpr Duration kTransferTimeout{50000};

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
  if (this->IsReceivingRoutes() &&
      advertised_version.routes_version <=
          this->routes.Reply().view_version.routes_version) {
    // A pull from another peer would start the transfer again. What is newer
    // there is pulled after its next digest.
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
  GossipMessage pull = this->BeginPull(view);
  if (this->pull_target.all_servers) {
    pull.view_version.servers = StorePosition();
  }
  this->Send(this->pull_target.peer, std::move(pull));
}

GossipMessage ViewGossip::BeginPull(const StoreView& view) {
  this->pulled_at = this->now;
  GossipMessage pull;
  pull.kind = GossipKind::kPull;
  pull.view_version = view.Version();
  if (this->pull_target.all_servers) {
    // The peer may know former services of the same version of the routes.
    pull.view_version.routes_version = 0;
  }
  pull.routes_known = view.Routes().Version();
  pull.max_parts = kPartsPerPull;
  const GossipMessage& partial = this->routes.Reply();
  if (this->routes.IsPartial() && partial.sender == this->pull_target.peer &&
      partial.view_version.routes_version ==
          this->pull_target.version.routes_version) {
    pull.first_part = this->routes.FirstMissing();
  }
  this->requested_parts = pull.first_part + pull.max_parts;
  return pull;
}

void ViewGossip::ContinuePull(const StoreView& view) {
  const GossipMessage& reply = this->routes.Reply();
  // A peer of the previous version sends all parts at once.
  if (reply.max_parts == 0 || reply.sender != this->pull_target.peer ||
      this->routes.FirstMissing() < this->requested_parts) {
    return;
  }
  GossipMessage pull = this->BeginPull(view);
  // The servers were requested with the first parts.
  pull.view_version.loaded = true;
  pull.view_version.servers = reply.view_version.servers;
  if (reply.routes_after == 0 || reply.former_known_for) {
    pull.view_version.routes_version = 0;
  }
  this->Send(reply.sender, std::move(pull));
}

bool ViewGossip::IsReceivingRoutes() const {
  return this->routes.IsPartial() &&
         this->now - this->routes_part_at < kPullInterval;
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
    this->AnswerPullOfRoutes(pull, view);
  }
  if (!pull.view_version.loaded ||
      pull.view_version.servers < view_version.servers) {
    reply.kind = GossipKind::kServers;
    reply.after =
        pull.view_version.loaded ? pull.view_version.servers : StorePosition();
    this->SendInParts(pull.sender, reply, &GossipMessage::servers,
                      view.Servers().ChangesSince(this->now, reply.after),
                      kServersPerPart);
  }
}

void ViewGossip::AnswerPullOfRoutes(const GossipMessage& pull,
                                    const StoreView& view) {
  const ActiveRoutes& routes = view.Routes();
  GossipMessage reply;
  reply.kind = GossipKind::kRoutes;
  reply.view_version = view.Version();
  reply.age = this->now - std::max(view.ConfirmedAt(), this->peer_confirmed_at);
  reply.warmup_limits = routes.WarmupLimits();
  reply.max_parts = pull.max_parts;
  RouteSelection selection;
  if (pull.routes_known != 0 && routes.KnowsChangesAfter(pull.routes_known)) {
    selection.after = pull.routes_known;
    selection.with_former = pull.view_version.routes_version == 0;
    reply.routes_after = selection.after;
    if (selection.with_former) {
      reply.former_known_for = routes.FormerKnownFor(this->now);
    }
  }
  reply.part.count = PartCount(routes.CountFor(selection), kRoutesPerPart);
  if (pull.max_parts != 0 && reply.part.count > pull.max_parts &&
      !this->AdmitTransfer(pull.sender)) {
    return;
  }
  // The parts that the peer has may be those of a longer reply.
  const std::uint32_t first =
      pull.first_part < reply.part.count ? pull.first_part : 0;
  const std::uint32_t end =
      pull.max_parts == 0 || pull.max_parts > reply.part.count - first
          ? reply.part.count
          : first + pull.max_parts;
  const std::vector<FlowRoute> wanted =
      routes.ForPeer(this->now, selection, std::size_t{first} * kRoutesPerPart,
                     std::size_t{end - first} * kRoutesPerPart);
  for (reply.part.index = first; reply.part.index < end; ++reply.part.index) {
    const std::size_t begin =
        std::size_t{reply.part.index - first} * kRoutesPerPart;
    const std::size_t count = std::min(
        kRoutesPerPart, wanted.size() - std::min(begin, wanted.size()));
    reply.routes.assign(
        wanted.begin() + static_cast<std::ptrdiff_t>(begin),
        wanted.begin() + static_cast<std::ptrdiff_t>(begin + count));
    this->Send(pull.sender, reply);
  }
}

bool ViewGossip::AdmitTransfer(const Endpoint& peer) {
  this->transfers.erase(
      std::remove_if(this->transfers.begin(), this->transfers.end(),
                     [this](const Transfer& transfer) {
                       return this->now - transfer.pulled_at > kTransferTimeout;
                     }),
      this->transfers.end());
  const auto found = std::find_if(
      this->transfers.begin(), this->transfers.end(),
      [&peer](const Transfer& transfer) { return transfer.peer == peer; });
  if (found != this->transfers.end()) {
    found->pulled_at = this->now;
    return true;
  }
  if (this->transfers.size() >= kMaxTransfers) {
    return false;
  }
  this->transfers.push_back({peer, this->now});
  return true;
}

void ViewGossip::OnRoutes(const GossipMessage& message, StoreView& view) {
  if (message.part.count > kMaxParts) {
    return;
  }
  this->routes_part_at = this->now;
  if (!this->routes.Add(message)) {
    this->ContinuePull(view);
    return;
  }
  GossipMessage& reply = this->routes.Reply();
  if (reply.routes_after == 0) {
    view.ApplyRoutes(this->now,
                     {reply.view_version.routes_version,
                      std::move(reply.routes), std::move(reply.warmup_limits)},
                     "peer", this->outbox->events);
  } else {
    view.ApplyRouteChanges(
        this->now,
        {reply.routes_after, reply.view_version.routes_version,
         std::move(reply.routes), std::move(reply.warmup_limits),
         reply.former_known_for},
        this->outbox->events);
  }
  this->NoteConfirmation(reply, view);
  this->routes.Clear();
}

void ViewGossip::OnServers(const GossipMessage& message, StoreView& view) {
  if (message.part.count > kMaxParts || !this->servers.Add(message)) {
    return;
  }
  const GossipMessage& reply = this->servers.Reply();
  view.ApplyPeerServers(this->now, reply.servers, reply.after,
                        reply.view_version.servers, this->outbox->events);
  this->NoteConfirmation(reply, view);
  this->servers.Clear();
  if (reply.after.revision == 0) {
    if (this->full_view_senders.size() < kInitialViews &&
        !this->HasFullViewOf(reply.sender)) {
      this->full_view_senders.push_back(reply.sender);
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
