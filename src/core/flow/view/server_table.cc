#include "src/core/flow/view/server_table.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <unordered_set>
#include <utility>

namespace cactuscross {
namespace {

// Entries that expire while the store is unavailable are registered again
// within about 2 s of its return. One that is missing for longer belongs to a
// server that no longer runs.
constexpr Duration kExpiredEntryGrace{2000000};

// Agents send their load at least every 0.5 s to the balancers that sent them
// packets or queries recently.
constexpr Duration kAgentTimeout{1500000};

// Number of consecutive unanswered openings after which a server is avoided. A
// single one may be due to a lost datagram.
constexpr std::uint32_t kSuspectAfterUnanswered = 2;

FlowEvent ServerEvent(FlowEventKind kind, const ServerEntry& entry) {
  FlowEvent event;
  event.kind = kind;
  event.server = entry.server.name;
  event.version = entry.position.revision;
  return event;
}

bool IsNewStart(const FlowServer& before, const FlowServer& after) {
  return before.started_ms != after.started_ms || before.host != after.host ||
         before.service != after.service;
}

bool StartedLater(const FlowServer& a, const FlowServer& b) {
  return a.started_ms != 0 && b.started_ms != 0 && a.started_ms > b.started_ms;
}

// What an entry says of a server: its last report, and whether it has been
// removed since.
struct Knowledge {
  const FlowServer& server;
  bool removed;
};

// True if `a` is of a later time than `b`. A server's start times and report
// numbers only increase. False if that can't be told.
bool IsLater(const Knowledge& a, const Knowledge& b) {
  if (a.server.started_ms != b.server.started_ms) {
    return StartedLater(a.server, b.server);
  }
  if (IsNewStart(a.server, b.server) || a.server.report_number == 0 ||
      b.server.report_number == 0) {
    return false;
  }
  return a.server.report_number != b.server.report_number
             ? a.server.report_number > b.server.report_number
             : a.removed && !b.removed;
}

// True if `change` is newer than `entry`. Positions do not tell in different
// eras, because the copy from which the store came back may be older than
// `entry`, nor if they are equal and one of two balancers knows more than that
// copy.
bool IsNewer(const ServerChange& change, const ServerEntry& entry) {
  const Knowledge changed{change.server, change.removed};
  const Knowledge known{entry.server, !entry.listed};
  if (change.position.era == entry.position.era &&
      change.position != entry.position) {
    return change.position > entry.position;
  }
  return change.position > entry.position ? !IsLater(known, changed)
                                          : IsLater(changed, known);
}

// True if the server of `a` replaced that of `b` on their common host. The
// positions do not tell if one of them is that of the entry's removal, or if
// the eras differ: the store may list servers again that others had replaced.
bool IsLaterOnHost(const ServerEntry& a, const ServerEntry& b) {
  const bool comparable =
      a.listed && b.listed && a.position.era == b.position.era;
  if (!comparable && a.server.started_ms != b.server.started_ms &&
      a.server.started_ms != 0 && b.server.started_ms != 0) {
    return StartedLater(a.server, b.server);
  }
  return a.position > b.position;
}

void ResetLoad(ServerEntry& entry) {
  entry.load = ServerLoad();
  entry.capacity = 0;
  entry.agent_max_running = 0;
  entry.agent_notice_received = false;
  entry.unheard_queries = 0;
  entry.placed = 0;
  entry.offered = 0;
  entry.unanswered = 0;
  entry.suspected = false;
}

}  // namespace

void ServerTable::Apply(TimePoint now,
                        const ServerChange& change,
                        std::vector<FlowEvent>& events) {
  const ServerKey key = MakeServerKey(change.name);
  const auto found = this->entries.find(key);
  if (change.removed) {
    if (found == this->entries.end()) {
      this->AddUnlisted(now, change, events);
    } else if (found->second.listed && IsNewer(change, found->second)) {
      this->Unlist(now, found->second,
                   std::max(change.position, found->second.position), "removed",
                   events);
    }
    return;
  }
  if (found != this->entries.end() && !IsNewer(change, found->second)) {
    found->second.position = std::max(change.position, found->second.position);
    return;
  }
  const bool is_new = found == this->entries.end();
  ServerEntry& entry = is_new ? this->entries[key] : found->second;
  const bool was_listed = !is_new && entry.listed;
  const ServerPhase phase_before = entry.server.phase;
  const bool restarted = is_new || IsNewStart(entry.server, change.server);
  if (restarted) {
    ResetLoad(entry);
  }
  entry.key = key;
  entry.server = change.server;
  entry.position = std::max(change.position, entry.position);
  entry.listed = true;
  entry.warmup_ends_at = now + change.server.warmup_time;
  entry.orders_changed = entry.orders_changed || restarted ||
                         change.server.warmup_time > Duration{0};
  this->UpdateEvacuation(now, entry);
  if (!was_listed || restarted || phase_before != change.server.phase) {
    FlowEvent event = ServerEvent(was_listed ? FlowEventKind::kServerChanged
                                             : FlowEventKind::kServerListed,
                                  entry);
    event.reason =
        change.server.phase == ServerPhase::kLeaving ? "leaving" : "serving";
    event.age = change.server.warmup_time;
    events.push_back(std::move(event));
  }
  if (restarted) {
    this->Supersede(now, entry, events);
    this->RebuildIndexes();
  }
}

void ServerTable::AddUnlisted(TimePoint now,
                              const ServerChange& change,
                              std::vector<FlowEvent>& events) {
  const bool replaced =
      std::any_of(this->entries.begin(), this->entries.end(),
                  [this, &change](const Entries::value_type& item) {
                    const FlowServer& server = item.second.server;
                    return server.host == change.server.host &&
                           !StartedLater(change.server, server) &&
                           this->IsRouted(server.service) ==
                               this->IsRouted(change.server.service);
                  });
  if (change.server.host == 0 || replaced) {
    return;
  }
  const ServerKey key = MakeServerKey(change.name);
  ServerEntry& entry = this->entries[key];
  entry.key = key;
  entry.server = change.server;
  entry.position = change.position;
  this->UpdateEvacuation(now, entry);
  entry.listed = false;
  // The grace period applies only to entries that were seen to expire.
  entry.unlisted_at = now - kExpiredEntryGrace;
  this->Supersede(now, entry, events);
  this->RebuildIndexes();
}

std::vector<ServerChange> ServerTable::ChangesSince(
    TimePoint now,
    const StorePosition& position) const {
  std::vector<ServerChange> changes;
  for (const auto& [key, entry] : this->entries) {
    if (entry.position <= position || (entry.superseded && !entry.listed)) {
      continue;
    }
    ServerChange change{entry.position, entry.server.name, !entry.listed,
                        entry.server};
    change.server.warmup_time =
        std::max(entry.warmup_ends_at - now, Duration{0});
    changes.push_back(std::move(change));
  }
  return changes;
}

void ServerTable::Supersede(TimePoint now,
                            const ServerEntry& changed,
                            std::vector<FlowEvent>& events) {
  std::vector<ServerEntry*> contenders;
  for (auto& [key, entry] : this->entries) {
    if (entry.server.host == changed.server.host &&
        this->IsRouted(entry) == this->IsRouted(changed)) {
      contenders.push_back(&entry);
    }
  }
  const ServerEntry* newest = &changed;
  for (const ServerEntry* entry : contenders) {
    newest = IsLaterOnHost(*entry, *newest) ? entry : newest;
  }
  for (ServerEntry* entry : contenders) {
    const bool superseded = entry != newest;
    if (entry->superseded == superseded) {
      continue;
    }
    entry->superseded = superseded;
    if (entry->listed) {
      FlowEvent event = ServerEvent(superseded ? FlowEventKind::kServerUnlisted
                                               : FlowEventKind::kServerListed,
                                    *entry);
      event.reason = superseded ? "host_reused" : "routes_changed";
      events.push_back(std::move(event));
      entry->unlisted_at = now;
    }
  }
}

void ServerTable::SetRoutedServices(TimePoint now,
                                    std::vector<ServiceId> services,
                                    std::vector<FlowEvent>& events) {
  if (services == this->routed_services) {
    return;
  }
  const std::vector<ServiceId> before =
      std::exchange(this->routed_services, std::move(services));
  std::unordered_map<std::uint32_t, std::vector<const ServerEntry*>> by_host;
  std::unordered_set<std::uint32_t> changed_hosts;
  for (const auto& [key, entry] : this->entries) {
    by_host[entry.server.host].push_back(&entry);
    const bool was_routed =
        std::binary_search(before.begin(), before.end(), entry.server.service);
    if (was_routed != this->IsRouted(entry)) {
      changed_hosts.insert(entry.server.host);
    }
  }
  for (const std::uint32_t host : changed_hosts) {
    const std::vector<const ServerEntry*>& of_host = by_host[host];
    if (of_host.size() > 1 || of_host.front()->superseded) {
      for (const ServerEntry* entry : of_host) {
        this->Supersede(now, *entry, events);
      }
    }
  }
  this->RebuildIndexes();
}

void ServerTable::FinishList(TimePoint now,
                             const std::vector<ServerKey>& names,
                             const StorePosition& position,
                             std::vector<FlowEvent>& events) {
  std::vector<ServerKey> sorted_names = names;
  std::sort(sorted_names.begin(), sorted_names.end());
  for (auto& [key, entry] : this->entries) {
    if (entry.listed && entry.position <= position &&
        !std::binary_search(sorted_names.begin(), sorted_names.end(), key)) {
      this->Unlist(now, entry, position, "not_in_list", events);
    }
  }
}

void ServerTable::UnlistEarlierEras(TimePoint now,
                                    const StorePosition& position,
                                    std::vector<FlowEvent>& events) {
  for (auto& [key, entry] : this->entries) {
    if (entry.listed && entry.position.era < position.era) {
      this->Unlist(now, entry, position, "not_in_list", events);
    }
  }
}

void ServerTable::Unlist(TimePoint now,
                         ServerEntry& entry,
                         const StorePosition& position,
                         std::string_view reason,
                         std::vector<FlowEvent>& events) {
  entry.listed = false;
  if (entry.superseded) {
    // The position of the removal would make it the newest entry of the host.
    return;
  }
  entry.unlisted_at = now;
  entry.position = position;
  FlowEvent event = ServerEvent(FlowEventKind::kServerUnlisted, entry);
  event.reason = reason;
  events.push_back(std::move(event));
}

void ServerTable::SetEvacuatedZones(TimePoint now,
                                    const std::set<std::string>& zones) {
  this->evacuated_zones = zones;
  for (auto& [key, entry] : this->entries) {
    this->UpdateEvacuation(now, entry);
  }
}

void ServerTable::UpdateEvacuation(TimePoint now, ServerEntry& entry) const {
  const bool evacuated = this->evacuated_zones.count(entry.server.zone) > 0;
  if (entry.zone_evacuated == evacuated) {
    return;
  }
  entry.zone_evacuated = evacuated;
  entry.orders_changed = true;
  if (!evacuated) {
    entry.zone_returned_at = now;
  }
}

void ServerTable::ApplyNotice(TimePoint now,
                              const FlowNotice& notice,
                              std::vector<FlowEvent>& events) {
  ServerEntry* entry = this->FindByHost(notice.sender, notice.service_tag);
  if (entry == nullptr) {
    return;
  }
  if (entry->load.down != notice.load.down) {
    events.push_back(ServerEvent(notice.load.down ? FlowEventKind::kServerDown
                                                  : FlowEventKind::kServerUp,
                                 *entry));
  }
  if (entry->suspected) {
    events.push_back(
        ServerEvent(FlowEventKind::kServerSuspicionCleared, *entry));
  }
  if (notice.load.ended && !entry->load.ended) {
    FlowEvent event = ServerEvent(FlowEventKind::kServerEnded, *entry);
    event.reason = "announced";
    events.push_back(std::move(event));
  }
  entry->load = notice.load;
  if (notice.load.capacity > 0) {
    entry->capacity = notice.load.capacity;
    entry->capacity_at = now;
  }
  if (notice.kind == NoticeKind::kOffer) {
    entry->offered = HasOffer(now, *entry) ? entry->offered + 1 : 1;
    entry->offered_until = now + kOfferLifetime / 2;
  }
  entry->agent_max_running = notice.max_running;
  if (!entry->agent_notice_received) {
    entry->agent_notice_received = true;
    entry->first_agent_notice_at = now;
  }
  entry->last_agent_notice_at = now;
  entry->placed = 0;
  entry->unanswered = 0;
  entry->suspected = false;
}

void ServerTable::NoteUnanswered(TimePoint now,
                                 ServerKey key,
                                 std::vector<FlowEvent>& events) {
  ServerEntry* entry = this->Find(key);
  if (entry == nullptr) {
    return;
  }
  ++entry->unanswered;
  if (entry->suspected || entry->unanswered < kSuspectAfterUnanswered) {
    return;
  }
  entry->suspected = true;
  FlowEvent event = ServerEvent(FlowEventKind::kServerSuspected, *entry);
  event.count = entry->unanswered;
  if (entry->agent_notice_received) {
    event.age = now - entry->last_agent_notice_at;
  }
  events.push_back(std::move(event));
}

void ServerTable::Expire(TimePoint now, Duration retention) {
  bool changed = false;
  for (auto entry = this->entries.begin(); entry != this->entries.end();) {
    if (!entry->second.listed && now - entry->second.unlisted_at > retention) {
      entry = this->entries.erase(entry);
      changed = true;
    } else {
      ++entry;
    }
  }
  if (changed) {
    this->RebuildIndexes();
  }
}

bool ServerTable::ListsAllServers() const {
  return std::all_of(this->entries.begin(), this->entries.end(),
                     [](const Entries::value_type& item) {
                       return item.second.listed || item.second.superseded;
                     });
}

std::uint64_t ServerTable::ListedHash() const {
  std::uint64_t hash = 0;
  for (const auto& [key, entry] : this->entries) {
    if (!entry.listed) {
      continue;
    }
    const std::array<std::uint64_t, 4> fields = {
        ToNumber(key), entry.server.started_ms, entry.server.report_number,
        ToNumber(entry.server.phase)};
    hash += XXH3_64bits(fields.data(), sizeof(fields));
  }
  return hash;
}

ServerEntry* ServerTable::Find(ServerKey key) {
  const auto found = this->entries.find(key);
  return found == this->entries.end() ? nullptr : &found->second;
}

const ServerEntry* ServerTable::Find(ServerKey key) const {
  const auto found = this->entries.find(key);
  return found == this->entries.end() ? nullptr : &found->second;
}

ServerEntry* ServerTable::FindByHost(std::uint32_t host,
                                     std::uint32_t service_tag) {
  ServerEntry* newest = nullptr;
  const auto found = this->by_host.find(host);
  if (found == this->by_host.end()) {
    return nullptr;
  }
  for (const ServerKey key : found->second) {
    ServerEntry* entry = this->Find(key);
    if (ServiceTag(entry->server.service) == service_tag &&
        (newest == nullptr || IsLaterOnHost(*entry, *newest))) {
      newest = entry;
    }
  }
  return newest;
}

std::vector<ServiceId> ServerTable::Services() const {
  std::vector<ServiceId> services;
  for (const auto& [service, keys] : this->by_service) {
    services.push_back(ServiceId{service});
  }
  std::sort(services.begin(), services.end());
  return services;
}

const std::vector<ServerKey>& ServerTable::OfService(ServiceId service) const {
  static const std::vector<ServerKey> none;
  const auto found = this->by_service.find(ToNumber(service));
  return found == this->by_service.end() ? none : found->second;
}

void ServerTable::RebuildIndexes() {
  this->by_service.clear();
  this->by_host.clear();
  for (const auto& [key, entry] : this->entries) {
    if (!entry.superseded) {
      this->by_service[ToNumber(entry.server.service)].push_back(key);
      this->by_host[entry.server.host].push_back(key);
    }
  }
}

bool ServerTable::IsRouted(ServiceId service) const {
  return std::binary_search(this->routed_services.begin(),
                            this->routed_services.end(), service);
}

bool HasEnded(const ServerEntry& entry) {
  const bool leaves =
      entry.server.phase == ServerPhase::kLeaving || !entry.listed;
  return entry.load.ended && leaves;
}

bool IsDead(TimePoint now, const ServerEntry& entry) {
  if (HasEnded(entry)) {
    return true;
  }
  const bool silent = !entry.agent_notice_received ||
                      now - entry.last_agent_notice_at >= kAgentTimeout;
  const bool leaving = entry.server.phase == ServerPhase::kLeaving;
  const Duration grace = leaving ? Duration{0} : kExpiredEntryGrace;
  return (!entry.listed || entry.superseded) &&
         now - entry.unlisted_at >= grace && silent;
}

bool HasOffer(TimePoint now, const ServerEntry& entry) {
  return entry.offered > 0 && now < entry.offered_until;
}

bool IsEvacuated(const ServerEntry& entry) {
  return entry.zone_evacuated || entry.load.evacuated;
}

bool AcceptsNewFlows(TimePoint now, const ServerEntry& entry) {
  if (entry.server.phase == ServerPhase::kLeaving || entry.load.down ||
      entry.superseded || IsEvacuated(entry)) {
    return false;
  }
  return entry.listed || now - entry.unlisted_at < kExpiredEntryGrace;
}

}  // namespace cactuscross
