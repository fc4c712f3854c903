#ifndef CACTUSCROSS_SRC_CORE_FLOW_ADMISSION_OPENING_TABLE_H_
#define CACTUSCROSS_SRC_CORE_FLOW_ADMISSION_OPENING_TABLE_H_

// Flows that are being opened: their opening packet (SYN) was sent to a server,
// but no server has accepted the flow yet. The table keeps the packet so that
// the balancer can try another server before the client retransmits it.

#include <array>
#include <cstdint>
#include <vector>

#include <boost/intrusive/list_hook.hpp>
#include <boost/intrusive/set_hook.hpp>

#include "cactuscross/flow_types.h"
#include "cactuscross/flow_view.h"
#include "src/core/flow/common/flow_table.h"

namespace cactuscross {

// Hooks of the queue that an opening waits in (ServiceQueue). An opening that
// is erased from its table leaves the queue by itself.
using OpeningOrderHook = boost::intrusive::set_base_hook<
    boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;
using OpeningArrivalHook = boost::intrusive::list_base_hook<
    boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

struct Opening : OpeningOrderHook, OpeningArrivalHook {
  FlowKey flow;
  ServiceId service = kNoService;
  Bytes packet;
  std::uint32_t sequence = 0;  // initial sequence number of the client
  // Servers that the packet was sent to; the answer of the last one is awaited.
  std::vector<ServerKey> attempted_servers;
  TimePoint started_at;  // when the first transmission arrived here
  TimePoint sent_at;     // to the last of `attempted_servers`
  // Estimated start of the client's request. Among the openings that wait for a
  // server, the newest is placed first: it can still be answered in time, while
  // an old one is already late.
  TimePoint request_started_at;
  bool waiting = false;        // all servers are saturated
  Duration max_wait{0};        // for a server, from `started_at`
  std::uint32_t priority = 0;  // of the route; 0 is the highest
  // Latest times to send the opening to a server so that the answer meets the
  // latency target and the time limit of the route. See SetPlacementTimes().
  TimePoint place_by_for_target;
  TimePoint place_by_for_limit;
  TimePoint queued_at;  // when it began to wait for free capacity
  // Openings that are placed before it, as of the last review of the queue.
  std::uint32_t ahead = 0;
  bool wait_reported = false;
  // Expected at the server that it was sent to; 0: unknown.
  Duration answer_time{0};
  // Bit i is set if the client's transmission i arrived here.
  std::uint32_t seen_transmissions = 0;
};

// Times at which a client transmits its opening packet, relative to the first
// transmission.
inline constexpr std::array<Duration, 3> kOpeningTransmitTimes = {
    Duration{0}, Duration{200000}, Duration{600000}};

// Records that the given transmission of the opening packet arrived here.
void NoteTransmission(Opening& opening, std::uint32_t transmission);

// True if every transmission that the client has sent so far arrived here.
// Otherwise routers may have delivered one to another balancer, which may have
// opened the flow meanwhile, and a reset would end an open flow.
bool HasAllTransmissions(TimePoint now, const Opening& opening);

// Sets the latest placement times of an opening from `request_started_at` and
// the route's latency target and time limit, either of which may be 0
// (unknown).
// `answer_time`: usual time from placement to answer at the service; 0:
// unknown, then a part of the latency target is assumed.
void SetPlacementTimes(Opening& opening,
                       Duration latency_target,
                       Duration time_limit,
                       Duration answer_time);

// Maximum time that an opening waits for a server, whatever its request allows.
// A client abandons an opening after 1.4 s. It is reset earlier, so that it can
// try again.
inline constexpr Duration kMaxWait{1200000};

// Maximum time that an opening of a request with this time limit waits for a
// server (0: unknown). The client is then told that the request has not run,
// with enough of its time left for another attempt.
Duration MaxWait(Duration time_limit);

// The capacity plan expects 120 new flows per second and balancer, and a client
// abandons an opening after 1.4 s.
inline constexpr std::size_t kMaxOpenings = 4096;

class OpeningTable : public FlowTable<Opening, kMaxOpenings> {
 public:
  std::vector<FlowKey> Flows() const;
  // Flows that wait for server capacity, newest request first.
  std::vector<FlowKey> WaitingFlows() const;
  // Flows that have waited for their maximum time.
  std::vector<FlowKey> WaitTimedOut(TimePoint now) const;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_ADMISSION_OPENING_TABLE_H_
