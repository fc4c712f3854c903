#ifndef CACTUSCROSS_SRC_CORE_AGENT_TICKET_TABLE_H_
#define CACTUSCROSS_SRC_CORE_AGENT_TICKET_TABLE_H_

// Tickets that this incarnation of an agent has issued, and the outcomes of
// those that were used. A record is kept until no retransmission of its request
// can arrive.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "cactuscross/coap_message.h"
#include "src/core/agent/outcome.h"
#include "src/core/agent/request_table.h"
#include "src/core/common/ticket.h"

namespace cactuscross {

// How long an unused ticket can be used.
inline constexpr Duration kTicketLifetime = std::chrono::seconds(15);
// How long an outcome is kept for retransmissions: EXCHANGE_LIFETIME (RFC 7252,
// 4.8.2), 247 s, plus the ticket lifetime, 15 s, which covers the last time at
// which the ticket could be used.
inline constexpr Duration kOutcomeLifetime = std::chrono::seconds(247 + 15);
// Max records of one agent. At 16 tickets per second, 4,500 are in use.
inline constexpr std::size_t kMaxTickets = 20000;
// Max time between two blocks of a body.
inline constexpr Duration kBlockTimeout = std::chrono::seconds(30);

enum class TicketState : std::uint8_t {
  kIssued,       // not used yet
  kReceiving,    // blocks of the body are being received
  kAdmitted,     // queued or dispatched to the server
  kDone,         // the outcome is known
  kInvalidated,  // refused as not run; can never run
};

// Identifies a request without a ticket, so that its retransmissions get the
// same ticket. The key contains the Request-Tag for a body in blocks, and the
// token and message id otherwise.
struct IssueKey {
  Endpoint caller;
  bool in_blocks = false;
  Bytes tag;  // Request-Tag or Token
  std::uint16_t message_id = 0;
  std::string path;

  friend bool operator<(const IssueKey& a, const IssueKey& b) {
    return std::tie(a.caller, a.in_blocks, a.tag, a.message_id, a.path) <
           std::tie(b.caller, b.in_blocks, b.tag, b.message_id, b.path);
  }
};

IssueKey MakeIssueKey(const Endpoint& caller, const CoapMessage& request);

struct TicketRecord {
  std::uint32_t sequence = 0;
  TicketState state = TicketState::kIssued;
  IssueKey issued_to;
  std::optional<ExchangeKey> used_by;  // the exchange that redeemed it
  std::uint16_t first_block_id = 0;    // message id of block 0
  Bytes body;                          // while kReceiving
  std::size_t body_size = 0;           // of the complete body, once received
  Outcome outcome;                     // when kDone or kInvalidated
  TimePoint issued_at;
  TimePoint expiry;  // of the record in its current state
};

class TicketTable {
 public:
  TicketRecord& Issue(TimePoint now, const IssueKey& key);
  TicketRecord* Find(std::uint32_t sequence);
  TicketRecord* FindIssued(const IssueKey& key);

  // Sets `record` to `state` until `expiry`.
  void SetState(TicketRecord& record, TicketState state, TimePoint expiry);

  // Drops expired records, including their incomplete bodies, so that their
  // tickets can no longer be used. The record of an admitted request is kept.
  void Expire(TimePoint now);

  std::size_t size() const { return this->records.size(); }
  // Returns the number of records whose request may still run.
  std::size_t Open() const { return this->open; }
  // Returns the number of tickets issued within `age` that are not used yet.
  std::size_t IssuedSince(TimePoint now, Duration age) const;
  std::size_t ReceivingBytes() const { return this->receiving_bytes; }
  void AppendBody(TicketRecord& record, ByteView bytes);
  void DropBody(TicketRecord& record);

 private:
  static bool IsOpen(TicketState state) {
    return state == TicketState::kIssued || state == TicketState::kReceiving ||
           state == TicketState::kAdmitted;
  }

  std::map<std::uint32_t, TicketRecord> records;
  std::map<IssueKey, std::uint32_t> by_issue;
  std::set<std::pair<TimePoint, std::uint32_t>> by_expiry;
  std::set<std::pair<TimePoint, std::uint32_t>> unused;  // by time of issue
  std::uint32_t last_sequence = 0;
  std::size_t open = 0;
  std::size_t receiving_bytes = 0;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_AGENT_TICKET_TABLE_H_
