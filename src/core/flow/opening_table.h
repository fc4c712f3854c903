#ifndef CACTUSCROSS_SRC_CORE_FLOW_OPENING_TABLE_H_
#define CACTUSCROSS_SRC_CORE_FLOW_OPENING_TABLE_H_

// Openings that a balancer has sent to a server and that no server has granted
// yet. The opening packet is kept, so that another server can be asked before
// the client repeats it.

#include <array>
#include <cstdint>
#include <vector>

#include "cactuscross/flow_types.h"
#include "cactuscross/flow_view.h"
#include "src/core/flow/flow_table.h"

namespace cactuscross {

struct Opening {
  FlowKey flow;
  ServiceId service = kNoService;
  Bytes packet;
  std::vector<ServerKey> attempted_servers;  // the last one is being asked
  TimePoint started_at;
  TimePoint sent_at;  // the last of `attempted_servers`
  // When the client's request began, as far as can be told. Of openings that
  // wait for a server the newest goes first: it can still be answered in time,
  // while an old one is late already.
  TimePoint request_started_at;
  bool waiting = false;                  // all servers are saturated
  std::uint32_t seen_transmissions = 0;  // a bit for each copy that came here
};

// Age of a client's opening when it sends a copy of the packet.
inline constexpr std::array<Duration, 3> kOpeningTransmitTimes = {
    Duration{0}, Duration{200000}, Duration{600000}};

// Notes that a copy of the opening packet came here.
void NoteTransmission(Opening& opening, std::uint32_t transmission);

// True if every copy that the client has sent came here. Routers may have
// given one to another balancer, which may have opened the flow since; a reset
// would then end an open flow.
bool HasAllTransmissions(TimePoint now, const Opening& opening);

// New flows in doubt at once: letter 1 plans 120 a second for each balancer,
// and a client gives up after 1.4 s.
inline constexpr std::size_t kMaxOpenings = 4096;

class OpeningTable : public FlowTable<Opening, kMaxOpenings> {
 public:
  // Flows that wait for a server, newest request first.
  std::vector<FlowKey> WaitingFlows() const;
  // Flows that have waited for too long.
  std::vector<FlowKey> WaitTimedOut(TimePoint now) const;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_OPENING_TABLE_H_
