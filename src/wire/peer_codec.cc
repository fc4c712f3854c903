#include "src/wire/peer_codec.h"

#include <algorithm>
#include <string>
#include <utility>
#include <variant>

#include "src/wire/coap_codec.h"
#include "src/wire/peer.pb.h"
#include "src/wire/peer_bounds.h"

namespace cactuscross {
namespace {

std::string ToText(const Bytes& bytes) {
  return std::string(bytes.begin(), bytes.end());
}

Bytes ToBytes(const std::string& text) {
  return Bytes(text.begin(), text.end());
}

// A negative duration is encoded as zero.
std::uint64_t ToMicroseconds(Duration duration) {
  return static_cast<std::uint64_t>(std::max(duration, Duration(0)).count());
}

ByteView ToView(const std::string& text) {
  return ByteView(reinterpret_cast<const std::uint8_t*>(text.data()),
                  text.size());
}

// Each type has a Write() that fills its protobuf message and a Read() that
// reverses it. Those that return bool return false only if a CoapMessage cannot
// be converted.

void Write(const Endpoint& from, wire::Address* to) {
  to->set_ip(from.address);
  to->set_port(from.port);
}

Endpoint ReadEndpoint(const wire::Address& from) {
  return Endpoint{from.ip(), static_cast<std::uint16_t>(from.port())};
}

void Write(const PeerAddress& from, wire::Peer* to) {
  to->set_node(ToNumber(from.node));
  to->set_role(ToNumber(from.role));
  to->set_zone(from.zone);
  Write(from.endpoint, to->mutable_endpoint());
}

PeerAddress ReadPeer(const wire::Peer& from) {
  return PeerAddress{NodeId{from.node()}, static_cast<Role>(from.role()),
                     from.zone(), ReadEndpoint(from.endpoint())};
}

void Write(const LoadReport& from, wire::Load* to) {
  to->set_in_flight(from.in_flight);
  to->set_queued(from.queued);
  to->set_slots(from.slots);
  to->set_sessions(from.sessions);
  to->set_connections(from.connections);
  to->set_service_time_us(from.service_time_us);
  to->set_accepts_work(from.accepts_work);
  to->set_has_room(from.has_capacity);
}

LoadReport ReadLoad(const wire::Load& from) {
  LoadReport to;
  to.in_flight = from.in_flight();
  to.queued = from.queued();
  to.slots = from.slots();
  to.sessions = from.sessions();
  to.connections = from.connections();
  to.service_time_us = from.service_time_us();
  to.accepts_work = from.accepts_work();
  to.has_capacity = from.has_room();
  return to;
}

bool WriteCoap(const CoapMessage& from, std::string* to) {
  *to = ToText(EncodeCoap(from));
  return !to->empty();
}

bool ReadCoap(const std::string& from, CoapMessage& to) {
  auto message = DecodeCoap(ToView(from));
  if (!message) {
    return false;
  }
  to = *std::move(message);
  return true;
}

bool Write(const ForwardedRequest& from, wire::Envelope& envelope) {
  wire::Request* to = envelope.mutable_request();
  Write(from.caller, to->mutable_caller());
  Write(from.service_address, to->mutable_service_address());
  to->set_service(ToNumber(from.service));
  to->set_contract_version(from.contract_version);
  to->set_contract_fingerprint(from.contract_fingerprint);
  Write(from.balancer, to->mutable_balancer());
  to->set_kind(ToNumber(from.kind));
  to->set_hops(from.hops);
  to->set_budget_us(ToMicroseconds(from.budget));
  for (const SamplingCandidate& candidate : from.candidates) {
    wire::Candidate* added = to->add_candidates();
    added->set_node(ToNumber(candidate.node));
    Write(candidate.load, added->mutable_load());
  }
  return WriteCoap(from.message, to->mutable_coap());
}

bool Read(const wire::Request& from, ForwardedRequest& to) {
  to.caller = ReadEndpoint(from.caller());
  to.service_address = ReadEndpoint(from.service_address());
  to.service = ServiceId{from.service()};
  to.contract_version = from.contract_version();
  to.contract_fingerprint = from.contract_fingerprint();
  to.balancer = ReadPeer(from.balancer());
  to.kind = static_cast<ForwardKind>(from.kind());
  to.hops = static_cast<std::uint8_t>(from.hops());
  to.budget = Duration(from.budget_us());
  to.candidates.reserve(from.candidates_size());
  for (const wire::Candidate& candidate : from.candidates()) {
    to.candidates.push_back(
        {NodeId{candidate.node()}, ReadLoad(candidate.load())});
  }
  return ReadCoap(from.coap(), to.message);
}

bool Write(const ForwardedReply& from, wire::Envelope& envelope) {
  wire::Reply* to = envelope.mutable_reply();
  Write(from.caller, to->mutable_caller());
  Write(from.service_address, to->mutable_service_address());
  to->set_service(ToNumber(from.service));
  Write(from.load, to->mutable_load());
  return WriteCoap(from.message, to->mutable_coap());
}

bool Read(const wire::Reply& from, ForwardedReply& to) {
  to.caller = ReadEndpoint(from.caller());
  to.service_address = ReadEndpoint(from.service_address());
  to.service = ServiceId{from.service()};
  to.load = ReadLoad(from.load());
  return ReadCoap(from.coap(), to.message);
}

bool Write(const ContractMismatch& from, wire::Envelope& envelope) {
  wire::Mismatch* to = envelope.mutable_mismatch();
  to->set_customer(from.customer);
  to->set_service(ToNumber(from.service));
  to->set_version(from.version);
  to->set_reason(ToNumber(from.reason));
  return true;
}

bool Read(const wire::Mismatch& from, ContractMismatch& to) {
  to.customer = from.customer();
  to.service = ServiceId{from.service()};
  to.version = from.version();
  to.reason = static_cast<ResultCode>(from.reason());
  return true;
}

bool Write(const SessionOffer& from, wire::Envelope& envelope) {
  wire::Offer* to = envelope.mutable_offer();
  Write(from.caller, to->mutable_caller());
  Write(from.service_address, to->mutable_service_address());
  to->set_service(ToNumber(from.service));
  to->set_token(ToText(from.token));
  to->set_uri_path(from.uri_path);
  to->set_uri_query(from.uri_query);
  to->set_epoch(from.epoch);
  to->set_observe_sequence(from.observe_sequence);
  to->set_next_message_id(from.next_message_id);
  to->set_etag(ToText(from.etag));
  return true;
}

bool Read(const wire::Offer& from, SessionOffer& to) {
  to.caller = ReadEndpoint(from.caller());
  to.service_address = ReadEndpoint(from.service_address());
  to.service = ServiceId{from.service()};
  to.token = ToBytes(from.token());
  to.uri_path = from.uri_path();
  to.uri_query = from.uri_query();
  to.epoch = from.epoch();
  to.observe_sequence = from.observe_sequence();
  to.next_message_id = static_cast<std::uint16_t>(from.next_message_id());
  to.etag = ToBytes(from.etag());
  return true;
}

bool Write(const SessionOfferReply& from, wire::Envelope& envelope) {
  wire::OfferReply* to = envelope.mutable_offer_reply();
  Write(from.caller, to->mutable_caller());
  to->set_token(ToText(from.token));
  to->set_epoch(from.epoch);
  to->set_accepted(from.accepted);
  return true;
}

bool Read(const wire::OfferReply& from, SessionOfferReply& to) {
  to.caller = ReadEndpoint(from.caller());
  to.token = ToBytes(from.token());
  to.epoch = from.epoch();
  to.accepted = from.accepted();
  return true;
}

bool Write(const LoanRequest& from, wire::Envelope& envelope) {
  wire::Loan* to = envelope.mutable_loan();
  to->set_service(ToNumber(from.service));
  to->set_limit(from.limit);
  to->set_amount(from.amount);
  to->set_sequence(from.sequence);
  return true;
}

bool Read(const wire::Loan& from, LoanRequest& to) {
  to.service = ServiceId{from.service()};
  to.limit = static_cast<std::uint8_t>(from.limit());
  to.amount = from.amount();
  to.sequence = from.sequence();
  return true;
}

bool Write(const LoanGrant& from, wire::Envelope& envelope) {
  wire::Grant* to = envelope.mutable_grant();
  to->set_service(ToNumber(from.service));
  to->set_limit(from.limit);
  to->set_amount(from.amount);
  to->set_sequence(from.sequence);
  to->set_lifetime_us(ToMicroseconds(from.lifetime));
  return true;
}

bool Read(const wire::Grant& from, LoanGrant& to) {
  to.service = ServiceId{from.service()};
  to.limit = static_cast<std::uint8_t>(from.limit());
  to.amount = from.amount();
  to.sequence = from.sequence();
  to.lifetime = Duration(from.lifetime_us());
  return true;
}

bool Write(const LoadNotice& from, wire::Envelope& envelope) {
  wire::Notice* to = envelope.mutable_notice();
  to->set_service(ToNumber(from.service));
  Write(from.load, to->mutable_load());
  return true;
}

bool Read(const wire::Notice& from, LoadNotice& to) {
  to.service = ServiceId{from.service()};
  to.load = ReadLoad(from.load());
  return true;
}

bool Write(const ContractDigest& from, wire::Envelope& envelope) {
  wire::Digest* to = envelope.mutable_digest();
  to->set_hash(from.hash);
  to->set_count(from.count);
  to->set_highest(from.highest);
  for (const ContractDigestEntry& entry : from.entries) {
    wire::DigestEntry* added = to->add_entries();
    added->set_customer(entry.customer);
    added->set_version(entry.version);
  }
  to->set_reply_wanted(from.reply_requested);
  to->set_sequence(from.sequence);
  if (from.since) {
    to->set_since(*from.since);
  }
  to->set_until(from.until);
  if (from.service_age) {
    to->set_service_age_us(ToMicroseconds(*from.service_age));
  }
  return true;
}

bool Read(const wire::Digest& from, ContractDigest& to) {
  to.hash = from.hash();
  to.count = from.count();
  to.highest = from.highest();
  to.entries.reserve(from.entries_size());
  for (const wire::DigestEntry& entry : from.entries()) {
    to.entries.push_back({entry.customer(), entry.version()});
  }
  to.reply_requested = from.reply_wanted();
  to.sequence = from.sequence();
  if (from.has_since()) {
    to.since = from.since();
  }
  to.until = from.until();
  if (from.has_service_age_us()) {
    to.service_age = Duration(from.service_age_us());
  }
  return true;
}

bool Write(const ContractPull& from, wire::Envelope& envelope) {
  wire::Pull* to = envelope.mutable_pull();
  for (const std::string& customer : from.customers) {
    to->add_customers(customer);
  }
  return true;
}

bool Read(const wire::Pull& from, ContractPull& to) {
  to.customers.assign(from.customers().begin(), from.customers().end());
  return true;
}

bool Write(const ContractPush& from, wire::Envelope& envelope) {
  wire::Push* to = envelope.mutable_push();
  for (const ContractValue& value : from.values) {
    wire::Value* added = to->add_values();
    added->set_customer(value.customer);
    added->set_version(value.version);
    added->set_deleted(value.deleted);
    added->set_text(value.text);
  }
  return true;
}

bool Read(const wire::Push& from, ContractPush& to) {
  to.values.reserve(from.values_size());
  for (const wire::Value& value : from.values()) {
    to.values.push_back(
        {value.customer(), value.version(), value.deleted(), value.text()});
  }
  return true;
}

template <typename List>
void WriteUpdates(const std::vector<MemberUpdate>& from, List* to) {
  for (const MemberUpdate& update : from) {
    wire::News* added = to->Add();
    Write(update.peer, added->mutable_peer());
    added->set_incarnation(ToNumber(update.incarnation));
    added->set_state(ToNumber(update.state));
  }
}

template <typename List>
std::vector<MemberUpdate> ReadUpdates(const List& from) {
  std::vector<MemberUpdate> to;
  to.reserve(from.size());
  for (const wire::News& update : from) {
    to.push_back({ReadPeer(update.peer()), Incarnation{update.incarnation()},
                  static_cast<MemberState>(update.state())});
  }
  return to;
}

bool Write(const Probe& from, wire::Envelope& envelope) {
  wire::ProbeRequest* to = envelope.mutable_probe();
  to->set_sequence(from.sequence);
  to->set_fresh_path(from.new_path);
  WriteUpdates(from.updates, to->mutable_news());
  return true;
}

bool Read(const wire::ProbeRequest& from, Probe& to) {
  to.sequence = from.sequence();
  to.new_path = from.fresh_path();
  to.updates = ReadUpdates(from.news());
  return true;
}

bool Write(const ProbeReply& from, wire::Envelope& envelope) {
  wire::ProbeAnswer* to = envelope.mutable_probe_answer();
  to->set_sequence(from.sequence);
  to->set_fresh_path(from.new_path);
  if (from.load) {
    Write(*from.load, to->mutable_load());
  }
  WriteUpdates(from.updates, to->mutable_news());
  return true;
}

bool Read(const wire::ProbeAnswer& from, ProbeReply& to) {
  to.sequence = from.sequence();
  to.new_path = from.fresh_path();
  if (from.has_load()) {
    to.load = ReadLoad(from.load());
  }
  to.updates = ReadUpdates(from.news());
  return true;
}

bool Write(const IndirectProbe& from, wire::Envelope& envelope) {
  wire::IndirectRequest* to = envelope.mutable_indirect();
  to->set_sequence(from.sequence);
  Write(from.target, to->mutable_target());
  return true;
}

bool Read(const wire::IndirectRequest& from, IndirectProbe& to) {
  to.sequence = from.sequence();
  to.target = ReadPeer(from.target());
  return true;
}

bool Write(const IndirectProbeReply& from, wire::Envelope& envelope) {
  wire::IndirectAnswer* to = envelope.mutable_indirect_answer();
  to->set_sequence(from.sequence);
  to->set_target(ToNumber(from.target));
  to->set_alive(from.alive);
  return true;
}

bool Read(const wire::IndirectAnswer& from, IndirectProbeReply& to) {
  to.sequence = from.sequence();
  to.target = NodeId{from.target()};
  to.alive = from.alive();
  return true;
}

// Reads `from` as the alternative `Body` of the variant.
template <typename Body, typename WireBody>
bool ReadAs(const WireBody& from, PeerMessage& to) {
  return Read(from, to.emplace<Body>());
}

bool ReadBody(const wire::Envelope& from, PeerMessage& to) {
  using wire::Envelope;
  switch (from.body_case()) {
    case Envelope::kRequest:
      return ReadAs<ForwardedRequest>(from.request(), to);
    case Envelope::kReply:
      return ReadAs<ForwardedReply>(from.reply(), to);
    case Envelope::kMismatch:
      return ReadAs<ContractMismatch>(from.mismatch(), to);
    case Envelope::kOffer:
      return ReadAs<SessionOffer>(from.offer(), to);
    case Envelope::kOfferReply:
      return ReadAs<SessionOfferReply>(from.offer_reply(), to);
    case Envelope::kLoan:
      return ReadAs<LoanRequest>(from.loan(), to);
    case Envelope::kGrant:
      return ReadAs<LoanGrant>(from.grant(), to);
    case Envelope::kNotice:
      return ReadAs<LoadNotice>(from.notice(), to);
    case Envelope::kDigest:
      return ReadAs<ContractDigest>(from.digest(), to);
    case Envelope::kPull:
      return ReadAs<ContractPull>(from.pull(), to);
    case Envelope::kPush:
      return ReadAs<ContractPush>(from.push(), to);
    case Envelope::kProbe:
      return ReadAs<Probe>(from.probe(), to);
    case Envelope::kProbeAnswer:
      return ReadAs<ProbeReply>(from.probe_answer(), to);
    case Envelope::kIndirect:
      return ReadAs<IndirectProbe>(from.indirect(), to);
    case Envelope::kIndirectAnswer:
      return ReadAs<IndirectProbeReply>(from.indirect_answer(), to);
    case Envelope::BODY_NOT_SET:
      return false;
  }
  return false;
}

}  // namespace

Bytes EncodeEnvelope(const PeerEnvelope& envelope) {
  wire::Envelope to;
  Write(envelope.from, to.mutable_from());
  to.set_from_incarnation(ToNumber(envelope.from_incarnation));
  to.mutable_to()->set_node(ToNumber(envelope.to.node));
  Write(envelope.to.endpoint, to.mutable_to()->mutable_endpoint());
  const bool written = std::visit(
      [&](const auto& body) { return Write(body, to); }, envelope.body);
  if (!written || !IsWithinBounds(to)) {
    return {};
  }
  const std::size_t size = to.ByteSizeLong();
  if (size > kMaxEnvelopeBytes) {
    return {};
  }
  Bytes bytes(size);
  to.SerializeWithCachedSizesToArray(bytes.data());
  return bytes;
}

tl::expected<PeerEnvelope, ResultCode> DecodeEnvelope(ByteView bytes) {
  const tl::unexpected<ResultCode> malformed(ResultCode::kMalformedEnvelope);
  wire::Envelope from;
  if (bytes.size() > kMaxEnvelopeBytes ||
      !from.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) ||
      !IsWithinBounds(from)) {
    return malformed;
  }
  PeerEnvelope to;
  to.from = ReadPeer(from.from());
  to.from_incarnation = Incarnation{from.from_incarnation()};
  to.to = ReadPeer(from.to());
  if (!ReadBody(from, to.body)) {
    return malformed;
  }
  return to;
}

}  // namespace cactuscross
