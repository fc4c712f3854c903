#include "src/shell/flow/notice_packet.h"

namespace cactuscross {

bool HasValidPacket(const FlowPacketCodec& codec, const FlowNotice& notice) {
  if (notice.packet.empty()) {
    return true;
  }
  const auto packet = codec.Decode(notice.packet, /*from_server=*/false);
  return packet && packet->flow == notice.flow;
}

}  // namespace cactuscross
