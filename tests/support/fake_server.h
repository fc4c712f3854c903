#ifndef CACTUSCROSS_TESTS_SUPPORT_FAKE_SERVER_H_
#define CACTUSCROSS_TESTS_SUPPORT_FAKE_SERVER_H_

// A fake backend server, and the log of the executions of all servers.

#include <functional>
#include <list>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cactuscross/server_message.h"
#include "tests/support/link.h"

namespace cactuscross::testing {

// One execution that started at a server.
struct Execution {
  TimePoint start;
  Endpoint server;
  std::string service;  // of the server that ran it
  CoapCode method = CoapCode::kGet;
  std::string path;
  std::string query;
  std::string body;
};

// State shared by all servers of a cluster: data versions and executions.
struct ServerLedger {
  std::map<std::string, std::uint64_t> data_version;  // by service
  std::map<std::string, int> runs;  // executions of POSTs, by body
  std::vector<Execution> executions;
  // Paths of requests that an agent cancelled while they ran.
  std::vector<std::string> cancelled_requests;
};

// Returns the body of a server's response. It starts with the service and the
// request, so that a test can check which service answered which request. The
// path "diagram/N" gives at least N bytes.
std::string AnswerText(const std::string& service,
                       CoapCode method,
                       const std::string& path,
                       const std::string& query,
                       const std::string& body,
                       std::uint64_t data_version);

// Faults of a server; each lasts until it is reset.
struct ServerFaults {
  bool down = false;                  // connections are refused
  bool refusing = false;              // 503 with Not-Run: 1, runs nothing
  bool hanging = false;               // accepts requests, never answers
  bool crashes_on_next_post = false;  // runs the next POST, then goes down
  bool starting = false;              // the health endpoint reports a warm-up
  bool draining = false;              // rejects new work and reports it
  bool health_unreachable = false;
};

class FakeServer {
 public:
  using DoneCallback = std::function<void(const ServerResult&)>;

  FakeServer(Link& link,
             ServerLedger& ledger,
             Endpoint endpoint,
             std::string service);

  void HandleCall(const ServerCall& call, const DoneCallback& done);
  // Cancels a call, running or queued. Its result is kCancelled.
  void Cancel(CallId id);
  // Drops the results of all calls because the agent that made them is down.
  // The calls still run.
  void AbandonCalls();
  ServerHealth Health() const;

  Endpoint GetEndpoint() const { return this->endpoint; }
  std::size_t InFlight() const { return this->calls.size(); }
  // Returns the number of calls that the agent still waits for: neither timed
  // out nor abandoned.
  std::size_t AwaitedCalls() const;
  std::size_t BusySlots() const;

  std::string service;
  ServerFaults faults;
  std::uint32_t slots = 4;
  Duration service_time{std::chrono::milliseconds(20)};
  Duration service_time_jitter{std::chrono::milliseconds(10)};
  // Draws the service time of a call; replaces the two values above if set.
  std::function<Duration(const ServerCall&)> draw_service_time;
  // May change the result of a health check; used for false load reports.
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
  // Breaks all calls if a process of another service has replaced the one that
  // accepted them. Returns whether it has.
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
