#ifndef CACTUSCROSS_FLOW_MESSAGE_H_
#define CACTUSCROSS_FLOW_MESSAGE_H_

// Messages between balancers and agents about flows. Each is one datagram that
// may be lost or duplicated. Correctness doesn't depend on them: a client's
// retransmission starts the same exchange again.

#include <cstdint>

#include "cactuscross/flow_types.h"
#include "cactuscross/flow_view.h"
#include "cactuscross/types.h"

namespace cactuscross {

enum class NoticeKind : std::uint8_t {
  kLoad = 1,          // agent: load of its server
  kAccepted = 2,      // agent: the server accepted a new flow
  kRefused = 3,       // agent: the server refused a new flow or is down
  kHeld = 4,          // agent: the server holds the flow
  kNotHeld = 5,       // agent: the server does not hold the flow
  kWrongService = 6,  // agent: the packet's mark names another service
  kQuery = 7,         // balancer: requests kLoad
  kSaturated = 8,     // agent: the opening packet was not forwarded because
                      // the server has reached max_running
};

// Load of a server as reported by its agent.
struct ServerLoad {
  std::uint32_t running = 0;     // requests in progress or queued
  std::uint32_t open_flows = 0;  // flows that are open on the server
  bool down = false;             // the server is down or the agent is stopping
};

struct FlowNotice {
  NoticeKind kind = NoticeKind::kLoad;
  std::uint32_t sender = 0;  // IPv4 source address of the datagram
  std::uint32_t service_tag = 0;
  FlowKey flow;  // unset in kLoad and kQuery
  // kQuery: number of requests in progress at which the server gets no new
  // flows.
  std::uint32_t max_running = 0;
  ServerLoad load;  // unset in kQuery
  // kNotHeld, kWrongService: the rejected packet, so that the balancer can send
  // it elsewhere, and its acknowledgement number. Both are unset in kNotHeld in
  // reply to a search, whose packets the balancer has buffered.
  Bytes packet;
  std::uint32_t acknowledgement = 0;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_FLOW_MESSAGE_H_
