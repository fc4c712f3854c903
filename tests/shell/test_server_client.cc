#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "src/shell/http_client.h"
#include "src/shell/server_client.h"
#include "tests/shell/fake_http_server.h"

namespace cactuscross {
namespace {

using testing::AfterRequest;
using testing::FakeHttpServer;

constexpr TimePoint kStart{Duration(1000000)};
constexpr TimePoint kDeadline{Duration(2000000)};
// Max number of steps, up to 1 ms each, in which an exchange must end.
constexpr int kMaxSteps = 5000;
// Number of steps that a test waits to check that nothing more is sent.
constexpr int kQuietSteps = 20;
constexpr const char* kNoContent = "HTTP/1.1 204 No Content\r\n\r\n";

HttpRequest MakeRequest(const Endpoint& server, const std::string& method) {
  HttpRequest request;
  request.server = server;
  request.method = method;
  request.target = "/claims";
  request.max_body_bytes = 1000;
  return request;
}

// Runs one exchange to its end. The logical time stays at kStart for up to
// `steps` steps and then jumps to the deadline.
HttpResponse RunExchange(FakeHttpServer& server,
                         const std::string& method,
                         int steps = kMaxSteps) {
  HttpExchange exchange(MakeRequest(server.Local(), method), kDeadline);
  for (int i = 0; i < steps && !exchange.IsDone(); ++i) {
    pollfd entry = exchange.PollEntry();
    poll(&entry, 1, 1);
    exchange.Continue(kStart, entry.revents);
    server.Step();
  }
  exchange.Continue(kDeadline, 0);
  CPPUNIT_ASSERT(exchange.IsDone());
  return exchange.Response();
}

HttpResponse RunPostExchange(const std::string& response,
                             AfterRequest after_request) {
  FakeHttpServer server(response, after_request);
  return RunExchange(server, "POST");
}

// Returns an address on which no socket listens.
Endpoint ClosedPort() {
  return FakeHttpServer("", AfterRequest::kNoResponse).Local();
}

ServerCall MakeCall(std::uint64_t id) {
  ServerCall call;
  call.id = CallId{id};
  call.method = CoapCode::kPost;
  call.path = "claims/a b\r\nX: y";
  call.query = "n=1";
  call.body = {'h', 'i'};
  call.timeout = Duration(250000);
  call.new_connection = true;
  return call;
}

constexpr const char* kClaims = "workshops/claims";
constexpr const char* kDiagrams = "workshops/diagrams";

// Returns a call that may be sent only to a server of the service kClaims.
ServerCall MakeClaimsCall(std::uint64_t id) {
  ServerCall call = MakeCall(id);
  call.service = kClaims;
  return call;
}

std::size_t CountOccurrences(const std::string& text, const std::string& part) {
  std::size_t count = 0;
  for (std::size_t at = text.find(part); at != std::string::npos;
       at = text.find(part, at + 1)) {
    ++count;
  }
  return count;
}

// Runs one step of `client`, then one of `server`.
ServerUpdates StepBoth(ServerClient& client,
                       FakeHttpServer& server,
                       TimePoint now) {
  std::vector<pollfd> entries;
  client.AppendPollEntries(entries);
  poll(entries.data(), entries.size(), 1);
  ServerUpdates updates = client.Continue(now, entries);
  server.Step();
  return updates;
}

// Steps both until `client` returns a result or a health report.
ServerUpdates WaitForUpdates(ServerClient& client, FakeHttpServer& server) {
  ServerUpdates updates;
  for (int i = 0;
       i < kMaxSteps && updates.results.empty() && updates.health.empty();
       ++i) {
    updates = StepBoth(client, server, kStart);
  }
  return updates;
}

// Returns the status with which the only call in flight ends.
ServerCallStatus WaitForStatus(ServerClient& client, FakeHttpServer& server) {
  return WaitForUpdates(client, server).results.at(0).status;
}

// Steps both until the server has received `part`, at most `steps` times.
void StepUntilReceived(ServerClient& client,
                       FakeHttpServer& server,
                       const std::string& part,
                       int steps = kMaxSteps) {
  for (int i = 0;
       i < steps && server.AllReceived().find(part) == std::string::npos; ++i) {
    StepBoth(client, server, kStart);
  }
}

// Tests the HTTP calls of an agent to the backend server on its host. Another
// service may take over the server's address, so the first exchange on each new
// connection is an identity check: GET /health has to name the service of the
// call that follows.
class ServerClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServerClientTest);
  CPPUNIT_TEST(CompleteResponseIsAccepted);
  CPPUNIT_TEST(ChunkedResponseIsAccepted);
  CPPUNIT_TEST(NotRunResponseIsParsed);
  CPPUNIT_TEST(RefusedConnectionIsNotSent);
  CPPUNIT_TEST(CloseAfterRequestIsBroken);
  CPPUNIT_TEST(TruncatedResponseIsBroken);
  CPPUNIT_TEST(NonHttpResponseIsBroken);
  CPPUNIT_TEST(UnframedResponseIsBroken);
  CPPUNIT_TEST(MissingResponseTimesOut);
  CPPUNIT_TEST(OversizeBodyIsTruncated);
  CPPUNIT_TEST(CallCarriesItsHeaders);
  CPPUNIT_TEST(IdempotentCallsShareAConnection);
  CPPUNIT_TEST(ClosedIdleConnectionIsReplaced);
  CPPUNIT_TEST(CancelNotifiesTheServer);
  CPPUNIT_TEST(CallFollowsTheIdentityCheckOnOneConnection);
  CPPUNIT_TEST(CallIsNotSentToAnotherService);
  CPPUNIT_TEST(EachNewConnectionHasAnIdentityCheck);
  CPPUNIT_TEST(ReusedConnectionNeedsNoIdentityCheck);
  CPPUNIT_TEST(IdentityCheckHoldsForOneServiceOnly);
  CPPUNIT_TEST(ReplacementConnectionHasAnIdentityCheck);
  CPPUNIT_TEST(CloseAfterTheIdentityCheckIsNotSent);
  CPPUNIT_TEST(HealthResponseWithoutServiceIsNotSent);
  CPPUNIT_TEST(IdentityCheckTimeoutIsNotSent);
  CPPUNIT_TEST(MissingResponseAfterTheIdentityCheckTimesOut);
  CPPUNIT_TEST(IdentityCheckTimeIsTakenFromTheDeadline);
  CPPUNIT_TEST(CancelDuringTheIdentityCheckSendsNothing);
  CPPUNIT_TEST(CancelIsNotSentToAnotherService);
  CPPUNIT_TEST(HealthIsParsed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void CompleteResponseIsAccepted() {
    const HttpResponse response = RunPostExchange(
        "HTTP/1.1 201 Created\r\nContent-Length: 5\r\n\r\nclaim",
        AfterRequest::kRespond);
    CPPUNIT_ASSERT(response.status == ServerCallStatus::kAnswered);
    CPPUNIT_ASSERT_EQUAL(201, response.code);
    CPPUNIT_ASSERT_EQUAL(std::string("claim"), response.body);
    CPPUNIT_ASSERT(!response.not_run);
  }

  void ChunkedResponseIsAccepted() {
    const HttpResponse response = RunPostExchange(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
        AfterRequest::kRespond);
    CPPUNIT_ASSERT(response.status == ServerCallStatus::kAnswered);
    CPPUNIT_ASSERT_EQUAL(std::string("abcde"), response.body);
  }

  void NotRunResponseIsParsed() {
    const HttpResponse response = RunPostExchange(
        "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n"
        "Retry-After: 7\r\nContent-Length: 0\r\n\r\n",
        AfterRequest::kRespondAndClose);
    CPPUNIT_ASSERT(response.status == ServerCallStatus::kAnswered);
    CPPUNIT_ASSERT_EQUAL(503, response.code);
    CPPUNIT_ASSERT(response.not_run);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{7}, response.retry_after_s);
  }

  void RefusedConnectionIsNotSent() {
    HttpExchange exchange(MakeRequest(ClosedPort(), "POST"), kDeadline);
    for (int i = 0; i < kMaxSteps && !exchange.IsDone(); ++i) {
      pollfd entry = exchange.PollEntry();
      poll(&entry, 1, 1);
      exchange.Continue(kStart, entry.revents);
    }
    CPPUNIT_ASSERT(exchange.Response().status == ServerCallStatus::kNotSent);
    CPPUNIT_ASSERT(!exchange.HasSent());
  }

  void CloseAfterRequestIsBroken() {
    CPPUNIT_ASSERT(RunPostExchange("", AfterRequest::kRespondAndClose).status ==
                   ServerCallStatus::kBroken);
  }

  void TruncatedResponseIsBroken() {
    CPPUNIT_ASSERT(
        RunPostExchange("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
                        AfterRequest::kRespondAndClose)
            .status == ServerCallStatus::kBroken);
  }

  void NonHttpResponseIsBroken() {
    const HttpResponse response = RunPostExchange(
        "SSH-2.0-nonsense\r\n\r\n", AfterRequest::kRespondAndClose);
    CPPUNIT_ASSERT(response.status == ServerCallStatus::kBroken);
    CPPUNIT_ASSERT(response.malformed);
  }

  void UnframedResponseIsBroken() {
    const HttpResponse response = RunPostExchange(
        "HTTP/1.1 200 OK\r\nServer: x\r\n\r\nrest", AfterRequest::kRespond);
    CPPUNIT_ASSERT(response.status == ServerCallStatus::kBroken);
    CPPUNIT_ASSERT(response.malformed);
  }

  void MissingResponseTimesOut() {
    FakeHttpServer server("", AfterRequest::kNoResponse);
    const HttpResponse response = RunExchange(server, "GET", 20);
    CPPUNIT_ASSERT(response.status == ServerCallStatus::kTimedOut);
  }

  void OversizeBodyIsTruncated() {
    const HttpResponse response =
        RunPostExchange("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" +
                            std::string(100000, 'x'),
                        AfterRequest::kRespond);
    CPPUNIT_ASSERT(response.status == ServerCallStatus::kAnswered);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1001}, response.body.size());
  }

  void CallCarriesItsHeaders() {
    FakeHttpServer server("HTTP/1.1 204 No Content\r\n\r\n",
                          AfterRequest::kRespond);
    ShellCounters counters;
    ServerClient client(server.Local(), counters);
    client.Start(kStart, MakeCall(9));
    const ServerUpdates updates = WaitForUpdates(client, server);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, updates.results.size());
    CPPUNIT_ASSERT(updates.results[0].id == CallId{9});
    CPPUNIT_ASSERT_EQUAL(204, updates.results[0].http_status);
    CPPUNIT_ASSERT_EQUAL(
        "POST /claims/a%20b%0D%0AX:%20y?n=1 HTTP/1.1\r\nHost: " +
            ToString(server.Local()) +
            "\r\nConnection: close\r\nDeadline-Ms: 250\r\nCall-Id: 9\r\n"
            "Content-Length: 2\r\n\r\nhi",
        server.LastRequest());
  }

  void IdempotentCallsShareAConnection() {
    FakeHttpServer server("HTTP/1.1 204 No Content\r\n\r\n",
                          AfterRequest::kRespond);
    ShellCounters counters;
    ServerClient client(server.Local(), counters);
    ServerCall idempotent_call = MakeCall(1);
    idempotent_call.new_connection = false;
    for (int i = 0; i < 3; ++i) {
      client.Start(kStart, idempotent_call);
      CPPUNIT_ASSERT(WaitForUpdates(client, server).results.at(0).status ==
                     ServerCallStatus::kAnswered);
    }
    CPPUNIT_ASSERT_EQUAL(1, server.ConnectionCount());
    client.Start(kStart, MakeCall(2));
    WaitForUpdates(client, server);
    CPPUNIT_ASSERT_EQUAL(2, server.ConnectionCount());
  }

  void ClosedIdleConnectionIsReplaced() {
    FakeHttpServer server("HTTP/1.1 204 No Content\r\n\r\n",
                          AfterRequest::kRespond);
    ShellCounters counters;
    ServerClient client(server.Local(), counters);
    ServerCall idempotent_call = MakeCall(1);
    idempotent_call.new_connection = false;
    client.Start(kStart, idempotent_call);
    WaitForUpdates(client, server);
    // The server closes the idle connection before the call starts, then right
    // after the call has reused it.
    for (const bool closed_before_call : {true, false}) {
      if (closed_before_call) {
        server.CloseConnection();
      }
      client.Start(kStart, idempotent_call);
      if (!closed_before_call) {
        server.CloseConnection();
      }
      CPPUNIT_ASSERT(WaitForUpdates(client, server).results.at(0).status ==
                     ServerCallStatus::kAnswered);
    }
    CPPUNIT_ASSERT_EQUAL(3, server.ConnectionCount());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, counters.server_calls_broken);
  }

  void CancelNotifiesTheServer() {
    FakeHttpServer server("", AfterRequest::kNoResponse);
    ShellCounters counters;
    ServerClient client(server.Local(), counters);
    client.Start(kStart, MakeCall(9));
    StepUntilReceived(client, server, "POST /claims");
    client.Cancel(kStart, CallId{9});
    client.Cancel(kStart, CallId{10});  // unknown id: ignored
    const ServerUpdates updates = WaitForUpdates(client, server);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, updates.results.size());
    CPPUNIT_ASSERT(updates.results[0].status == ServerCallStatus::kCancelled);
    StepUntilReceived(client, server, "/cancel");
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         server.LastRequest().find("POST /cancel?call=9 "));
  }

  void CallFollowsTheIdentityCheckOnOneConnection() {
    FakeHttpServer server(kNoContent, AfterRequest::kRespond);
    server.SetService(kClaims);
    ServerClient client(server.Local(), this->counters);
    client.Start(kStart, MakeClaimsCall(9));
    const ServerUpdates updates = WaitForUpdates(client, server);
    CPPUNIT_ASSERT_EQUAL(204, updates.results.at(0).http_status);
    CPPUNIT_ASSERT_EQUAL(1, server.ConnectionCount());
    const std::string host = "Host: " + ToString(server.Local()) + "\r\n";
    CPPUNIT_ASSERT_EQUAL(
        "GET /health HTTP/1.1\r\n" + host +
            "Connection: keep-alive\r\n\r\n"
            "POST /claims/a%20b%0D%0AX:%20y?n=1 HTTP/1.1\r\n" +
            host +
            "Connection: close\r\nDeadline-Ms: 250\r\nCall-Id: 9\r\n"
            "Content-Length: 2\r\n\r\nhi",
        server.AllReceived());
  }

  void CallIsNotSentToAnotherService() {
    FakeHttpServer server(kNoContent, AfterRequest::kRespond);
    server.SetService(kDiagrams);
    ServerClient client(server.Local(), this->counters);
    client.Start(kStart, MakeClaimsCall(9));
    const ServerUpdates updates = WaitForUpdates(client, server);
    CPPUNIT_ASSERT(updates.results.at(0).status ==
                   ServerCallStatus::kWrongService);
    CPPUNIT_ASSERT(updates.results.at(0).id == CallId{9});
    CPPUNIT_ASSERT_EQUAL(0, updates.results.at(0).http_status);
    CPPUNIT_ASSERT(updates.results.at(0).body.empty());
    this->AssertOnlyHealth(client, server);
  }

  // The service at the server's address changes between calls, so an earlier
  // identity check says nothing about a new connection.
  void EachNewConnectionHasAnIdentityCheck() {
    FakeHttpServer server(kNoContent, AfterRequest::kRespond);
    ServerClient client(server.Local(), this->counters);
    for (int i = 0; i < 4; ++i) {
      const bool serves_claims = i % 2 == 0;
      server.SetService(serves_claims ? kClaims : kDiagrams);
      client.Start(kStart, MakeClaimsCall(1));
      CPPUNIT_ASSERT(WaitForStatus(client, server) ==
                     (serves_claims ? ServerCallStatus::kAnswered
                                    : ServerCallStatus::kWrongService));
    }
    CPPUNIT_ASSERT_EQUAL(4, server.ConnectionCount());
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{4}, CountOccurrences(server.AllReceived(), "GET /health "));
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{2}, CountOccurrences(server.AllReceived(), "POST /claims"));
  }

  void ReusedConnectionNeedsNoIdentityCheck() {
    FakeHttpServer server(kNoContent, AfterRequest::kRespond);
    server.SetService(kClaims);
    ServerClient client(server.Local(), this->counters);
    ServerCall idempotent_call = MakeClaimsCall(1);
    idempotent_call.new_connection = false;
    for (int i = 0; i < 3; ++i) {
      client.Start(kStart, idempotent_call);
      CPPUNIT_ASSERT(WaitForStatus(client, server) ==
                     ServerCallStatus::kAnswered);
    }
    CPPUNIT_ASSERT_EQUAL(1, server.ConnectionCount());
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{1}, CountOccurrences(server.AllReceived(), "GET /health "));
  }

  void IdentityCheckHoldsForOneServiceOnly() {
    FakeHttpServer server(kNoContent, AfterRequest::kRespond);
    server.SetService(kClaims);
    ServerClient client(server.Local(), this->counters);
    ServerCall idempotent_call = MakeClaimsCall(1);
    idempotent_call.new_connection = false;
    client.Start(kStart, idempotent_call);
    WaitForUpdates(client, server);
    idempotent_call.service = kDiagrams;
    client.Start(kStart, idempotent_call);
    CPPUNIT_ASSERT(WaitForStatus(client, server) ==
                   ServerCallStatus::kWrongService);
    CPPUNIT_ASSERT_EQUAL(2, server.ConnectionCount());
  }

  // Another service takes over the server's address. The old connection closes
  // before the call starts, or right after the call has reused it. In the
  // second case the call counts as broken, since the old server may have
  // received it.
  void ReplacementConnectionHasAnIdentityCheck() {
    for (const bool closed_before_call : {true, false}) {
      FakeHttpServer server(kNoContent, AfterRequest::kRespond);
      server.SetService(kClaims);
      ServerClient client(server.Local(), this->counters);
      ServerCall idempotent_call = MakeClaimsCall(1);
      idempotent_call.new_connection = false;
      client.Start(kStart, idempotent_call);
      WaitForUpdates(client, server);
      server.SetService(kDiagrams);
      if (closed_before_call) {
        server.CloseConnection();
      }
      client.Start(kStart, idempotent_call);
      if (!closed_before_call) {
        server.CloseConnection();
      }
      CPPUNIT_ASSERT(WaitForStatus(client, server) ==
                     (closed_before_call ? ServerCallStatus::kWrongService
                                         : ServerCallStatus::kBroken));
      CPPUNIT_ASSERT_EQUAL(2, server.ConnectionCount());
      CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                           CountOccurrences(server.AllReceived(), "POST "));
    }
  }

  void CloseAfterTheIdentityCheckIsNotSent() {
    FakeHttpServer server(kNoContent, AfterRequest::kRespond);
    server.SetService(kClaims, /*close_after_health=*/true);
    this->ExpectNotSent(server);
    const std::string body =
        R"({"service":"workshops/claims","state":"serving"})";
    server.SetHealthResponse(
        "HTTP/1.1 200 OK\r\nConnection: close\r\n"
        "Content-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body);
    this->ExpectNotSent(server);
  }

  void HealthResponseWithoutServiceIsNotSent() {
    FakeHttpServer server(kNoContent, AfterRequest::kRespond);
    for (const char* response :
         {"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
          "SSH-2.0-nonsense\r\n\r\n"}) {
      server.SetHealthResponse(response);
      this->ExpectNotSent(server);
    }
  }

  void IdentityCheckTimeoutIsNotSent() {
    FakeHttpServer server("", AfterRequest::kNoResponse);
    ServerClient client(server.Local(), this->counters);
    client.Start(kStart, MakeClaimsCall(9));
    StepUntilReceived(client, server, "GET /health ");
    const ServerUpdates updates = StepBoth(client, server, kDeadline);
    CPPUNIT_ASSERT(updates.results.at(0).status == ServerCallStatus::kNotSent);
    this->AssertOnlyHealth(client, server);
  }

  void MissingResponseAfterTheIdentityCheckTimesOut() {
    FakeHttpServer server("", AfterRequest::kNoResponse);
    server.SetService(kClaims);
    ServerClient client(server.Local(), this->counters);
    client.Start(kStart, MakeClaimsCall(9));
    StepUntilReceived(client, server, "POST /claims");
    const ServerUpdates updates = StepBoth(client, server, kDeadline);
    CPPUNIT_ASSERT(updates.results.at(0).status == ServerCallStatus::kTimedOut);
  }

  void IdentityCheckTimeIsTakenFromTheDeadline() {
    FakeHttpServer server(kNoContent, AfterRequest::kRespond);
    server.SetService(kClaims);
    ServerClient client(server.Local(), this->counters);
    client.Start(kStart, MakeClaimsCall(9));
    StepUntilReceived(client, server, "GET /health ");
    const TimePoint later = kStart + Duration(100000);
    for (int i = 0; i < kMaxSteps &&
                    server.AllReceived().find("POST") == std::string::npos;
         ++i) {
      StepBoth(client, server, later);
    }
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{1},
        CountOccurrences(server.LastRequest(), "Deadline-Ms: 150\r\n"));
  }

  void CancelDuringTheIdentityCheckSendsNothing() {
    FakeHttpServer server("", AfterRequest::kNoResponse);
    ServerClient client(server.Local(), this->counters);
    client.Start(kStart, MakeClaimsCall(9));
    StepUntilReceived(client, server, "GET /health ");
    client.Cancel(kStart, CallId{9});
    CPPUNIT_ASSERT(WaitForStatus(client, server) ==
                   ServerCallStatus::kCancelled);
    this->AssertOnlyHealth(client, server);
    CPPUNIT_ASSERT_EQUAL(1, server.ConnectionCount());
  }

  // Another service takes over the server's address while a call is in flight.
  void CancelIsNotSentToAnotherService() {
    FakeHttpServer server("", AfterRequest::kNoResponse);
    server.SetService(kClaims);
    ServerClient client(server.Local(), this->counters);
    client.Start(kStart, MakeClaimsCall(9));
    StepUntilReceived(client, server, "POST /claims");
    server.SetService(kDiagrams);
    client.Cancel(kStart, CallId{9});
    StepUntilReceived(client, server, "POST /cancel", kQuietSteps);
    CPPUNIT_ASSERT_EQUAL(2, server.ConnectionCount());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         CountOccurrences(server.AllReceived(), "POST "));
  }

  void HealthIsParsed() {
    const ServerHealth health = ParseHealth(
        R"({"service":"workshops/claims","state":"draining","in_flight":3})");
    CPPUNIT_ASSERT(health.reachable && health.draining && !health.starting);
    CPPUNIT_ASSERT_EQUAL(std::string("workshops/claims"), health.service);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{3}, health.in_flight);
    for (const char* body : {"", "[]", "{", R"({"service":1,"state":"x"})",
                             R"({"service":"a/b"})"}) {
      CPPUNIT_ASSERT(!ParseHealth(body).reachable);
    }
  }

 private:
  // Checks that the server received one GET /health and nothing after it.
  void AssertOnlyHealth(ServerClient& client, FakeHttpServer& server) {
    StepUntilReceived(client, server, "POST", kQuietSteps);
    CPPUNIT_ASSERT_EQUAL(
        "GET /health HTTP/1.1\r\nHost: " + ToString(server.Local()) +
            "\r\nConnection: keep-alive\r\n\r\n",
        server.AllReceived());
  }

  void ExpectNotSent(FakeHttpServer& server) {
    ServerClient client(server.Local(), this->counters);
    client.Start(kStart, MakeClaimsCall(9));
    CPPUNIT_ASSERT(WaitForStatus(client, server) == ServerCallStatus::kNotSent);
    StepUntilReceived(client, server, "POST", kQuietSteps);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         CountOccurrences(server.AllReceived(), "POST"));
  }

  ShellCounters counters;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerClientTest);

}  // namespace
}  // namespace cactuscross
