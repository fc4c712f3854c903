#include "src/wire/flow_codec.h"

#include <algorithm>
#include <limits>

#include "src/wire/flow.pb.h"

namespace cactuscross {
namespace {

constexpr auto kFirstNoticeKind = static_cast<std::uint32_t>(NoticeKind::kLoad);
constexpr auto kLastNoticeKind =
    static_cast<std::uint32_t>(NoticeKind::kSaturated);

bool IsPort(std::uint32_t number) {
  return number <= std::numeric_limits<std::uint16_t>::max();
}

// Larger values in a gossip message are clamped to these limits.
constexpr std::uint64_t kMaxAgeMs = 3600000;
constexpr std::uint32_t kMaxWarmupMs = 600000;
constexpr std::uint32_t kMaxTimeLimitMs = 3600000;
constexpr std::uint32_t kMaxSlots = 65535;

std::uint64_t ToMilliseconds(Duration duration) {
  return static_cast<std::uint64_t>(std::max<std::int64_t>(
      0,
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count()));
}

void SetAddress(const Endpoint& endpoint, wire::FlowAddress& address) {
  address.set_ip(endpoint.address);
  address.set_port(endpoint.port);
}

Endpoint ToEndpoint(const wire::FlowAddress& address) {
  return {address.ip(), static_cast<std::uint16_t>(address.port())};
}

void SetRoute(const FlowRoute& route, wire::FlowRoute& message) {
  SetAddress(route.service_address, *message.mutable_address());
  message.set_time_limit_ms(
      static_cast<std::uint32_t>(ToMilliseconds(route.time_limit)));
  for (const ServiceShare& share : route.services) {
    wire::FlowShare& added = *message.add_services();
    added.set_service(ToNumber(share.service));
    added.set_weight(share.weight);
  }
}

FlowRoute ToRoute(const wire::FlowRoute& message) {
  FlowRoute route;
  route.service_address = ToEndpoint(message.address());
  route.time_limit = std::chrono::milliseconds(
      std::min(message.time_limit_ms(), kMaxTimeLimitMs));
  for (const wire::FlowShare& share : message.services()) {
    route.services.push_back({ServiceId{share.service()}, share.weight()});
  }
  return route;
}

void SetServer(const ServerChange& change, wire::FlowServer& message) {
  message.set_revision(change.position.revision);
  message.set_era(change.position.era);
  message.set_name(change.name);
  message.set_removed(change.removed);
  message.set_service(ToNumber(change.server.service));
  message.set_host(change.server.host);
  message.set_zone(change.server.zone);
  message.set_slots(change.server.slots);
  message.set_leaving(change.server.phase == ServerPhase::kLeaving);
  message.set_cold_ms(
      static_cast<std::uint32_t>(ToMilliseconds(change.server.warmup_time)));
  message.set_started_ms(change.server.started_ms);
  message.set_report_number(change.server.report_number);
}

ServerChange ToChange(const wire::FlowServer& message) {
  ServerChange change;
  change.position = {message.era(), message.revision()};
  change.name = message.name();
  change.removed = message.removed();
  change.server.name = message.name();
  change.server.service = ServiceId{message.service()};
  change.server.host = message.host();
  change.server.zone = message.zone();
  change.server.slots = std::clamp(message.slots(), 1U, kMaxSlots);
  change.server.phase =
      message.leaving() ? ServerPhase::kLeaving : ServerPhase::kServing;
  change.server.warmup_time =
      std::chrono::milliseconds(std::min(message.cold_ms(), kMaxWarmupMs));
  change.server.started_ms = message.started_ms();
  change.server.report_number = message.report_number();
  return change;
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
  message.set_most_running(notice.max_running);
  Bytes bytes(message.ByteSizeLong());
  message.SerializeToArray(bytes.data(), static_cast<int>(bytes.size()));
  return bytes;
}

std::optional<FlowNotice> DecodeFlowNotice(ByteView bytes,
                                           std::uint32_t sender) {
  wire::FlowNotice message;
  if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) ||
      message.kind() < kFirstNoticeKind || message.kind() > kLastNoticeKind ||
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
  notice.max_running = message.most_running();
  return notice;
}

Bytes EncodeFlowGossip(const GossipMessage& message) {
  wire::FlowGossip encoded;
  encoded.set_kind(static_cast<std::uint32_t>(message.kind));
  encoded.set_loaded(message.view_version.loaded);
  encoded.set_routes_version(message.view_version.routes_version);
  encoded.set_servers_revision(message.view_version.servers.revision);
  encoded.set_servers_era(message.view_version.servers.era);
  encoded.set_servers_hash(message.servers_hash);
  encoded.set_age_ms(std::min(ToMilliseconds(message.age), kMaxAgeMs));
  for (const Endpoint& peer : message.peers) {
    SetAddress(peer, *encoded.add_peers());
  }
  for (const ReaderStatus& reader : message.readers) {
    wire::FlowReader& added = *encoded.add_readers();
    SetAddress(reader.control, *added.mutable_control());
    added.set_age_ms(std::min(ToMilliseconds(reader.age), kMaxAgeMs));
  }
  encoded.set_part(message.part.index);
  encoded.set_parts(message.part.count);
  encoded.set_after_revision(message.after.revision);
  encoded.set_after_era(message.after.era);
  for (const FlowRoute& route : message.routes) {
    SetRoute(route, *encoded.add_routes());
  }
  for (const ServerChange& change : message.servers) {
    SetServer(change, *encoded.add_servers());
  }
  Bytes bytes(encoded.ByteSizeLong());
  encoded.SerializeToArray(bytes.data(), static_cast<int>(bytes.size()));
  return bytes;
}

std::optional<GossipMessage> DecodeFlowGossip(ByteView bytes,
                                              const Endpoint& sender) {
  wire::FlowGossip encoded;
  if (!encoded.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) ||
      encoded.kind() < static_cast<std::uint32_t>(GossipKind::kDigest) ||
      encoded.kind() > static_cast<std::uint32_t>(GossipKind::kServers)) {
    return std::nullopt;
  }
  GossipMessage message;
  message.kind = static_cast<GossipKind>(encoded.kind());
  message.sender = sender;
  message.view_version = {encoded.loaded(),
                          encoded.routes_version(),
                          {encoded.servers_era(), encoded.servers_revision()}};
  message.servers_hash = encoded.servers_hash();
  message.age =
      std::chrono::milliseconds(std::min(encoded.age_ms(), kMaxAgeMs));
  for (const wire::FlowAddress& peer : encoded.peers()) {
    message.peers.push_back(ToEndpoint(peer));
  }
  for (const wire::FlowReader& reader : encoded.readers()) {
    message.readers.push_back(
        {ToEndpoint(reader.control()),
         std::chrono::milliseconds(std::min(reader.age_ms(), kMaxAgeMs))});
  }
  message.part = {encoded.part(), std::max(encoded.parts(), 1U)};
  message.after = {encoded.after_era(), encoded.after_revision()};
  for (const wire::FlowRoute& route : encoded.routes()) {
    message.routes.push_back(ToRoute(route));
  }
  for (const wire::FlowServer& server : encoded.servers()) {
    message.servers.push_back(ToChange(server));
  }
  return message;
}

}  // namespace cactuscross
