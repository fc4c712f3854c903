#ifndef CACTUSCROSS_SRC_CORE_AGENT_BODY_STORE_H_
#define CACTUSCROSS_SRC_CORE_AGENT_BODY_STORE_H_

// Response bodies that callers fetch block by block (RFC 7959). All blocks that
// a caller fetches come from the body of its first block, so that blocks of two
// versions are never mixed. Callers that fetch the same body share it.

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

// An immutable body with its ETag (a hash of the bytes).
struct Body : boost::intrusive_ref_counter<Body, boost::thread_unsafe_counter> {
  explicit Body(Bytes content);

  const Bytes bytes;
  const Bytes etag;  // 8 bytes
};

using BodyPtr = boost::intrusive_ptr<const Body>;

// Fills payload, Block2, Size2 and ETag of `reply` with block `requested` of
// `body`. Returns false if the block starts past the end.
bool FillBlock(const Body& body,
               const std::optional<CoapBlock>& requested,
               CoapMessage& reply);

inline constexpr std::size_t kMaxStoredBodyBytes = 16U << 20U;
inline constexpr Duration kBodyLifetime = std::chrono::seconds(30);
// A duplicate within this time after the response was sent is not a
// retransmission after a loss: callers wait for ACK_TIMEOUT, 2 s, before the
// first one (RFC 7252, 4.8).
inline constexpr Duration kDuplicateWindow = std::chrono::seconds(1);
// Max number of responses recorded per body. A duplicate on a slower network
// path arrives after the responses to later blocks, and a caller on loopback
// receives about 1,000 responses per second.
inline constexpr std::size_t kMaxRecordedAnswers = 256;

class BodyStore {
 public:
  // Stores `body` for `caller` until it is idle for kBodyLifetime or evicted
  // because the store exceeds kMaxStoredBodyBytes.
  void Store(TimePoint now,
             const Endpoint& caller,
             const CoapMessage& request,
             const BodyPtr& body);

  // Returns the body stored for this caller, path and query, or null.
  BodyPtr Find(TimePoint now,
               const Endpoint& caller,
               const CoapMessage& request);

  // Records that `request`, for a block of a stored body, is answered now.
  // Returns false for a duplicate of a request that was answered within
  // kDuplicateWindow. The response is then in flight, and a second copy must
  // not be sent: common clients append a block twice if they receive it twice.
  bool RecordAnswer(TimePoint now,
                    const Endpoint& caller,
                    const CoapMessage& request);

  // Evicts bodies that were idle for kBodyLifetime.
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

  Order lru_order;  // least recently used first; must be unlinked before
                    // cached_bodies is destroyed
  std::map<Key, CachedBody> cached_bodies;
  std::size_t total_bytes = 0;

 public:
  ~BodyStore() { this->lru_order.clear(); }
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_AGENT_BODY_STORE_H_
