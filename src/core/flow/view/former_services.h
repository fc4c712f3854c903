#ifndef CACTUSCROSS_SRC_CORE_FLOW_VIEW_FORMER_SERVICES_H_
#define CACTUSCROSS_SRC_CORE_FLOW_VIEW_FORMER_SERVICES_H_

// Services that routes named within the maximum lifetime of a flow and no
// longer name. Their servers may still hold open flows of these routes. The
// records are replicated with the routes.

#include <unordered_map>
#include <vector>

#include "cactuscross/flow_types.h"
#include "cactuscross/flow_view.h"

namespace cactuscross {

class FormerServices {
 public:
  // `flow_max_age`: maximum lifetime of a flow, after which a record expires.
  explicit FormerServices(Duration flow_max_age) : flow_max_age(flow_max_age) {}

  // The first routes come into force. Earlier changes are unknown until a peer
  // supplies them.
  void Begin(TimePoint now) { this->complete_since = now; }

  // `route` comes into force in place of `previous`.
  void NoteReplaced(TimePoint now,
                    const FlowRoute& previous,
                    const FlowRoute& route);
  // Merges the records that a peer sent with `route`; the newest ones win.
  void Merge(TimePoint now, const FlowRoute& route);
  // A peer has known all changes for `known_for`, and its records were merged.
  void MergeKnownFor(TimePoint now, Duration known_for);
  void Erase(const Endpoint& address) { this->records.erase(address); }
  void Expire(TimePoint now);

  // True if there is a record of the route of `address`.
  bool HasRecords(const Endpoint& address) const {
    return this->records.count(address) > 0;
  }
  // Former services of the route of `address`, without those that have expired.
  std::vector<FormerService> Of(TimePoint now, const Endpoint& address) const;
  // Appends the services of all records.
  void AppendServices(std::vector<ServiceId>& services) const;
  // Records of the route of `address` for a peer. An entry for kNoService says
  // for how long the sender has known all changes of the routes. Processes of
  // the previous version send none.
  std::vector<FormerService> ForPeer(TimePoint now,
                                     const Endpoint& address) const;

  // For how long all changes have been known, at most `flow_max_age`.
  Duration KnownFor(TimePoint now) const;
  // True if all changes within the maximum lifetime of a flow are known.
  bool IsComplete(TimePoint now) const {
    return now - this->complete_since >= this->flow_max_age;
  }

 private:
  struct Record {
    ServiceId service = kNoService;
    TimePoint last_named_at;
  };
  using Records = std::vector<Record>;

  static void Add(Records& records, const Record& added);
  // Removes the services that `route` names.
  void RemoveNamed(const FlowRoute& route);

  const Duration flow_max_age;
  TimePoint complete_since;
  std::unordered_map<Endpoint, Records, EndpointHash> records;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_VIEW_FORMER_SERVICES_H_
