#ifndef CACTUSCROSS_TESTS_STANDIN_SESSION_CALLER_H_
#define CACTUSCROSS_TESTS_STANDIN_SESSION_CALLER_H_

// Keeps one Observe session (RFC 7641) open and records what breaks it.

#include <string>
#include <vector>

#include "tests/standin/coap_caller.h"

namespace cactuscross::standin {

struct SessionReport {
  std::uint64_t opened = 0;
  std::uint64_t refused = 0;  // first registrations rejected or timed out
  std::uint64_t broken = 0;   // no notification for 2x Max-Age, Reset or error
  std::uint64_t notifications = 0;        // accepted, not stale
  std::uint64_t stale_notifications = 0;  // older than an accepted one
  std::uint64_t registered_again = 0;     // no notification for Max-Age
  std::uint64_t wrong_body = 0;           // body names another service
  milliseconds max_notification_gap{0};   // between accepted ones
  std::vector<std::string> events;        // breaks with their time and reason
};

class SessionCaller {
 public:
  SessionCaller(const CallerOptions& options,
                std::string service_name,
                std::string path,
                std::uint64_t seed);

  // Runs until `end`; opens a new session whenever one breaks.
  SessionReport Run(Clock::time_point end);

 private:
  void Open();
  void Register(std::uint32_t observe);
  void OnTimer();
  void OnMessage(const CoapMessage& message);
  void OnNotification(const CoapMessage& message);
  void OnFailure(const CoapMessage& message);
  bool IsNewer(std::uint32_t sequence) const;
  void RecordBreak(const std::string& reason);
  void Close();

  CoapCaller caller;
  std::string service_name;
  std::string path;
  SessionReport report;
  Bytes token;
  std::optional<Bytes> echo;
  CoapMessage registration;
  bool open = false;         // the first notification has arrived
  bool registering = false;  // a registration is outstanding or scheduled
  Clock::time_point start;
  // Time of the last accepted notification, or of opening the session.
  Clock::time_point last_received;
  Clock::time_point next_send;
  milliseconds retransmission_timeout{0};
  milliseconds max_age{0};
  std::optional<std::uint32_t> sequence;
};

}  // namespace cactuscross::standin

#endif  // CACTUSCROSS_TESTS_STANDIN_SESSION_CALLER_H_
