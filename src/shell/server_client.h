#ifndef CACTUSCROSS_SRC_SHELL_SERVER_CLIENT_H_
#define CACTUSCROSS_SRC_SHELL_SERVER_CLIENT_H_

// An agent's calls to the backend server beside it. Each ends by its timeout.
//
// The server's address may pass to another service at any time, so identity is
// proved per connection: a new one first carries GET /health, and the call
// follows on it only if the answer names the service that the call is for. A
// TCP connection ends with its process, so a kept one stays proved.
//
// A call that must not run twice has a new connection, so that it meets none
// that went silent; others may use a kept one, which is given up with all other
// kept ones after the first call that fails. A kept one that ends before a byte
// of the answer is replaced by a new one.

#include <poll.h>

#include <list>
#include <string>
#include <vector>

#include "cactuscross/server_message.h"
#include "src/shell/counters.h"
#include "src/shell/http_client.h"

namespace cactuscross {

// Longest body of an answer that is taken whole, bytes.
inline constexpr std::size_t kMaxServerBodyBytes = 1U << 20U;

// What became of calls and health checks since the last time.
struct ServerUpdates {
  std::vector<ServerResult> results;
  std::vector<ServerHealth> health;
};

class ServerClient {
 public:
  ServerClient(const Endpoint& server, ShellCounters& counters)
      : server(server), counters(counters) {}

  // A call without a name of service goes out unproved.
  void Start(TimePoint now, const ServerCall& call);
  // Ends a call: closes its connection and tells the server by POST
  // /cancel?call=ID, proved alike, if any of it left. Does nothing for one that
  // has ended.
  void Cancel(TimePoint now, CallId id);
  // Asks GET /health unless an earlier question is still open.
  void CheckHealth(TimePoint now);

  void AppendPollEntries(std::vector<pollfd>& entries) const;
  // Goes on with every exchange; `polled` are the entries that were appended.
  ServerUpdates Continue(TimePoint now, gsl::span<const pollfd> polled);

 private:
  enum class Purpose : std::uint8_t { kCall, kHealth, kCancel };

  // What the exchange of an entry does.
  enum class Stage : std::uint8_t {
    kIdentityCheck,     // GET /health on a new connection, before the request
    kReusedConnection,  // the request over a kept connection
    kFinalRequest,      // the request, not to be sent again
  };

  struct Operation {
    Purpose purpose;
    CallId id;
    std::string service;  // that the server must name first; empty: any
    HttpRequest request;
    TimePoint deadline;
  };

  struct Entry {
    Operation operation;
    Stage stage;
    HttpExchange exchange;
    bool sent_before = false;  // over a kept connection that ended

    bool HasSent() const;
  };

  struct IdleConnection {
    FileDescriptor socket;
    std::string service;  // that it is proved for
    TimePoint close_at;
  };

  FileDescriptor TakeIdleConnection(std::string_view service);
  void StoreIdleConnection(TimePoint now, Entry& entry);
  void Open(TimePoint now, Operation operation);
  // Begins the exchange that follows the one that is done; false if none does.
  static bool Advance(TimePoint now, Entry& entry);
  static bool SendAfterIdentityCheck(TimePoint now, Entry& entry);
  static ServerCallStatus Status(Entry& entry);
  void Finish(TimePoint now, Entry& entry, ServerUpdates& updates);

  static Stage NewConnectionStage(const Operation& operation);
  static HttpExchange Begin(TimePoint now,
                            const Operation& operation,
                            Stage stage,
                            FileDescriptor connection = FileDescriptor());

  Endpoint server;
  ShellCounters& counters;
  std::list<Entry> entries;
  std::vector<IdleConnection> idle_connections;  // oldest first
  std::vector<ServerResult> immediate_results;  // known at once, given out next
};

// Reads the body of GET /health; not reachable if it is no such document.
ServerHealth ParseHealth(std::string_view body);

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_SHELL_SERVER_CLIENT_H_
