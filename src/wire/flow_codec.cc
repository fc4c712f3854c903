#include "src/wire/flow_codec.h"

#include <algorithm>
#include <limits>
#include <string>
#include <string_view>

#include "src/wire/flow.pb.h"

namespace cactuscross {
namespace {

constexpr auto kFirstNoticeKind = static_cast<std::uint32_t>(NoticeKind::kLoad);
constexpr auto kLastNoticeKind = static_cast<std::uint32_t>(NoticeKind::kOffer);

bool IsPort(std::uint32_t number) {
  return number <= std::numeric_limits<std::uint16_t>::max();
}

// Larger values in a gossip message are clamped to these limits.
constexpr std::uint64_t kMaxAgeMs = 3600000;
constexpr std::uint32_t kMaxWarmupMs = 600000;
constexpr std::uint32_t kMaxTimeLimitMs = 3600000;
constexpr std::uint32_t kMaxSlots = 65535;
constexpr std::uint32_t kMaxFormerServiceAgeMs = 86400000;
constexpr std::uint32_t kMaxPriority = 255;
constexpr float kMaxRate = 1e6F;  // requests or openings per second

// Bytes of a flow in FlowNotice::lookup_flows.
constexpr std::size_t kLookupFlowBytes = 12;

std::uint64_t ToMilliseconds(Duration duration) {
  return static_cast<std::uint64_t>(std::max<std::int64_t>(
      0,
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count()));
}

// Returns 0 for a rate that is not a number, negative or absurdly large.
double ToRate(float rate) {
  return rate > 0 && rate <= kMaxRate ? static_cast<double>(rate) : 0.0;
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
  message.set_latency_target_ms(
      static_cast<std::uint32_t>(ToMilliseconds(route.latency_target)));
  message.set_priority(route.priority);
  message.set_idempotent(route.idempotent);
  message.set_removed(route.removed);
  for (const ServiceShare& share : route.services) {
    wire::FlowShare& added = *message.add_services();
    added.set_service(ToNumber(share.service));
    added.set_weight(share.weight);
  }
  for (const FormerService& former : route.former_services) {
    wire::FlowFormerService& added = *message.add_former_services();
    added.set_service(ToNumber(former.service));
    added.set_age_ms(static_cast<std::uint32_t>(ToMilliseconds(former.age)));
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
  route.latency_target = std::chrono::milliseconds(
      std::min(message.latency_target_ms(), kMaxTimeLimitMs));
  route.priority = std::min(message.priority(), kMaxPriority);
  route.idempotent = message.idempotent();
  route.removed = message.removed();
  for (const wire::FlowFormerService& former : message.former_services()) {
    route.former_services.push_back(
        {ServiceId{former.service()},
         std::chrono::milliseconds(
             std::min(former.age_ms(), kMaxFormerServiceAgeMs))});
  }
  return route;
}

void SetWarmupLimit(const WarmupLimit& limit, wire::FlowWarmupLimit& message) {
  message.set_service(ToNumber(limit.service));
  message.set_openings_per_second(
      static_cast<float>(limit.openings_per_second));
  message.set_warmup_ms(
      static_cast<std::uint32_t>(ToMilliseconds(limit.warmup_time)));
}

WarmupLimit ToWarmupLimit(const wire::FlowWarmupLimit& message) {
  return {
      ServiceId{message.service()}, ToRate(message.openings_per_second()),
      std::chrono::milliseconds(std::min(message.warmup_ms(), kMaxWarmupMs))};
}

void SetZoneOrder(const ZoneOrder& order, wire::FlowZoneOrder& message) {
  message.set_zone(order.zone);
  message.set_evacuated(order.evacuated);
  message.set_era(order.position.era);
  message.set_revision(order.position.revision);
}

ZoneOrder ToZoneOrder(const wire::FlowZoneOrder& message) {
  return {
      message.zone(), message.evacuated(), {message.era(), message.revision()}};
}

void SetOrders(const AgentOrders& orders, wire::FlowOrders& message) {
  message.set_evacuated(orders.evacuated);
  message.set_era(orders.evacuation_position.era);
  message.set_revision(orders.evacuation_position.revision);
  message.set_warmup_openings_per_second(
      static_cast<float>(orders.warmup_openings_per_second));
  message.set_warmup_remaining_ms(
      static_cast<std::uint32_t>(ToMilliseconds(orders.warmup_remaining)));
  message.set_slots(orders.slots);
}

AgentOrders ToOrders(const wire::FlowOrders& message) {
  AgentOrders orders;
  orders.evacuated = message.evacuated();
  orders.evacuation_position = {message.era(), message.revision()};
  orders.warmup_openings_per_second =
      ToRate(message.warmup_openings_per_second());
  orders.warmup_remaining = std::chrono::milliseconds(
      std::min(message.warmup_remaining_ms(), kMaxWarmupMs));
  orders.slots = std::min(message.slots(), kMaxSlots);
  return orders;
}

void AppendBigEndian(std::uint32_t value, std::size_t bytes, std::string& to) {
  for (std::size_t i = bytes; i-- > 0;) {
    to += static_cast<char>((value >> (8U * i)) & 0xFFU);
  }
}

std::uint32_t ReadBigEndian(std::string_view bytes) {
  std::uint32_t value = 0;
  for (const char byte : bytes) {
    value = (value << 8U) | static_cast<std::uint8_t>(byte);
  }
  return value;
}

void SetLookups(const std::vector<FlowLookup>& lookups,
                wire::FlowNotice& message) {
  for (const FlowLookup& lookup : lookups) {
    std::string& flows = *message.mutable_lookup_flows();
    for (const Endpoint& endpoint :
         {lookup.flow.client, lookup.flow.service_address}) {
      AppendBigEndian(endpoint.address, sizeof(endpoint.address), flows);
      AppendBigEndian(endpoint.port, sizeof(endpoint.port), flows);
    }
    *message.mutable_lookup_results() += static_cast<char>(lookup.result);
  }
}

LookupResult ToLookupResult(char byte) {
  const auto result = static_cast<LookupResult>(byte);
  return result == LookupResult::kHeld || result == LookupResult::kNotHeld
             ? result
             : LookupResult::kUnknown;
}

// Returns false if the fields of the lookups are malformed.
bool ReadLookups(const wire::FlowNotice& message,
                 std::vector<FlowLookup>& lookups) {
  const std::string_view flows = message.lookup_flows();
  const std::string_view results = message.lookup_results();
  if (flows.size() != results.size() * kLookupFlowBytes ||
      results.size() > kMaxLookups) {
    return false;
  }
  for (std::size_t i = 0; i < results.size(); ++i) {
    const std::string_view flow =
        flows.substr(i * kLookupFlowBytes, kLookupFlowBytes);
    const auto endpoint_at = [flow](std::size_t offset) {
      return Endpoint{ReadBigEndian(flow.substr(offset, 4)),
                      static_cast<std::uint16_t>(
                          ReadBigEndian(flow.substr(offset + 4, 2)))};
    };
    lookups.push_back(
        {{endpoint_at(0), endpoint_at(6)}, ToLookupResult(results[i])});
  }
  return true;
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
  message.set_capacity(static_cast<float>(notice.load.capacity));
  message.set_evacuated(notice.load.evacuated);
  message.set_lookup_needs_packet(notice.load.lookup_needs_packet);
  message.set_ended(notice.load.ended);
  message.set_collect_answers(notice.collect_answers);
  if (notice.kind == NoticeKind::kQuery) {
    SetOrders(notice.orders, *message.mutable_orders());
    message.set_waiting(notice.waiting.count);
    message.set_waiting_rank(notice.waiting.rank);
  }
  SetLookups(notice.lookups, message);
  for (const std::uint32_t host : notice.relay_hosts) {
    message.add_relay_hosts(host);
  }
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
  if (!ReadLookups(message, notice.lookups) ||
      static_cast<std::size_t>(message.relay_hosts_size()) > kMaxRelayHosts) {
    return std::nullopt;
  }
  notice.relay_hosts.assign(message.relay_hosts().begin(),
                            message.relay_hosts().end());
  notice.kind = static_cast<NoticeKind>(message.kind());
  notice.sender = sender;
  notice.service_tag = message.service_tag();
  notice.flow.client = {message.client_ip(),
                        static_cast<std::uint16_t>(message.client_port())};
  notice.flow.service_address = {
      message.service_ip(), static_cast<std::uint16_t>(message.service_port())};
  notice.load = {message.running(),   message.open_flows(),
                 message.down(),      ToRate(message.capacity()),
                 message.evacuated(), message.lookup_needs_packet(),
                 message.ended()};
  notice.collect_answers = message.collect_answers();
  notice.orders = ToOrders(message.orders());
  notice.waiting = {message.waiting(), message.waiting_rank()};
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
  encoded.set_lists_all_servers(message.lists_all_servers);
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
  encoded.set_routes_known(message.routes_known);
  encoded.set_first_part(message.first_part);
  encoded.set_max_parts(message.max_parts);
  encoded.set_routes_after(message.routes_after);
  if (message.former_known_for) {
    encoded.set_former_known_ms(
        std::min(ToMilliseconds(*message.former_known_for), kMaxAgeMs));
  }
  encoded.set_after_revision(message.after.revision);
  encoded.set_after_era(message.after.era);
  for (const FlowRoute& route : message.routes) {
    SetRoute(route, *encoded.add_routes());
  }
  for (const ServerChange& change : message.servers) {
    SetServer(change, *encoded.add_servers());
  }
  for (const WarmupLimit& limit : message.warmup_limits) {
    SetWarmupLimit(limit, *encoded.add_warmup_limits());
  }
  for (const ZoneOrder& order : message.zone_orders) {
    SetZoneOrder(order, *encoded.add_zone_orders());
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
  message.lists_all_servers = encoded.lists_all_servers();
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
  message.routes_known = encoded.routes_known();
  message.first_part = encoded.first_part();
  message.max_parts = encoded.max_parts();
  message.routes_after = encoded.routes_after();
  if (encoded.has_former_known_ms()) {
    message.former_known_for = std::chrono::milliseconds(
        std::min(encoded.former_known_ms(), kMaxAgeMs));
  }
  message.after = {encoded.after_era(), encoded.after_revision()};
  for (const wire::FlowRoute& route : encoded.routes()) {
    message.routes.push_back(ToRoute(route));
  }
  for (const wire::FlowServer& server : encoded.servers()) {
    message.servers.push_back(ToChange(server));
  }
  for (const wire::FlowWarmupLimit& limit : encoded.warmup_limits()) {
    message.warmup_limits.push_back(ToWarmupLimit(limit));
  }
  for (const wire::FlowZoneOrder& order : encoded.zone_orders()) {
    message.zone_orders.push_back(ToZoneOrder(order));
  }
  return message;
}

}  // namespace cactuscross
