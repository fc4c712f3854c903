#include "src/wire/flow_codec.h"

#include <limits>

#include "src/wire/flow.pb.h"

namespace cactuscross {
namespace {

constexpr auto kFirstKind = static_cast<std::uint32_t>(NoticeKind::kLoad);
constexpr auto kLastKind = static_cast<std::uint32_t>(NoticeKind::kQuery);

bool IsPort(std::uint32_t number) {
  return number <= std::numeric_limits<std::uint16_t>::max();
}

}  // namespace

Bytes EncodeFlowNotice(const FlowNotice& notice) {
  wire::FlowNotice message;
  message.set_kind(static_cast<std::uint32_t>(notice.kind));
  message.set_service_tag(notice.service_tag);
  message.set_client_ip(notice.flow.client.address);
  message.set_client_port(notice.flow.client.port);
  message.set_service_ip(notice.flow.service_address.address);
  message.set_service_port(notice.flow.service_address.port);
  message.set_running(notice.load.running);
  message.set_open_flows(notice.load.open_flows);
  message.set_down(notice.load.down);
  message.set_packet(notice.packet.data(), notice.packet.size());
  message.set_acknowledgement(notice.acknowledgement);
  Bytes bytes(message.ByteSizeLong());
  message.SerializeToArray(bytes.data(), static_cast<int>(bytes.size()));
  return bytes;
}

std::optional<FlowNotice> DecodeFlowNotice(ByteView bytes,
                                           std::uint32_t sender) {
  wire::FlowNotice message;
  if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) ||
      message.kind() < kFirstKind || message.kind() > kLastKind ||
      !IsPort(message.client_port()) || !IsPort(message.service_port())) {
    return std::nullopt;
  }
  FlowNotice notice;
  notice.kind = static_cast<NoticeKind>(message.kind());
  notice.sender = sender;
  notice.service_tag = message.service_tag();
  notice.flow.client = {message.client_ip(),
                        static_cast<std::uint16_t>(message.client_port())};
  notice.flow.service_address = {
      message.service_ip(), static_cast<std::uint16_t>(message.service_port())};
  notice.load = {message.running(), message.open_flows(), message.down()};
  notice.packet.assign(message.packet().begin(), message.packet().end());
  notice.acknowledgement = message.acknowledgement();
  return notice;
}

}  // namespace cactuscross
