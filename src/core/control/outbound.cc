#include "src/core/control/outbound.h"

#include <iterator>
#include <utility>

namespace cactuscross {

namespace {

constexpr std::size_t kEnvelopeBytes = 70;  // both addresses, incarnation
constexpr std::size_t kUpdateBytes = 42;
constexpr std::size_t kFieldsBytes = 16;  // fixed-size fields of a message

constexpr std::array<std::string_view, kPeerMessageKinds> kNames = {
    "forwarded_request", "forwarded_reply",     "contract_mismatch",
    "session_offer",     "session_offer_reply", "loan_request",
    "loan_grant",        "load_notice",         "contract_digest",
    "contract_pull",     "contract_push",       "probe",
    "probe_reply",       "indirect_probe",      "indirect_probe_reply"};

struct BodySize {
  std::size_t operator()(const ContractDigest& digest) const {
    std::size_t bytes = kFieldsBytes * 2;
    for (const ContractDigestEntry& entry : digest.entries) {
      bytes += entry.customer.size() + 10;
    }
    return bytes;
  }
  std::size_t operator()(const ContractPull& pull) const {
    std::size_t bytes = 0;
    for (const std::string& customer : pull.customers) {
      bytes += customer.size() + 2;
    }
    return bytes;
  }
  std::size_t operator()(const ContractPush& push) const {
    std::size_t bytes = 0;
    for (const ContractValue& value : push.values) {
      bytes += value.customer.size() + value.text.size() + kFieldsBytes;
    }
    return bytes;
  }
  std::size_t operator()(const Probe& probe) const {
    return kFieldsBytes + probe.updates.size() * kUpdateBytes;
  }
  std::size_t operator()(const ProbeReply& reply) const {
    return kFieldsBytes + reply.updates.size() * kUpdateBytes +
           (reply.load ? kFieldsBytes : 0);
  }
  template <typename Other>
  std::size_t operator()(const Other& /*body*/) const {
    return kFieldsBytes;
  }
};

}  // namespace

std::string_view PeerMessageName(std::size_t index) {
  return kNames.at(index);
}

std::size_t EstimateBytes(const PeerEnvelope& envelope) {
  return kEnvelopeBytes + std::visit(BodySize{}, envelope.body);
}

void Outbound::Send(const PeerAddress& to, PeerMessage body) {
  PeerEnvelope envelope{this->self, this->incarnation, to, std::move(body)};
  TrafficCount& count = this->counts.at(envelope.body.index());
  ++count.messages;
  count.bytes += EstimateBytes(envelope);
  this->pending.push_back(std::move(envelope));
}

void Outbound::Drain(std::vector<PeerEnvelope>& envelopes) {
  envelopes.insert(envelopes.end(),
                   std::make_move_iterator(this->pending.begin()),
                   std::make_move_iterator(this->pending.end()));
  this->pending.clear();
}

}  // namespace cactuscross
