#include "src/core/agent/body_store.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>
#include <boost/endian/conversion.hpp>

namespace cactuscross {
namespace {

constexpr std::size_t kEtagBytes = 8;
// Blocks of 1024 bytes, the largest size (RFC 7959, section 2.2).
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
               const std::optional<CoapBlock>& requested,
               CoapMessage& reply) {
  CoapBlock block = requested.value_or(CoapBlock{});
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
  if (requested || block.more) {
    reply.block2 = block;
    reply.size2 = static_cast<std::uint32_t>(body.bytes.size());
  }
  return true;
}

BodyStore::Key BodyStore::MakeKey(const Endpoint& caller,
                                  const CoapMessage& request) {
  return {caller, request.uri_path, request.uri_query};
}

void BodyStore::Store(TimePoint now,
                      const Endpoint& caller,
                      const CoapMessage& request,
                      const BodyPtr& body) {
  CachedBody& cached = this->cached_bodies[MakeKey(caller, request)];
  if (cached.is_linked()) {
    this->total_bytes -= cached.body->bytes.size();
  } else {
    cached.key = MakeKey(caller, request);
    this->lru_order.push_back(cached);
  }
  cached.body = body;
  this->total_bytes += body->bytes.size();
  this->Touch(now, cached);
  while (this->total_bytes > kMaxStoredBodyBytes &&
         &this->lru_order.front() != &cached) {
    this->Erase(this->lru_order.front());
  }
}

BodyPtr BodyStore::Find(TimePoint now,
                        const Endpoint& caller,
                        const CoapMessage& request) {
  const auto found = this->cached_bodies.find(MakeKey(caller, request));
  if (found == this->cached_bodies.end()) {
    return nullptr;
  }
  this->Touch(now, found->second);
  return found->second.body;
}

bool BodyStore::RecordAnswer(TimePoint now,
                             const Endpoint& caller,
                             const CoapMessage& request) {
  const auto found = this->cached_bodies.find(MakeKey(caller, request));
  if (found == this->cached_bodies.end()) {
    return true;
  }
  std::vector<Answered>& answered = found->second.answered;
  const auto is_recent = [now](const Answered& entry) {
    return now - entry.at < kDuplicateWindow;
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
  if (answered.size() >= kMaxRecordedAnswers) {
    answered.erase(answered.begin());
  }
  answered.push_back({request.message_id, now});
  return true;
}

void BodyStore::Expire(TimePoint now) {
  while (!this->lru_order.empty() &&
         now - this->lru_order.front().last_use > kBodyLifetime) {
    this->Erase(this->lru_order.front());
  }
}

void BodyStore::Touch(TimePoint now, CachedBody& cached) {
  cached.last_use = now;
  this->lru_order.splice(this->lru_order.end(), this->lru_order,
                         Order::s_iterator_to(cached));
}

void BodyStore::Erase(CachedBody& cached) {
  this->total_bytes -= cached.body->bytes.size();
  this->lru_order.erase(Order::s_iterator_to(cached));
  this->cached_bodies.erase(Key(cached.key));
}

}  // namespace cactuscross
