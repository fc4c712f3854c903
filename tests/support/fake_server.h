#ifndef CACTUSCROSS_TESTS_SUPPORT_FAKE_SERVER_H_
#define CACTUSCROSS_TESTS_SUPPORT_FAKE_SERVER_H_

// Stand-in of a backend server, and the record of what all servers ran.

#include <functional>
#include <list>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cactuscross/server_message.h"
#include "tests/support/link.h"

namespace cactuscross::testing {

// One execution begun at a server.
struct Execution {
  TimePoint start;
  Endpoint server;
  std::string service;  // of the server that ran it
  CoapCode method = CoapCode::kGet;
  std::string path;
  std::string query;
  std::string body;
};

// What all servers of a cluster share: their data and the record of work.
struct ServerLedger {
  std::map<std::string, std::uint64_t> data_version;  // by service
  std::map<std::string, int> runs;                    // of POSTs, by body
  std::vector<Execution> executions;
  std::vector<std::string> cancelled_requests;  // begun, then ended by an agent
};

// The answer that a server gives. Starts with service and request, so that a
// caller can tell whose answer it is; `path` "diagram/N" gives N bytes.
std::string AnswerText(const std::string& service,
                       CoapCode method,
                       const std::string& path,
                       const std::string& query,
                       const std::string& body,
                       std::uint64_t data_version);

// What a server does wrong, until changed.
struct ServerFaults {
  bool down = false;                  // connections are refused
  bool refusing = false;              // 503, Not-Run: 1, before work
  bool hanging = false;               // takes requests, never answers
  bool crashes_on_next_post = false;  // runs the next POST, then goes down
  bool starting = false;              // cold: says so at its health endpoint
  bool draining = false;              // refuses new work and says so
  bool health_unreachable = false;    // health endpoint unreachable
};

class FakeServer {
 public:
  using DoneCallback = std::function<void(const ServerResult&)>;

  FakeServer(Link& link,
             ServerLedger& ledger,
             Endpoint endpoint,
             std::string service);

  void HandleCall(const ServerCall& call, const DoneCallback& done);
  // Ends a call whose caller has gone; with an answer if `answered`.
  void Cancel(CallId id);
  // The agent that made the calls has gone; work that began goes on.
  void AbandonCalls();
  ServerHealth Health() const;

  Endpoint GetEndpoint() const { return this->endpoint; }
  std::size_t InFlight() const { return this->calls.size(); }
  // Calls that the agent still waits for: it has not timed out on them.
  std::size_t AwaitedCalls() const;
  std::size_t BusySlots() const;

  std::string service;
  ServerFaults faults;
  std::uint32_t slots = 4;
  Duration service_time{std::chrono::milliseconds(20)};
  Duration service_time_jitter{std::chrono::milliseconds(10)};
  // Draws the time of one call, in place of the two above.
  std::function<Duration(const ServerCall&)> draw_service_time;
  // May change what the health endpoint says.
  std::function<void(ServerHealth&)> on_health;

 private:
  struct Call {
    ServerCall call;
    DoneCallback done;
    bool running = false;
    bool abandoned = false;
    std::uint64_t serial = 0;
  };

  void StartQueuedCalls();
  void Start(Call& call);
  Duration DrawServiceTime(const ServerCall& call) const;
  void Finish(std::uint64_t serial);
  void BreakCalls();
  // Breaks all calls if the process of another service has taken the place of
  // the one that took them; returns whether it has.
  bool BreakCallsIfReplaced();
  void Answer(const Call& call, ServerResult result);
  std::list<Call>::iterator Find(std::uint64_t serial);

  Link& link;
  ServerLedger& ledger;
  Endpoint endpoint;
  std::list<Call> calls;
  std::uint64_t next_serial = 1;
};

}  // namespace cactuscross::testing

#endif  // CACTUSCROSS_TESTS_SUPPORT_FAKE_SERVER_H_
