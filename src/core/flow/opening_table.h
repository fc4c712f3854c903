#ifndef CACTUSCROSS_SRC_CORE_FLOW_OPENING_TABLE_H_
#define CACTUSCROSS_SRC_CORE_FLOW_OPENING_TABLE_H_

// Openings that a balancer has sent to a server and that no server has granted
// yet. The opening packet is kept, so that another server can be asked before
// the client repeats it.

#include <unordered_map>
#include <vector>

#include "cactuscross/flow_types.h"
#include "cactuscross/flow_view.h"

namespace cactuscross {

struct Opening {
  FlowKey flow;
  ServiceId service = kNoService;
  Bytes packet;
  std::vector<ServerKey> tried;  // the last one is being asked
  TimePoint began_at;
  TimePoint asked_at;  // the last of `tried`
  // When the client's request began, as far as can be told. Of openings that
  // wait for a server the newest goes first: it can still be answered in time,
  // while an old one is late already.
  TimePoint request_began_at;
  bool waiting = false;  // all servers are saturated
};

class OpeningTable {
 public:
  Opening* Find(const FlowKey& flow);
  // Null if the table is full.
  Opening* Add(const FlowKey& flow);
  void Erase(const FlowKey& flow) { this->openings.erase(flow); }
  std::size_t Size() const { return this->openings.size(); }

  // Flows whose last server has not answered within `patience`.
  std::vector<FlowKey> Overdue(TimePoint now, Duration patience) const;

  // Flows that wait for a server, newest request first.
  std::vector<FlowKey> Waiting() const;
  // Flows that have waited for too long.
  std::vector<FlowKey> WaitedTooLong(TimePoint now) const;

 private:
  std::unordered_map<FlowKey, Opening, FlowKeyHash> openings;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_OPENING_TABLE_H_
