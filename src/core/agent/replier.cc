#include "src/core/agent/replier.h"

#include "src/core/common/reply.h"

namespace cactuscross {
namespace {

// RFC 7252, 4.8: ACK_TIMEOUT; the jitter from ACK_RANDOM_FACTOR, 1.5; and the
// first transmission plus MAX_RETRANSMIT, 4.
constexpr Duration kAckTimeout = std::chrono::seconds(2);
constexpr std::uint32_t kMaxAckJitterMs = 1000;
constexpr int kMaxTransmissions = 5;

}  // namespace

Origin MakeOrigin(const ForwardedRequest& request) {
  return {
      request.caller,       request.service_address,    request.balancer,
      request.message.type, request.message.message_id, request.message.token};
}

CoapMessage MakeRequestHeader(const Origin& origin) {
  CoapMessage header;
  header.type = origin.type;
  header.code = CoapCode::kGet;
  header.message_id = origin.message_id;
  header.token = origin.token;
  return header;
}

const PeerAddress& Replier::ChooseBalancer(const Origin& origin, int attempts) {
  const auto& live = this->context.live_balancers;
  if (live.empty()) {
    return origin.balancer;
  }
  if (attempts > 1) {
    return live[static_cast<std::size_t>(attempts) % live.size()];
  }
  for (const PeerAddress& balancer : live) {
    if (balancer.node == origin.balancer.node) {
      return balancer;
    }
  }
  return live.front();
}

void Replier::SendThrough(const PeerAddress& balancer,
                          const Origin& origin,
                          CoapMessage message) {
  ForwardedReply reply;
  reply.caller = origin.caller;
  reply.service_address = origin.service_address;
  reply.service = this->context.service;
  reply.load = this->load();
  reply.message = std::move(message);
  this->context.Send(balancer, std::move(reply));
}

void Replier::Send(const Origin& origin, CoapMessage message) {
  this->SendThrough(this->ChooseBalancer(origin, 1), origin,
                    std::move(message));
}

std::uint16_t Replier::NextMessageId() {
  constexpr std::uint32_t kMessageIds = 1U << 16U;
  if (!this->last_message_id) {
    // All agents of a service send from its addresses and share their message
    // ids. Each agent starts at a random id, so that ids rarely collide.
    this->last_message_id =
        static_cast<std::uint16_t>(this->context.RandomBelow(kMessageIds));
  }
  return ++*this->last_message_id;
}

std::uint16_t Replier::SendConfirmable(const Origin& origin,
                                       CoapMessage message) {
  message.type = CoapType::kConfirmable;
  message.message_id = this->NextMessageId();
  const ConfirmableKey key{origin.caller, message.message_id};
  this->StopRetransmission(key);
  Confirmable entry{origin, message, 1, kAckTimeout, {}};
  entry.timeout +=
      std::chrono::milliseconds(this->context.RandomBelow(kMaxAckJitterMs));
  entry.due = this->context.now + entry.timeout;
  this->due.insert({entry.due, key});
  this->pending.emplace(key, std::move(entry));
  this->Send(origin, std::move(message));
  return key.second;
}

std::uint16_t Replier::SendNonConfirmable(const Origin& origin,
                                          CoapMessage message) {
  message.type = CoapType::kNonConfirmable;
  message.message_id = this->NextMessageId();
  const std::uint16_t message_id = message.message_id;
  this->Send(origin, std::move(message));
  return message_id;
}

void Replier::Refuse(const Origin& origin,
                     const CoapMessage& request,
                     ResultCode code,
                     std::optional<std::uint32_t> retry_after_s) {
  const ResultCodeRow& row = GetRow(code);
  this->context.metrics.Count("refused_total", "code", row.name);
  this->context.Record(origin.caller, origin.service_address, origin.token,
                       "refused", code, this->context.Self(), row.text);
  this->Send(origin, MakeErrorReply(request, code, retry_after_s));
}

bool Replier::Acknowledge(const ConfirmableKey& key) {
  if (!this->IsPending(key)) {
    return false;
  }
  this->StopRetransmission(key);
  return true;
}

void Replier::StopRetransmission(const ConfirmableKey& key) {
  const auto found = this->pending.find(key);
  if (found != this->pending.end()) {
    this->due.erase({found->second.due, key});
    this->pending.erase(found);
  }
}

std::vector<ConfirmableKey> Replier::Tick() {
  std::vector<ConfirmableKey> timed_out;
  while (!this->due.empty() && this->due.begin()->first <= this->context.now) {
    const ConfirmableKey key = this->due.begin()->second;
    this->due.erase(this->due.begin());
    Confirmable& entry = this->pending.at(key);
    if (entry.attempts >= kMaxTransmissions) {
      this->pending.erase(key);
      timed_out.push_back(key);
      continue;
    }
    ++entry.attempts;
    entry.timeout *= 2;
    entry.due = this->context.now + entry.timeout;
    this->due.insert({entry.due, key});
    this->context.metrics.Count("confirmables_repeated_total");
    this->SendThrough(this->ChooseBalancer(entry.origin, entry.attempts),
                      entry.origin, entry.message);
  }
  return timed_out;
}

}  // namespace cactuscross
