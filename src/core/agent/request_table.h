#ifndef CACTUSCROSS_SRC_CORE_AGENT_REQUEST_TABLE_H_
#define CACTUSCROSS_SRC_CORE_AGENT_REQUEST_TABLE_H_

// Requests that an agent has admitted and not completed.

#include <cstdint>
#include <map>
#include <memory>
#include <tuple>

#include <boost/intrusive/list.hpp>

#include "cactuscross/server_message.h"
#include "src/core/agent/replier.h"

namespace cactuscross {

// Identifies one exchange with a caller (RFC 7252, 4.4 and 5.3.1).
struct ExchangeKey {
  Endpoint caller;
  Bytes token;
  std::uint16_t message_id = 0;

  friend bool operator<(const ExchangeKey& a, const ExchangeKey& b) {
    return std::tie(a.caller, a.token, a.message_id) <
           std::tie(b.caller, b.token, b.message_id);
  }
  friend bool operator==(const ExchangeKey& a, const ExchangeKey& b) {
    return std::tie(a.caller, a.token, a.message_id) ==
           std::tie(b.caller, b.token, b.message_id);
  }
};

inline ExchangeKey MakeExchangeKey(const Origin& origin) {
  return {origin.caller, origin.token, origin.message_id};
}

enum class RequestState : std::uint8_t { kQueued, kDispatched };

struct Request : boost::intrusive::list_base_hook<> {
  CallId id{0};
  Origin origin;
  CoapMessage message;  // payload is the complete body
  RequestState state = RequestState::kQueued;
  bool idempotent = false;            // may be run again, on any agent
  std::uint32_t ticket_sequence = 0;  // 0: no ticket
  std::uint8_t hops = 0;
  TimePoint arrived;
  TimePoint deadline;
  TimePoint dispatched;
  bool acknowledged = false;  // an empty acknowledgement was sent
  bool retried = false;       // another agent forwarded it as a retry
};

class RequestTable {
 public:
  using Queue = boost::intrusive::list<Request>;

  ~RequestTable() { this->queue.clear(); }

  // Adds a request to the end of the queue.
  Request& Add(CallId id, const Origin& origin);

  Request* Find(CallId id);
  Request* Find(const ExchangeKey& key);

  // Removes the oldest request from the queue and marks it as dispatched.
  Request& PopQueued();
  Request* OldestQueued();

  void Erase(Request& request);

  std::size_t Queued() const { return this->queue.size(); }
  std::size_t size() const { return this->requests.size(); }
  bool empty() const { return this->requests.empty(); }

  // All requests by call id.
  std::map<CallId, std::unique_ptr<Request>>& All() { return this->requests; }

 private:
  std::map<CallId, std::unique_ptr<Request>> requests;
  std::map<ExchangeKey, CallId> by_exchange;
  Queue queue;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_AGENT_REQUEST_TABLE_H_
