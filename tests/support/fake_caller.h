#ifndef CACTUSCROSS_TESTS_SUPPORT_FAKE_CALLER_H_
#define CACTUSCROSS_TESTS_SUPPORT_FAKE_CALLER_H_

// A fake caller that behaves like a standard CoAP client: it retransmits
// confirmable requests, retries with Echo after 4.01, fetches all blocks of a
// response, and renews observations after Max-Age.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cactuscross/balancer.h"
#include "cactuscross/coap_message.h"
#include "tests/support/link.h"

namespace cactuscross::testing {

// A request of a caller and its result.
struct CallerRequest {
  Endpoint service_address;
  CoapCode method = CoapCode::kGet;
  std::string path;
  std::string query;
  std::string body;  // of the request
  TimePoint start;
  bool finished = false;  // answered, reset, or timed out
  bool answered = false;
  TimePoint finish;
  CoapCode code = CoapCode::kEmpty;
  std::string answer;             // reassembled body of the response
  std::uint16_t result_code = 0;  // NNN if `answer` begins with "ENNN "
  std::optional<std::uint32_t> max_age;
  int blocks = 0;         // block responses assembled in `answer`
  int body_restarts = 0;  // reassembly restarted as the ETag changed
  int echo_retries = 0;   // retries after 4.01 with Echo
  std::optional<Bytes> etag;
};

// An observation (RFC 7641) of a caller.
struct CallerSession {
  Endpoint service_address;
  std::string path;
  Bytes token;
  bool open = false;            // registered and not cancelled or failed
  bool keep_open = true;        // false after Close()
  int registrations = 0;        // sent, the first one included
  int refusals = 0;             // registrations answered with an error
  int breaks = 0;               // observations ended by an error notification
  int notifications = 0;        // accepted in order
  int out_of_order = 0;         // dropped according to RFC 7641, 3.4
  int stale_notifications = 0;  // accepted with older data than the last one
  std::uint32_t sequence = 0;
  std::uint64_t data_version = 0;  // of the last accepted notification
  std::string value;
  std::uint32_t max_age_s = 60;
  TimePoint last_received;
  Duration max_notification_gap{0};  // between two accepted notifications
  std::uint16_t result_code = 0;     // of the last error
  std::uint64_t timer_serial = 0;    // of the current Max-Age timer
};

// Deviations of a caller from a standard client.
struct CallerBehavior {
  bool retries_every_echo = false;  // also after a second 4.01 to a request
  bool reuses_echo = false;         // sends its last Echo with a new POST
  bool sends_echo_twice = false;    // sends each retry as two datagrams
};

class FakeCaller {
 public:
  using Sender = std::function<void(const CallerDatagram&)>;

  FakeCaller(Link& link, Endpoint endpoint, Sender sender);

  // These return an index into Requests() or Sessions().
  std::size_t Get(Endpoint service_address,
                  const std::string& path,
                  const std::string& query);
  std::size_t Post(Endpoint service_address,
                   const std::string& path,
                   const std::string& body);
  std::size_t Observe(Endpoint service_address, const std::string& path);
  void Close(std::size_t session);

  // Handles a datagram sent to this caller.
  void Receive(const CallerDatagram& datagram);

  Endpoint GetEndpoint() const { return this->endpoint; }
  const std::vector<CallerRequest>& Requests() const { return this->requests; }
  const std::vector<CallerSession>& Sessions() const { return this->sessions; }
  // Returns the number of responses that match no exchange and are no
  // duplicates.
  int UnmatchedResponses() const { return this->unmatched_responses; }

  CallerBehavior behavior;

 private:
  // A sent message that waits for its response.
  struct Exchange {
    CoapMessage message;
    Endpoint service_address;
    std::optional<std::size_t> request;
    std::optional<std::size_t> session;
    int transmissions = 0;
    Duration timeout{0};
    bool acknowledged = false;
  };

  std::size_t StartRequest(CallerRequest request);
  void Register(std::size_t session);
  CoapMessage MakeRequest(CoapCode method, const std::string& path);
  void StartExchange(Exchange exchange);
  void Transmit(const Bytes& token);
  void FailExchange(const Bytes& token);
  void Send(Endpoint service_address, const CoapMessage& message);
  void SendEmpty(const CallerDatagram& datagram, CoapType type);
  void OnEmpty(const CoapMessage& message);
  void OnResponse(const CallerDatagram& datagram);
  void OnRequestResponse(const Bytes& token, const CoapMessage& message);
  void RetryWithEcho(const Bytes& token, const CoapMessage& message);
  void FetchBlock(std::size_t request, const CoapMessage& message);
  void Finish(std::size_t request, const CoapMessage& message);
  bool OnSessionMessage(const CoapMessage& message);
  // Handles a notification, or the response to a registration if `is_response`.
  void AcceptNotification(CallerSession& session,
                          const CoapMessage& message,
                          bool is_response);
  void ArmMaxAge(std::size_t session);
  Bytes NextToken(std::size_t size);

  Link& link;
  Endpoint endpoint;
  Sender sender;
  std::uint16_t next_message_id;
  std::uint64_t next_token;
  std::vector<CallerRequest> requests;
  std::vector<CallerSession> sessions;
  std::map<Bytes, Exchange> exchanges;           // by token
  std::map<Bytes, Exchange> answered_exchanges;  // for retries_every_echo
  std::map<std::uint16_t, TimePoint> seen_confirmables;
  std::map<Bytes, TimePoint> finished_tokens;
  std::optional<Bytes> last_echo;
  int unmatched_responses = 0;
};

// Returns NNN of a payload that begins with "ENNN ", otherwise 0.
std::uint16_t ParseResultCode(const std::string& payload);

// Returns the number after the first " v" of a payload, or 0 without one.
std::uint64_t ParseDataVersion(const std::string& payload);

}  // namespace cactuscross::testing

#endif  // CACTUSCROSS_TESTS_SUPPORT_FAKE_CALLER_H_
