#ifndef CACTUSCROSS_TESTS_STANDIN_COAP_CALLER_H_
#define CACTUSCROSS_TESTS_STANDIN_COAP_CALLER_H_

// One caller with a socket of its own, which behaves like a stock CoAP client:
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
  Endpoint source;   // address of the socket; port 0
  Endpoint service;  // service address
  milliseconds ack_timeout{2000};
  milliseconds response_timeout{30000};  // longest wait for one answer
};

// What a transfer of several blocks ended with.
struct Transfer {
  std::optional<CoapMessage> last_answer;  // nothing: no answer
  std::string body;                        // of a GET
  bool body_changed = false;  // the ETag changed on the way, thrice
};

class CoapCaller {
 public:
  CoapCaller(const CallerOptions& options, std::uint64_t seed);
  ~CoapCaller();
  CoapCaller(const CoapCaller&) = delete;
  CoapCaller& operator=(const CoapCaller&) = delete;

  // Sends a confirmable request and returns its answer, or nothing. A 4.01
  // with Echo is answered by a repeat with that Echo.
  std::optional<CoapMessage> Request(CoapMessage request);

  // Gets a whole body, block by block.
  Transfer Get(const std::string& path);

  // Posts a body, in blocks if it is longer than one.
  Transfer Post(const std::string& path, const std::string& body);

  // Sends `requests` at once, each with its own token, and collects answers in
  // the same order. Each that has none is empty.
  std::vector<std::optional<CoapMessage>> RequestConcurrently(
      std::vector<CoapMessage> requests);

  // Below: single steps, for sessions.
  std::uint16_t NextMessageId() { return this->next_message_id++; }
  Bytes NewToken();
  void Send(const CoapMessage& message);
  // Waits for one message; acknowledges a confirmable one whose token is
  // known; rejects a response to another token by a reset.
  std::optional<CoapMessage> Receive(milliseconds wait);
  void AddKnownToken(const Bytes& token);
  void ClearKnownTokens() { this->known_tokens.clear(); }

  milliseconds InitialTimeout();
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
  std::deque<Bytes> known_tokens;  // of this caller, the newest last
  std::uint64_t unmatched_messages = 0;
  std::uint64_t retransmissions = 0;
};

inline std::string ToText(const Bytes& bytes) {
  return {bytes.begin(), bytes.end()};
}

// Formats "c.dd".
std::string CodeText(CoapCode code);

inline bool IsSuccess(const CoapMessage& message) {
  return static_cast<std::uint8_t>(message.code) >> 5U == 2;
}

}  // namespace cactuscross::standin

#endif  // CACTUSCROSS_TESTS_STANDIN_COAP_CALLER_H_
