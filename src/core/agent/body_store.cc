#include "src/core/agent/body_store.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>
#include <boost/endian/conversion.hpp>

namespace cactuscross {
namespace {

constexpr std::size_t kEtagBytes = 8;
constexpr std::uint8_t kLargestSizeExponent = 6;

Bytes MakeEtag(ByteView content) {
  Bytes etag(kEtagBytes);
  boost::endian::store_big_u64(etag.data(),
                               XXH3_64bits(content.data(), content.size()));
  return etag;
}

}  // namespace

Body::Body(Bytes content)
    : bytes(std::move(content)), etag(MakeEtag(this->bytes)) {}

bool FillBlock(const Body& body,
               const std::optional<CoapBlock>& wanted,
               CoapMessage& reply) {
  CoapBlock block = wanted.value_or(CoapBlock{});
  block.size_exponent = std::min(block.size_exponent, kLargestSizeExponent);
  const std::size_t begin = block.number * block.Size();
  if (begin > 0 && begin >= body.bytes.size()) {
    return false;
  }
  const std::size_t end = std::min(begin + block.Size(), body.bytes.size());
  block.more = end < body.bytes.size();
  reply.payload.assign(body.bytes.begin() + static_cast<std::ptrdiff_t>(begin),
                       body.bytes.begin() + static_cast<std::ptrdiff_t>(end));
  reply.etag = body.etag;
  if (wanted || block.more) {
    reply.block2 = block;
    reply.size2 = static_cast<std::uint32_t>(body.bytes.size());
  }
  return true;
}

BodyStore::Key BodyStore::MakeKey(const Endpoint& caller,
                                  const CoapMessage& request) {
  return {caller, request.uri_path, request.uri_query};
}

void BodyStore::Keep(TimePoint now,
                     const Endpoint& caller,
                     const CoapMessage& request,
                     const BodyPtr& body) {
  Pin& pin = this->pins[MakeKey(caller, request)];
  if (pin.is_linked()) {
    this->total_bytes -= pin.body->bytes.size();
  } else {
    pin.key = MakeKey(caller, request);
    this->order.push_back(pin);
  }
  pin.body = body;
  this->total_bytes += body->bytes.size();
  this->Touch(now, pin);
  while (this->total_bytes > kMostBodyBytes && &this->order.front() != &pin) {
    this->Erase(this->order.front());
  }
}

BodyPtr BodyStore::Find(TimePoint now,
                        const Endpoint& caller,
                        const CoapMessage& request) {
  const auto found = this->pins.find(MakeKey(caller, request));
  if (found == this->pins.end()) {
    return nullptr;
  }
  this->Touch(now, found->second);
  return found->second.body;
}

bool BodyStore::NoteAnswer(TimePoint now,
                           const Endpoint& caller,
                           const CoapMessage& request) {
  const auto found = this->pins.find(MakeKey(caller, request));
  if (found == this->pins.end()) {
    return true;
  }
  std::vector<Answered>& answered = found->second.answered;
  const auto is_recent = [now](const Answered& entry) {
    return now - entry.at < kRepeatSilence;
  };
  answered.erase(answered.begin(),
                 std::find_if(answered.begin(), answered.end(), is_recent));
  const bool repeated = std::any_of(
      answered.begin(), answered.end(), [&request](const Answered& entry) {
        return entry.message_id == request.message_id;
      });
  if (repeated) {
    return false;
  }
  if (answered.size() >= kAnswersNoted) {
    answered.erase(answered.begin());
  }
  answered.push_back({request.message_id, now});
  return true;
}

void BodyStore::Expire(TimePoint now) {
  while (!this->order.empty() &&
         now - this->order.front().last_use > kBodyLifetime) {
    this->Erase(this->order.front());
  }
}

void BodyStore::Touch(TimePoint now, Pin& pin) {
  pin.last_use = now;
  this->order.splice(this->order.end(), this->order, Order::s_iterator_to(pin));
}

void BodyStore::Erase(Pin& pin) {
  this->total_bytes -= pin.body->bytes.size();
  this->order.erase(Order::s_iterator_to(pin));
  this->pins.erase(Key(pin.key));
}

}  // namespace cactuscross
