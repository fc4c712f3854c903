#ifndef CACTUSCROSS_FLOW_MESSAGE_H_
#define CACTUSCROSS_FLOW_MESSAGE_H_

// Messages between balancers and agents about flows. They travel as single
// datagrams, may be lost or doubled, and are never needed for correctness: a
// client's retransmission starts the same exchange again.

#include <cstdint>

#include "cactuscross/flow_types.h"
#include "cactuscross/flow_view.h"
#include "cactuscross/types.h"

namespace cactuscross {

enum class NoticeKind : std::uint8_t {
  kLoad = 1,          // agent: how loaded its server is
  kAccepted = 2,      // agent: the server granted the opening of a flow
  kRefused = 3,       // agent: the server returned an opening packet
  kHeld = 4,          // agent: the server holds the flow
  kNotHeld = 5,       // agent: the server does not hold the flow
  kWrongService = 6,  // agent: the mark names another service than its own
  kQuery = 7,         // balancer: asks for kLoad
  kSaturated = 8,     // agent: the opening was not sent on, max_running is met
};

// What an agent knows of its server.
struct ServerLoad {
  std::uint32_t running = 0;     // requests in progress or queued
  std::uint32_t open_flows = 0;  // flows that the server holds
  bool down = false;             // the server does not answer its agent
};

struct FlowNotice {
  NoticeKind kind = NoticeKind::kLoad;
  std::uint32_t sender = 0;  // IPv4 address, of the datagram
  std::uint32_t service_tag = 0;
  FlowKey flow;  // unset in kLoad and kQuery
  // kQuery: requests in progress from which on the server gets no new flows.
  std::uint32_t max_running = 0;
  ServerLoad load;  // unset in kQuery
  // kNotHeld, kWrongService: the packet if the balancer believed that the
  // server holds its flow, to be sent elsewhere, and its acknowledgement.
  Bytes packet;
  std::uint32_t acknowledgement = 0;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_FLOW_MESSAGE_H_
