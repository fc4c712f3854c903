#ifndef CACTUSCROSS_TESTS_STANDIN_COAP_CALLER_H_
#define CACTUSCROSS_TESTS_STANDIN_COAP_CALLER_H_

// A CoAP client with its own UDP socket that behaves like a stock client:
// retransmission (RFC 7252, 4.2), Echo (RFC 9175, 2.3), Block1 and Block2
// (RFC 7959).

#include <deque>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "cactuscross/coap_message.h"
#include "tests/standin/standin_support.h"

namespace cactuscross::standin {

using std::chrono::milliseconds;

struct CallerOptions {
  Endpoint source;   // local address of the socket; port 0
  Endpoint service;  // service address
  milliseconds ack_timeout{2000};
  milliseconds response_timeout{30000};  // longest wait for one answer
};

// Result of a blockwise transfer.
struct Transfer {
  std::optional<CoapMessage> last_answer;  // empty if there was none
  std::string body;                        // assembled body of a GET
  // The ETag or the block number still mismatched after the last restart of
  // the transfer.
  bool body_changed = false;
};

class CoapCaller {
 public:
  CoapCaller(const CallerOptions& options, std::uint64_t seed);
  ~CoapCaller();
  CoapCaller(const CoapCaller&) = delete;
  CoapCaller& operator=(const CoapCaller&) = delete;

  // Sends a confirmable request and returns its answer, which may be a Reset,
  // or nothing on a timeout. After a 4.01 with an Echo option, sends the
  // request again with that Echo.
  std::optional<CoapMessage> Request(CoapMessage request);

  // Fetches a complete body, block by block.
  Transfer Get(const std::string& path);

  // Posts a body, in blocks if it does not fit into one.
  Transfer Post(const std::string& path, const std::string& body);

  // Sends `requests` concurrently, each with its own token. Returns the answers
  // in the order of the requests; an entry is empty if its request timed out.
  std::vector<std::optional<CoapMessage>> RequestConcurrently(
      std::vector<CoapMessage> requests);

  // Single steps, used by SessionCaller.
  std::uint16_t NextMessageId() { return this->next_message_id++; }
  Bytes NewToken();
  void Send(const CoapMessage& message);
  // Waits up to `wait` for one message. Acknowledges a confirmable message
  // whose token is known; rejects a confirmable or non-confirmable message with
  // an unknown token by a Reset.
  std::optional<CoapMessage> Receive(milliseconds wait);
  void AddKnownToken(const Bytes& token);
  void ClearKnownTokens() { this->known_tokens.clear(); }

  // Draws the initial retransmission timeout: 1 to 1.5 times `ack_timeout`.
  milliseconds InitialTimeout();
  // Returns the number of received messages that have an unknown token or
  // cannot be decoded.
  std::uint64_t UnmatchedMessages() const { return this->unmatched_messages; }
  std::uint64_t Retransmissions() const { return this->retransmissions; }

 private:
  std::optional<CoapMessage> Exchange(const CoapMessage& request);
  std::optional<CoapMessage> GetBlock(const std::string& path,
                                      std::uint32_t number);

  CallerOptions options;
  int socket = -1;
  std::mt19937_64 random;
  std::uint16_t next_message_id;
  std::deque<Bytes> known_tokens;  // tokens of this caller, oldest first
  std::uint64_t unmatched_messages = 0;
  std::uint64_t retransmissions = 0;
};

inline std::string ToText(const Bytes& bytes) {
  return {bytes.begin(), bytes.end()};
}

// Formats a code as "c.dd".
std::string CodeText(CoapCode code);

inline bool IsSuccess(const CoapMessage& message) {
  return static_cast<std::uint8_t>(message.code) >> 5U == 2;
}

}  // namespace cactuscross::standin

#endif  // CACTUSCROSS_TESTS_STANDIN_COAP_CALLER_H_
