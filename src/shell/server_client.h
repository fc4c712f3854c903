#ifndef CACTUSCROSS_SRC_SHELL_SERVER_CLIENT_H_
#define CACTUSCROSS_SRC_SHELL_SERVER_CLIENT_H_

// HTTP calls of an agent to the backend server on its host. Each call ends at
// its timeout at the latest.
//
// The server's address may be reassigned to another service at any time, so
// each new connection starts with an identity check: it first carries GET
// /health, and the call follows on it only if the response names the service
// that the call is for. A TCP connection ends with its process, so the check
// stays valid for a keep-alive connection.
//
// A call that must not run twice uses a new connection, because an idle one may
// be dead without notice. Other calls may reuse an idle connection. If a
// reused connection ends before a byte of the response arrives, the call is
// sent again over a new connection. A call, a POST /cancel or a health check
// that ends without a response, or whose identity check fails, closes all idle
// connections.

#include <poll.h>

#include <list>
#include <string>
#include <vector>

#include "cactuscross/server_message.h"
#include "src/shell/counters.h"
#include "src/shell/http_client.h"

namespace cactuscross {

// Maximum size of a response body: the largest that a contract can allow. A
// longer body is truncated, see ServerResult::truncated.
inline constexpr std::size_t kMaxServerBodyBytes = 4U << 20U;

// Calls and health checks that have ended since the last Continue().
struct ServerUpdates {
  std::vector<ServerResult> results;
  std::vector<ServerHealth> health;
};

class ServerClient {
 public:
  ServerClient(const Endpoint& server, ShellCounters& counters)
      : server(server), counters(counters) {}

  // Starts a call. There is no identity check if `call.service` is empty.
  void Start(TimePoint now, const ServerCall& call);
  // Cancels a call: closes its connection and, if a byte of the call was sent,
  // notifies the server by POST /cancel?call=ID after an identity check. Does
  // nothing if the call has ended.
  void Cancel(TimePoint now, CallId id);
  // Sends GET /health unless a health check is in flight.
  void CheckHealth(TimePoint now);

  void AppendPollEntries(std::vector<pollfd>& entries) const;
  // Continues all exchanges. `polled` holds the entries that
  // AppendPollEntries() appended.
  ServerUpdates Continue(TimePoint now, gsl::span<const pollfd> polled);

 private:
  enum class Purpose : std::uint8_t { kCall, kHealth, kCancel };

  // The request that the current exchange of an operation carries.
  enum class Stage : std::uint8_t {
    kIdentityCheck,     // GET /health on a new connection
    kReusedConnection,  // the request, over a reused connection
    kFinalRequest,      // the request, not sent again if it fails
  };

  // A call, a health check or the notification of a cancelled call.
  struct Operation {
    Purpose purpose;
    CallId id;
    std::string service;  // for the identity check; empty: no check
    HttpRequest request;
    TimePoint deadline;
  };

  // An operation in progress, carried by one exchange after another.
  struct ActiveOperation {
    Operation operation;
    Stage stage;
    HttpExchange exchange;
    // A byte of the request was sent over a reused connection that ended.
    bool sent_before = false;

    bool HasSent() const;
  };

  struct IdleConnection {
    FileDescriptor socket;
    std::string service;  // that passed the identity check
    TimePoint close_at;
  };

  FileDescriptor TakeIdleConnection(std::string_view service);
  void StoreIdleConnection(TimePoint now, ActiveOperation& active);
  void Open(TimePoint now, Operation operation);
  // Starts the exchange that follows the finished one. Returns false if there
  // is none.
  static bool Advance(TimePoint now, ActiveOperation& active);
  static bool SendAfterIdentityCheck(TimePoint now, ActiveOperation& active);
  static ServerCallStatus Status(ActiveOperation& active);
  void Finish(TimePoint now, ActiveOperation& active, ServerUpdates& updates);

  static Stage NewConnectionStage(const Operation& operation);
  static HttpExchange Begin(TimePoint now,
                            const Operation& operation,
                            Stage stage,
                            FileDescriptor connection = FileDescriptor());

  Endpoint server;
  ShellCounters& counters;
  std::list<ActiveOperation> active_operations;
  std::vector<IdleConnection> idle_connections;  // oldest first
  // Results of calls that ended outside Continue(), which returns them.
  std::vector<ServerResult> immediate_results;
};

// Parses the response body of GET /health. Returns reachable = false if it is
// not a valid health document.
ServerHealth ParseHealth(std::string_view body);

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_SHELL_SERVER_CLIENT_H_
