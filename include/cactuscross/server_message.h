#ifndef CACTUSCROSS_SERVER_MESSAGE_H_
#define CACTUSCROSS_SERVER_MESSAGE_H_

// HTTP/1.1 requests from an agent to its local backend server, and their
// results.

#include <cstdint>
#include <string>

#include "cactuscross/coap_message.h"
#include "cactuscross/types.h"

namespace cactuscross {

// Identifies one call of an agent to its server, within one incarnation.
enum class CallId : std::uint64_t {};

// A request to the server. Each call, including a cancelled one, produces
// exactly one ServerResult. The shell sends the request with the headers
// "Deadline-Ms" (remaining time) and "Call-Id", and opens a new connection for
// it if `new_connection` is set.
struct ServerCall {
  CallId id{0};
  // Full name that the server must return from /health on the same connection
  // before any byte of the call is sent.
  std::string service;
  CoapCode method = CoapCode::kGet;
  std::string path;   // without leading '/'
  std::string query;  // without '?'
  Bytes body;
  Duration timeout{0};
  bool new_connection = false;
};

enum class ServerCallStatus : std::uint8_t {
  kAnswered,      // a complete HTTP response was received
  kNotSent,       // connecting failed; no byte of the request was sent
  kBroken,        // the connection failed after at least one byte was sent
  kTimedOut,      // no response within the timeout
  kCancelled,     // cancelled through AgentOutbox::server_cancels
  kWrongService,  // the server named another service; nothing was sent
};

struct ServerResult {
  CallId id{0};
  ServerCallStatus status = ServerCallStatus::kAnswered;
  int http_status = 0;
  std::uint32_t retry_after_s = 0;  // header Retry-After, 0 if absent
  // Header "Not-Run: 1": the server rejected the request without executing it.
  bool not_run = false;
  bool truncated = false;  // the body is longer than the part in `body`
  Bytes body;
};

// Response to GET /health. All fields except `service` are hints, which may be
// outdated or wrong. Requests are delivered only if `service` matches.
struct ServerHealth {
  bool reachable = false;
  std::string service;  // full name "customer/service"
  bool draining = false;
  bool starting = false;
  std::uint32_t in_flight = 0;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SERVER_MESSAGE_H_
