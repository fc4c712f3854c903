#ifndef CACTUSCROSS_SRC_CORE_FLOW_OPENING_TABLE_H_
#define CACTUSCROSS_SRC_CORE_FLOW_OPENING_TABLE_H_

// Openings that a balancer has sent to a server and that no server has granted
// yet. The opening packet is kept, so that another server can be asked before
// the client repeats it.

#include <array>
#include <cstdint>
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
  bool waiting = false;      // all servers are saturated
  std::uint32_t copies = 0;  // a bit for each copy that came here
};

// Age of a client's opening when it sends a copy of the packet.
inline constexpr std::array<Duration, 3> kCopyAges = {
    Duration{0}, Duration{200000}, Duration{600000}};

// Notes that a copy of the opening packet came here.
void NoteCopy(Opening& opening, std::uint32_t copy);

// True if every copy that the client has sent came here. Routers may have
// given one to another balancer, which may have opened the flow since; a reset
// would then end an open flow.
bool HasAllCopies(TimePoint now, const Opening& opening);

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
