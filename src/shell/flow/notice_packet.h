#ifndef CACTUSCROSS_SRC_SHELL_FLOW_NOTICE_PACKET_H_
#define CACTUSCROSS_SRC_SHELL_FLOW_NOTICE_PACKET_H_

// Check of the packets that agents return in notices. A balancer forwards them
// and writes its mark into their headers.

#include "cactuscross/flow_message.h"
#include "src/shell/flow/flow_adapter.h"

namespace cactuscross {

// True if `notice` has no packet, or a valid one of a client in its flow.
bool HasValidPacket(const FlowPacketCodec& codec, const FlowNotice& notice);

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_SHELL_FLOW_NOTICE_PACKET_H_
