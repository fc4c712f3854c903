#include "src/wire/peer_bounds.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <string>

#include "cactuscross/peer_message.h"
#include "src/wire/peer_codec.h"

namespace cactuscross {
namespace {

// Limits of CoAP: token (RFC 7252, section 3), ETag (RFC 7252, section 5.10)
// and the 24-bit sequence number of Observe (RFC 7641, section 3.4).
constexpr std::size_t kMaxTokenBytes = 8;
constexpr std::size_t kMaxEtagBytes = 8;
constexpr std::uint32_t kMaxObserveSequence = 0xFFFFFF;

template <typename Number>
bool Fits(std::uint32_t value) {
  return value <= std::numeric_limits<Number>::max();
}

bool IsWithinNameLimit(const std::string& name) {
  return name.size() <= kMaxNameBytes;
}

bool IsWithinDurationLimit(std::uint64_t microseconds) {
  return microseconds <= static_cast<std::uint64_t>(kMaxWireDuration.count());
}

bool Check(const wire::Address& address) {
  return Fits<std::uint16_t>(address.port());
}

bool Check(const wire::Peer& peer) {
  return peer.role() <= ToNumber(Role::kAgent) &&
         IsWithinNameLimit(peer.zone()) && Check(peer.endpoint());
}

bool Check(const wire::News& update) {
  return Check(update.peer()) && update.state() <= ToNumber(MemberState::kDead);
}

bool Check(const wire::DigestEntry& entry) {
  return IsWithinNameLimit(entry.customer());
}

bool Check(const wire::Value& value) {
  return IsWithinNameLimit(value.customer()) &&
         value.text().size() <= kMaxContractBytes;
}

// Checks the number of elements and then each of them.
template <typename List>
bool CheckList(const List& list, std::size_t max_size) {
  return static_cast<std::size_t>(list.size()) <= max_size &&
         std::all_of(list.begin(), list.end(),
                     [](const auto& element) { return Check(element); });
}

bool Check(const wire::Request& request) {
  return Check(request.caller()) && Check(request.service_address()) &&
         Check(request.balancer()) &&
         request.kind() <= ToNumber(ForwardKind::kRetry) &&
         Fits<std::uint8_t>(request.hops()) &&
         IsWithinDurationLimit(request.budget_us()) &&
         static_cast<std::size_t>(request.candidates_size()) <=
             kMaxSamplingCandidates;
}

bool Check(const wire::Reply& reply) {
  return Check(reply.caller()) && Check(reply.service_address());
}

bool Check(const wire::Mismatch& mismatch) {
  return IsWithinNameLimit(mismatch.customer()) &&
         Fits<std::uint16_t>(mismatch.reason());
}

bool Check(const wire::Offer& offer) {
  return Check(offer.caller()) && Check(offer.service_address()) &&
         offer.token().size() <= kMaxTokenBytes &&
         offer.uri_path().size() <= kMaxUriBytes &&
         offer.uri_query().size() <= kMaxUriBytes &&
         offer.observe_sequence() <= kMaxObserveSequence &&
         Fits<std::uint16_t>(offer.next_message_id()) &&
         offer.etag().size() <= kMaxEtagBytes;
}

bool Check(const wire::OfferReply& reply) {
  return Check(reply.caller()) && reply.token().size() <= kMaxTokenBytes;
}

bool Check(const wire::Loan& loan) {
  return Fits<std::uint8_t>(loan.limit());
}

bool Check(const wire::Grant& grant) {
  return Fits<std::uint8_t>(grant.limit()) &&
         IsWithinDurationLimit(grant.lifetime_us());
}

bool Check(const wire::Digest& digest) {
  return CheckList(digest.entries(), kMaxDigestEntries) &&
         IsWithinDurationLimit(digest.service_age_us());
}

bool Check(const wire::Pull& pull) {
  return static_cast<std::size_t>(pull.customers_size()) <= kMaxPullCustomers &&
         std::all_of(pull.customers().begin(), pull.customers().end(),
                     IsWithinNameLimit);
}

bool Check(const wire::Push& push) {
  return CheckList(push.values(), kMaxPushValues);
}

bool Check(const wire::ProbeRequest& probe) {
  return CheckList(probe.news(), kMaxMemberUpdates);
}

bool Check(const wire::ProbeAnswer& answer) {
  return CheckList(answer.news(), kMaxMemberUpdates);
}

bool CheckBody(const wire::Envelope& envelope) {
  using wire::Envelope;
  switch (envelope.body_case()) {
    case Envelope::kRequest:
      return Check(envelope.request());
    case Envelope::kReply:
      return Check(envelope.reply());
    case Envelope::kMismatch:
      return Check(envelope.mismatch());
    case Envelope::kOffer:
      return Check(envelope.offer());
    case Envelope::kOfferReply:
      return Check(envelope.offer_reply());
    case Envelope::kLoan:
      return Check(envelope.loan());
    case Envelope::kGrant:
      return Check(envelope.grant());
    case Envelope::kDigest:
      return Check(envelope.digest());
    case Envelope::kPull:
      return Check(envelope.pull());
    case Envelope::kPush:
      return Check(envelope.push());
    case Envelope::kProbe:
      return Check(envelope.probe());
    case Envelope::kProbeAnswer:
      return Check(envelope.probe_answer());
    case Envelope::kIndirect:
      return Check(envelope.indirect().target());
    case Envelope::kNotice:
    case Envelope::kIndirectAnswer:
      return true;
    case Envelope::BODY_NOT_SET:
      return false;
  }
  return false;
}

}  // namespace

bool IsWithinBounds(const wire::Envelope& envelope) {
  return Check(envelope.from()) && Check(envelope.to()) && CheckBody(envelope);
}

}  // namespace cactuscross
