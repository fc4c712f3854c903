#ifndef CACTUSCROSS_SRC_CORE_FLOW_VIEW_SERVER_TABLE_H_
#define CACTUSCROSS_SRC_CORE_FLOW_VIEW_SERVER_TABLE_H_

// Servers that the store lists or has listed recently, the load that their
// agents report, and which of them accept new flows.

#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "cactuscross/flow_event.h"
#include "cactuscross/flow_message.h"
#include "cactuscross/flow_view.h"

namespace cactuscross {

struct ServerEntry {
  ServerKey key = kNoServer;
  FlowServer server;
  StorePosition position;  // of the store at the entry's last change
  bool listed = true;      // by the store
  // A newer entry describes the same host, so this server no longer exists.
  bool superseded = false;
  TimePoint unlisted_at;     // or superseded
  TimePoint warmup_ends_at;  // the server is slow until then

  ServerLoad load;
  // Last measured ServerLoad::capacity and the time of its notice. An agent
  // that has restarted reports none for a while.
  double capacity = 0;
  TimePoint capacity_at;
  bool agent_notice_received = false;  // since the server's last start
  TimePoint first_agent_notice_at;     // since the server's last start
  TimePoint last_agent_notice_at;
  TimePoint queried_at;               // last query to its agent
  std::uint32_t unheard_queries = 0;  // before the first notice
  TimePoint orders_checked_at;  // last check whether its agent needs a query
  // FlowNotice::max_running of its last notice; 0: its agent knows no limit or
  // does not report it.
  std::uint32_t agent_max_running = 0;
  std::uint32_t placed = 0;  // openings sent since the last notice
  // Places that its agent has reserved for this process, until the given time.
  std::uint32_t offered = 0;
  TimePoint offered_until;
  // Consecutive openings that its agent left unanswered.
  std::uint32_t unanswered = 0;
  bool suspected = false;

  bool zone_evacuated = false;  // by an order that this process knows
  TimePoint zone_returned_at;   // the last such order was withdrawn
  // Its agent refused an opening although the server has free capacity. The
  // server gets no openings from this process until then.
  TimePoint paused_until;
  // What its agent has to be told of the server has changed since the last
  // query.
  bool orders_changed = false;
};

class ServerTable {
 public:
  using Entries = std::unordered_map<ServerKey, ServerEntry>;

  // Applies one change of the store's list. After the store has come back from
  // an older copy, what is known of a server stays if the copy's entry is
  // older.
  void Apply(TimePoint now,
             const ServerChange& change,
             std::vector<FlowEvent>& events);

  // Completes a full list: unlists the entries that are not in `names` and not
  // newer than `position`.
  void FinishList(TimePoint now,
                  const std::vector<ServerKey>& names,
                  const StorePosition& position,
                  std::vector<FlowEvent>& events);

  // Unlists the entries of eras before that of `position`, at which the list is
  // complete.
  void UnlistEarlierEras(TimePoint now,
                         const StorePosition& position,
                         std::vector<FlowEvent>& events);

  // Entries that changed after `position`, for another balancer. Includes the
  // description of servers that are no longer listed: they may hold flows.
  std::vector<ServerChange> ChangesSince(TimePoint now,
                                         const StorePosition& position) const;

  // Sets the services that routes name, or named within the lifetime of a flow,
  // in ascending order. An entry of another service may come from a foreign
  // writer: it supersedes none of theirs, nor the reverse.
  void SetRoutedServices(TimePoint now,
                         std::vector<ServiceId> services,
                         std::vector<FlowEvent>& events);

  // Applies a notice of the agent on host `notice.sender`.
  void ApplyNotice(TimePoint now,
                   const FlowNotice& notice,
                   std::vector<FlowEvent>& events);

  // Marks the entries of the servers in these zones, and no others, as
  // evacuated.
  void SetEvacuatedZones(TimePoint now, const std::set<std::string>& zones);

  // Records that an opening was sent to `entry`.
  static void NotePlaced(ServerEntry& entry) {
    ++entry.placed;
    entry.offered -= entry.offered > 0 ? 1 : 0;
  }

  // Records that the agent of `key` left an opening unanswered.
  void NoteUnanswered(TimePoint now,
                      ServerKey key,
                      std::vector<FlowEvent>& events);

  // Removes servers that have been unlisted for longer than `retention`.
  void Expire(TimePoint now, Duration retention);

  // True if each server that may hold flows is listed.
  bool ListsAllServers() const;

  // Hash of the listed servers with their starts and reports, independent of
  // their order.
  std::uint64_t ListedHash() const;

  ServerEntry* Find(ServerKey key);
  const ServerEntry* Find(ServerKey key) const;
  // Finds the server on `host` whose service has the given tag, the newest one
  // if there are several.
  ServerEntry* FindByHost(std::uint32_t host, std::uint32_t service_tag);

  Entries& All() { return this->entries; }
  const Entries& All() const { return this->entries; }
  // Services of the servers that may hold flows, in ascending order.
  std::vector<ServiceId> Services() const;
  // Servers of a service that may hold flows, including unlisted ones.
  const std::vector<ServerKey>& OfService(ServiceId service) const;

 private:
  // Adds an unknown server that is already unlisted, as reported by a peer.
  void AddUnlisted(TimePoint now,
                   const ServerChange& change,
                   std::vector<FlowEvent>& events);
  void Unlist(TimePoint now,
              ServerEntry& entry,
              const StorePosition& position,
              std::string_view reason,
              std::vector<FlowEvent>& events);
  // Marks all entries of the host of `changed` but the newest as superseded,
  // among those of routed services or the others: only one server runs on a
  // host.
  void Supersede(TimePoint now,
                 const ServerEntry& changed,
                 std::vector<FlowEvent>& events);
  bool IsRouted(ServiceId service) const;
  bool IsRouted(const ServerEntry& entry) const {
    return this->IsRouted(entry.server.service);
  }
  void RebuildIndexes();
  // Sets whether the zone of `entry` is evacuated.
  void UpdateEvacuation(TimePoint now, ServerEntry& entry) const;

  Entries entries;
  std::set<std::string> evacuated_zones;
  std::vector<ServiceId> routed_services;  // in ascending order
  // Indexes of the entries that are not superseded.
  std::unordered_map<std::uint64_t, std::vector<ServerKey>> by_service;
  std::unordered_map<std::uint32_t, std::vector<ServerKey>> by_host;
};

// True if the agent of `entry` has announced that its server no longer runs,
// and the store does not contradict it: the server was leaving or has left. A
// late announcement thus never applies to a server that has started since.
bool HasEnded(const ServerEntry& entry);

// True if the server of `entry` is considered dead: it has ended, or the store
// does not list it, the grace period for expired entries is over, and its agent
// sends no notices.
// The grace period does not apply to entries that were marked as leaving,
// because those do not come back.
bool IsDead(TimePoint now, const ServerEntry& entry);

// True if its agent has reserved a place for an opening of this process.
bool HasOffer(TimePoint now, const ServerEntry& entry);

// True if the zone of the server is evacuated, as far as this process or the
// server's agent knows.
bool IsEvacuated(const ServerEntry& entry);

bool AcceptsNewFlows(TimePoint now, const ServerEntry& entry);

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_VIEW_SERVER_TABLE_H_
