#include "src/core/flow/server_table.h"

#include <algorithm>
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
  event.version = entry.revision;
  return event;
}

bool IsNewStart(const FlowServer& before, const FlowServer& after) {
  return before.started_ms != after.started_ms || before.host != after.host ||
         before.service != after.service;
}

void ResetLoad(ServerEntry& entry) {
  entry.load = ServerLoad();
  entry.agent_notice_received = false;
  entry.placed = 0;
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
      this->AddUnlisted(now, change);
    } else if (found->second.listed &&
               found->second.revision < change.revision) {
      this->Unlist(now, found->second, change.revision, "removed", events);
    }
    return;
  }
  if (found != this->entries.end() &&
      found->second.revision >= change.revision) {
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
  entry.revision = change.revision;
  entry.listed = true;
  entry.warmup_ends_at = now + change.server.warmup_time;
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

void ServerTable::AddUnlisted(TimePoint now, const ServerChange& change) {
  const bool known_host =
      std::any_of(this->entries.begin(), this->entries.end(),
                  [&change](const Entries::value_type& item) {
                    return item.second.server.host == change.server.host;
                  });
  if (change.server.host == 0 || known_host) {
    return;
  }
  const ServerKey key = MakeServerKey(change.name);
  ServerEntry& entry = this->entries[key];
  entry.key = key;
  entry.server = change.server;
  entry.revision = change.revision;
  entry.listed = false;
  // The grace period applies only to entries that were seen to expire.
  entry.unlisted_at = now - kExpiredEntryGrace;
  this->RebuildIndexes();
}

std::vector<ServerChange> ServerTable::ChangesSince(
    TimePoint now,
    std::uint64_t revision) const {
  std::vector<ServerChange> changes;
  for (const auto& [key, entry] : this->entries) {
    if (entry.revision <= revision || entry.superseded) {
      continue;
    }
    ServerChange change{entry.revision, entry.server.name, !entry.listed,
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
  const ServerEntry* newest = &changed;
  for (const auto& [key, entry] : this->entries) {
    if (entry.server.host == changed.server.host &&
        entry.revision > newest->revision) {
      newest = &entry;
    }
  }
  for (auto& [key, entry] : this->entries) {
    if (entry.server.host != changed.server.host) {
      continue;
    }
    entry.superseded = &entry != newest;
    if (entry.superseded && entry.listed) {
      this->Unlist(now, entry, entry.revision, "host_reused", events);
    }
  }
}

void ServerTable::FinishList(TimePoint now,
                             const std::vector<ServerKey>& names,
                             std::uint64_t revision,
                             std::vector<FlowEvent>& events) {
  for (auto& [key, entry] : this->entries) {
    if (entry.listed && entry.revision <= revision &&
        std::find(names.begin(), names.end(), key) == names.end()) {
      this->Unlist(now, entry, revision, "not_in_list", events);
    }
  }
}

void ServerTable::Unlist(TimePoint now,
                         ServerEntry& entry,
                         std::uint64_t revision,
                         std::string_view reason,
                         std::vector<FlowEvent>& events) {
  entry.listed = false;
  entry.unlisted_at = now;
  entry.revision = revision;
  FlowEvent event = ServerEvent(FlowEventKind::kServerUnlisted, entry);
  event.reason = reason;
  events.push_back(std::move(event));
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
  entry->load = notice.load;
  entry->agent_notice_received = true;
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

ServerEntry* ServerTable::Find(ServerKey key) {
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
        (newest == nullptr || newest->revision < entry->revision)) {
      newest = entry;
    }
  }
  return newest;
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

bool IsDead(TimePoint now, const ServerEntry& entry) {
  const bool silent = !entry.agent_notice_received ||
                      now - entry.last_agent_notice_at >= kAgentTimeout;
  const bool leaving = entry.server.phase == ServerPhase::kLeaving;
  const Duration grace = leaving ? Duration{0} : kExpiredEntryGrace;
  return !entry.listed && now - entry.unlisted_at >= grace && silent;
}

bool AcceptsNewFlows(TimePoint now, const ServerEntry& entry) {
  if (entry.server.phase == ServerPhase::kLeaving || entry.load.down) {
    return false;
  }
  return entry.listed || now - entry.unlisted_at < kExpiredEntryGrace;
}

}  // namespace cactuscross
