#ifndef CACTUSCROSS_SRC_CORE_AGENT_BODY_STORE_H_
#define CACTUSCROSS_SRC_CORE_AGENT_BODY_STORE_H_

// Whole answer bodies that callers fetch block by block (RFC 7959). A caller
// keeps the body that its first block came from, so that blocks of two
// versions are never mixed; a body that many callers fetch is shared.

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "cactuscross/coap_message.h"
#include "cactuscross/types.h"

namespace cactuscross {

// An immutable body with its entity tag (a hash of the bytes).
struct Body : boost::intrusive_ref_counter<Body, boost::thread_unsafe_counter> {
  explicit Body(Bytes content);

  const Bytes bytes;
  const Bytes etag;  // 8 bytes
};

using BodyPtr = boost::intrusive_ptr<const Body>;

// Fills payload, Block2, Size2 and ETag of `reply` with block `requested` of
// `body`. Returns false if the block lies behind the end.
bool FillBlock(const Body& body,
               const std::optional<CoapBlock>& requested,
               CoapMessage& reply);

inline constexpr std::size_t kMaxStoredBodyBytes = 16U << 20U;
inline constexpr Duration kBodyLifetime = std::chrono::seconds(30);
// A repeat so soon after the answer was sent cannot be due to its loss: callers
// wait for ACK_TIMEOUT, 2 s, before the first one (RFC 7252, 4.8).
inline constexpr Duration kDuplicateWindow = std::chrono::seconds(1);
// A copy that took the longer way arrives after its successors' answers; some
// 1,000 a second go to a caller on loopback.
inline constexpr std::size_t kMaxRecordedAnswers = 256;

class BodyStore {
 public:
  // Keeps `body` for `caller` until it is idle for kBodyLifetime or pushed out.
  void Store(TimePoint now,
             const Endpoint& caller,
             const CoapMessage& request,
             const BodyPtr& body);

  // The body kept for this caller and this path and query, or null.
  BodyPtr Find(TimePoint now,
               const Endpoint& caller,
               const CoapMessage& request);

  // Notes that `request`, for a block of a kept body, is answered now. Returns
  // false if it repeats one that was answered within kDuplicateWindow: the
  // answer is on its way, and stock clients append a block again that comes
  // again.
  bool RecordAnswer(TimePoint now,
                    const Endpoint& caller,
                    const CoapMessage& request);

  // Drops idle bodies.
  void Expire(TimePoint now);

  std::size_t size() const { return this->cached_bodies.size(); }
  std::size_t Bytes() const { return this->total_bytes; }

 private:
  using Key = std::tuple<Endpoint, std::string, std::string>;
  struct Answered {
    std::uint16_t message_id = 0;
    TimePoint at{};
  };
  struct CachedBody : boost::intrusive::list_base_hook<> {
    Key key;
    BodyPtr body;
    TimePoint last_use;
    std::vector<Answered> answered;  // within kDuplicateWindow, oldest first
  };
  using Order = boost::intrusive::list<CachedBody>;

  static Key MakeKey(const Endpoint& caller, const CoapMessage& request);
  void Touch(TimePoint now, CachedBody& cached);
  void Erase(CachedBody& cached);

  Order lru_order;  // least recently used first; unlinked before pins go
  std::map<Key, CachedBody> cached_bodies;
  std::size_t total_bytes = 0;

 public:
  ~BodyStore() { this->lru_order.clear(); }
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_AGENT_BODY_STORE_H_
