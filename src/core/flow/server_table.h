#ifndef CACTUSCROSS_SRC_CORE_FLOW_SERVER_TABLE_H_
#define CACTUSCROSS_SRC_CORE_FLOW_SERVER_TABLE_H_

// Servers that the store lists or listed a while ago, what their agents say of
// them, and which of them may get new flows.

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "cactuscross/flow_event.h"
#include "cactuscross/flow_message.h"
#include "cactuscross/flow_view.h"

namespace cactuscross {

struct ServerEntry {
  ServerKey key = kNoServer;
  FlowServer server;
  std::uint64_t revision = 0;  // of the store, at its last change
  bool listed = true;
  // A newer entry describes its host: this server is gone for good.
  bool superseded = false;
  TimePoint unlisted_at;
  TimePoint warmup_ends_at;  // slow until then

  ServerLoad load;
  bool agent_notice_received = false;  // its agent has ever sent a notice
  TimePoint last_agent_notice_at;      // last notice of its agent
  TimePoint queried_at;                // last query to its agent
  std::uint32_t placed = 0;            // openings sent since the last notice
  // Openings that its agent left unanswered in a row.
  std::uint32_t unanswered = 0;
  bool suspected = false;
};

class ServerTable {
 public:
  using Entries = std::unordered_map<ServerKey, ServerEntry>;

  // Applies one change of the store's list.
  void Apply(TimePoint now,
             const ServerChange& change,
             std::vector<FlowEvent>& events);

  // Ends a whole list: what was not in `names` and is not newer than
  // `revision` is no longer listed.
  void FinishList(TimePoint now,
                  const std::vector<ServerKey>& names,
                  std::uint64_t revision,
                  std::vector<FlowEvent>& events);

  // What changed after `revision`, for another balancer. Servers that are no
  // longer listed are described too: they may hold flows.
  std::vector<ServerChange> ChangesSince(TimePoint now,
                                         std::uint64_t revision) const;

  // Takes over a notice of the agent on `notice.sender`.
  void ApplyNotice(TimePoint now,
                   const FlowNotice& notice,
                   std::vector<FlowEvent>& events);

  // An opening was sent to `entry`.
  static void NotePlaced(ServerEntry& entry) { ++entry.placed; }

  // The agent of `key` left an opening unanswered.
  void NoteUnanswered(TimePoint now,
                      ServerKey key,
                      std::vector<FlowEvent>& events);

  // Forgets servers that have been unlisted for longer than `retention`.
  void Expire(TimePoint now, Duration retention);

  ServerEntry* Find(ServerKey key);
  // The server on `host`, by its service's tag; the newest if there are more.
  ServerEntry* FindByHost(std::uint32_t host, std::uint32_t service_tag);

  Entries& All() { return this->entries; }
  const Entries& All() const { return this->entries; }
  // Servers of a service that may hold flows, listed or not.
  const std::vector<ServerKey>& OfService(ServiceId service) const;

 private:
  // Adds a server that is no longer listed and was not known.
  void AddUnlisted(TimePoint now, const ServerChange& change);
  void Unlist(TimePoint now,
              ServerEntry& entry,
              std::uint64_t revision,
              std::string_view reason,
              std::vector<FlowEvent>& events);
  // Of entries with one host, only the newest can be alive.
  void Supersede(TimePoint now,
                 const ServerEntry& changed,
                 std::vector<FlowEvent>& events);
  void RebuildIndexes();

  Entries entries;
  // Without those that are superseded.
  std::unordered_map<std::uint64_t, std::vector<ServerKey>> by_service;
  std::unordered_map<std::uint32_t, std::vector<ServerKey>> by_host;
};

// True if `entry` is gone for good, as far as anybody can tell: the store does
// not list it, the time for lapsed entries to come back is over, and its agent
// is silent. An entry that was marked as leaving does not come back.
bool IsDead(TimePoint now, const ServerEntry& entry);

// True if `entry` may get new flows.
bool AcceptsNewFlows(TimePoint now, const ServerEntry& entry);

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_SERVER_TABLE_H_
