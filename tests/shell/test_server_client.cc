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
// Steps after which an exchange that does not end is given up, 1 ms each.
constexpr int kMaxSteps = 5000;
// Steps in which something that must not come would come.
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

// Runs one exchange to its end. Logical time stands still until the server has
// had `steps` chances, then passes the deadline.
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

HttpResponse Ask(const std::string& answer, AfterRequest after) {
  FakeHttpServer server(answer, after);
  return RunExchange(server, "POST");
}

// An address at which nothing listens.
Endpoint ClosedPort() {
  return FakeHttpServer("", AfterRequest::kSilent).Local();
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

// A call that only the service of claims may get.
ServerCall MakeClaimsCall(std::uint64_t id) {
  ServerCall call = MakeCall(id);
  call.service = kClaims;
  return call;
}

std::size_t CountIn(const std::string& text, const std::string& part) {
  std::size_t count = 0;
  for (std::size_t at = text.find(part); at != std::string::npos;
       at = text.find(part, at + 1)) {
    ++count;
  }
  return count;
}

// Goes on with `client` once, then with `server`.
ServerUpdates StepBoth(ServerClient& client,
                       FakeHttpServer& server,
                       TimePoint now) {
  std::vector<pollfd> entries;
  client.AppendPollEntries(entries);
  poll(entries.data(), entries.size(), 1);
  ServerUpdates news = client.Continue(now, entries);
  server.Step();
  return news;
}

// Polls `client` until it has news.
ServerUpdates WaitForNews(ServerClient& client, FakeHttpServer& server) {
  ServerUpdates news;
  for (int i = 0; i < kMaxSteps && news.results.empty() && news.health.empty();
       ++i) {
    news = StepBoth(client, server, kStart);
  }
  return news;
}

// The status with which the only open call ends.
ServerCallStatus WaitForStatus(ServerClient& client, FakeHttpServer& server) {
  return WaitForNews(client, server).results.at(0).status;
}

// Goes on until the server has `part` of a request, or for `steps`.
void StepUntil(ServerClient& client,
               FakeHttpServer& server,
               const std::string& part,
               int steps = kMaxSteps) {
  for (int i = 0;
       i < steps && server.Everything().find(part) == std::string::npos; ++i) {
    StepBoth(client, server, kStart);
  }
}

class ServerClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServerClientTest);
  CPPUNIT_TEST(WholeAnswerIsTaken);
  CPPUNIT_TEST(ChunkedAnswerIsTaken);
  CPPUNIT_TEST(RefusalBeforeWorkIsSeen);
  CPPUNIT_TEST(ClosedPortIsNotSent);
  CPPUNIT_TEST(CloseAfterRequestIsBroken);
  CPPUNIT_TEST(HalfAnswerIsBroken);
  CPPUNIT_TEST(GarbageIsBroken);
  CPPUNIT_TEST(UnframedAnswerIsBroken);
  CPPUNIT_TEST(SilenceTimesOut);
  CPPUNIT_TEST(OversizeBodyIsCut);
  CPPUNIT_TEST(CallCarriesItsHeaders);
  CPPUNIT_TEST(SafeCallsShareAConnection);
  CPPUNIT_TEST(KeptConnectionThatEndsIsReplaced);
  CPPUNIT_TEST(CancelTellsTheServer);
  CPPUNIT_TEST(CallFollowsTheNameOnOneConnection);
  CPPUNIT_TEST(OtherServiceGetsNothingOfTheCall);
  CPPUNIT_TEST(NameIsAskedOnEachNewConnection);
  CPPUNIT_TEST(KeptConnectionStaysProved);
  CPPUNIT_TEST(KeptConnectionIsProvedForItsServiceOnly);
  CPPUNIT_TEST(ReplacedConnectionIsProvedAgain);
  CPPUNIT_TEST(CloseAfterTheNameIsNotSent);
  CPPUNIT_TEST(AnswerWithoutNameIsNotSent);
  CPPUNIT_TEST(SilenceAboutTheNameIsNotSent);
  CPPUNIT_TEST(SilenceAfterTheNameTimesOut);
  CPPUNIT_TEST(TimeOfTheProofIsTakenFromTheDeadline);
  CPPUNIT_TEST(CancelBeforeTheNameSendsNothing);
  CPPUNIT_TEST(CancelReachesNoOtherService);
  CPPUNIT_TEST(HealthIsParsed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void WholeAnswerIsTaken() {
    const HttpResponse answer =
        Ask("HTTP/1.1 201 Created\r\nContent-Length: 5\r\n\r\nclaim",
            AfterRequest::kAnswer);
    CPPUNIT_ASSERT(answer.status == ServerCallStatus::kAnswered);
    CPPUNIT_ASSERT_EQUAL(201, answer.code);
    CPPUNIT_ASSERT_EQUAL(std::string("claim"), answer.body);
    CPPUNIT_ASSERT(!answer.not_run);
  }

  void ChunkedAnswerIsTaken() {
    const HttpResponse answer =
        Ask("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
            AfterRequest::kAnswer);
    CPPUNIT_ASSERT(answer.status == ServerCallStatus::kAnswered);
    CPPUNIT_ASSERT_EQUAL(std::string("abcde"), answer.body);
  }

  void RefusalBeforeWorkIsSeen() {
    const HttpResponse answer =
        Ask("HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n"
            "Retry-After: 7\r\nContent-Length: 0\r\n\r\n",
            AfterRequest::kAnswerAndClose);
    CPPUNIT_ASSERT(answer.status == ServerCallStatus::kAnswered);
    CPPUNIT_ASSERT_EQUAL(503, answer.code);
    CPPUNIT_ASSERT(answer.not_run);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{7}, answer.retry_after_s);
  }

  void ClosedPortIsNotSent() {
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
    CPPUNIT_ASSERT(Ask("", AfterRequest::kAnswerAndClose).status ==
                   ServerCallStatus::kBroken);
  }

  void HalfAnswerIsBroken() {
    CPPUNIT_ASSERT(Ask("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
                       AfterRequest::kAnswerAndClose)
                       .status == ServerCallStatus::kBroken);
  }

  void GarbageIsBroken() {
    const HttpResponse answer =
        Ask("SSH-2.0-nonsense\r\n\r\n", AfterRequest::kAnswerAndClose);
    CPPUNIT_ASSERT(answer.status == ServerCallStatus::kBroken);
    CPPUNIT_ASSERT(answer.malformed);
  }

  void UnframedAnswerIsBroken() {
    const HttpResponse answer =
        Ask("HTTP/1.1 200 OK\r\nServer: x\r\n\r\nrest", AfterRequest::kAnswer);
    CPPUNIT_ASSERT(answer.status == ServerCallStatus::kBroken);
    CPPUNIT_ASSERT(answer.malformed);
  }

  void SilenceTimesOut() {
    FakeHttpServer server("", AfterRequest::kSilent);
    const HttpResponse answer = RunExchange(server, "GET", 20);
    CPPUNIT_ASSERT(answer.status == ServerCallStatus::kTimedOut);
  }

  void OversizeBodyIsCut() {
    const HttpResponse answer =
        Ask("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" +
                std::string(100000, 'x'),
            AfterRequest::kAnswer);
    CPPUNIT_ASSERT(answer.status == ServerCallStatus::kAnswered);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1001}, answer.body.size());
  }

  void CallCarriesItsHeaders() {
    FakeHttpServer server("HTTP/1.1 204 No Content\r\n\r\n",
                          AfterRequest::kAnswer);
    ShellCounters counters;
    ServerClient client(server.Local(), counters);
    client.Start(kStart, MakeCall(9));
    const ServerUpdates news = WaitForNews(client, server);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, news.results.size());
    CPPUNIT_ASSERT(news.results[0].id == CallId{9});
    CPPUNIT_ASSERT_EQUAL(204, news.results[0].http_status);
    CPPUNIT_ASSERT_EQUAL(
        "POST /claims/a%20b%0D%0AX:%20y?n=1 HTTP/1.1\r\nHost: " +
            ToString(server.Local()) +
            "\r\nConnection: close\r\nDeadline-Ms: 250\r\nCall-Id: 9\r\n"
            "Content-Length: 2\r\n\r\nhi",
        server.Received());
  }

  void SafeCallsShareAConnection() {
    FakeHttpServer server("HTTP/1.1 204 No Content\r\n\r\n",
                          AfterRequest::kAnswer);
    ShellCounters counters;
    ServerClient client(server.Local(), counters);
    ServerCall safe = MakeCall(1);
    safe.new_connection = false;
    for (int i = 0; i < 3; ++i) {
      client.Start(kStart, safe);
      CPPUNIT_ASSERT(WaitForNews(client, server).results.at(0).status ==
                     ServerCallStatus::kAnswered);
    }
    CPPUNIT_ASSERT_EQUAL(1, server.Connections());
    client.Start(kStart, MakeCall(2));
    WaitForNews(client, server);
    CPPUNIT_ASSERT_EQUAL(2, server.Connections());
  }

  void KeptConnectionThatEndsIsReplaced() {
    FakeHttpServer server("HTTP/1.1 204 No Content\r\n\r\n",
                          AfterRequest::kAnswer);
    ShellCounters counters;
    ServerClient client(server.Local(), counters);
    ServerCall safe = MakeCall(1);
    safe.new_connection = false;
    client.Start(kStart, safe);
    WaitForNews(client, server);
    // Seen before the call, and again after it took the connection.
    for (const bool before : {true, false}) {
      if (before) {
        server.CloseConnection();
      }
      client.Start(kStart, safe);
      if (!before) {
        server.CloseConnection();
      }
      CPPUNIT_ASSERT(WaitForNews(client, server).results.at(0).status ==
                     ServerCallStatus::kAnswered);
    }
    CPPUNIT_ASSERT_EQUAL(3, server.Connections());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, counters.server_calls_broken);
  }

  void CancelTellsTheServer() {
    FakeHttpServer server("", AfterRequest::kSilent);
    ShellCounters counters;
    ServerClient client(server.Local(), counters);
    client.Start(kStart, MakeCall(9));
    StepUntil(client, server, "POST /claims");
    client.Cancel(kStart, CallId{9});
    client.Cancel(kStart, CallId{10});  // unknown: nothing happens
    const ServerUpdates news = WaitForNews(client, server);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, news.results.size());
    CPPUNIT_ASSERT(news.results[0].status == ServerCallStatus::kCancelled);
    StepUntil(client, server, "/cancel");
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         server.Received().find("POST /cancel?call=9 "));
  }

  void CallFollowsTheNameOnOneConnection() {
    FakeHttpServer server(kNoContent, AfterRequest::kAnswer);
    server.SetService(kClaims);
    ServerClient client(server.Local(), this->counters);
    client.Start(kStart, MakeClaimsCall(9));
    const ServerUpdates news = WaitForNews(client, server);
    CPPUNIT_ASSERT_EQUAL(204, news.results.at(0).http_status);
    CPPUNIT_ASSERT_EQUAL(1, server.Connections());
    const std::string host = "Host: " + ToString(server.Local()) + "\r\n";
    CPPUNIT_ASSERT_EQUAL(
        "GET /health HTTP/1.1\r\n" + host +
            "Connection: keep-alive\r\n\r\n"
            "POST /claims/a%20b%0D%0AX:%20y?n=1 HTTP/1.1\r\n" +
            host +
            "Connection: close\r\nDeadline-Ms: 250\r\nCall-Id: 9\r\n"
            "Content-Length: 2\r\n\r\nhi",
        server.Everything());
  }

  void OtherServiceGetsNothingOfTheCall() {
    FakeHttpServer server(kNoContent, AfterRequest::kAnswer);
    server.SetService(kDiagrams);
    ServerClient client(server.Local(), this->counters);
    client.Start(kStart, MakeClaimsCall(9));
    const ServerUpdates news = WaitForNews(client, server);
    CPPUNIT_ASSERT(news.results.at(0).status ==
                   ServerCallStatus::kWrongService);
    CPPUNIT_ASSERT(news.results.at(0).id == CallId{9});
    CPPUNIT_ASSERT_EQUAL(0, news.results.at(0).http_status);
    CPPUNIT_ASSERT(news.results.at(0).body.empty());
    this->AssertOnlyHealth(client, server);
  }

  void NameIsAskedOnEachNewConnection() {
    FakeHttpServer server(kNoContent, AfterRequest::kAnswer);
    ServerClient client(server.Local(), this->counters);
    for (int i = 0; i < 4; ++i) {
      const bool right = i % 2 == 0;
      server.SetService(right ? kClaims : kDiagrams);
      client.Start(kStart, MakeClaimsCall(1));
      CPPUNIT_ASSERT(WaitForStatus(client, server) ==
                     (right ? ServerCallStatus::kAnswered
                            : ServerCallStatus::kWrongService));
    }
    CPPUNIT_ASSERT_EQUAL(4, server.Connections());
    CPPUNIT_ASSERT_EQUAL(std::size_t{4},
                         CountIn(server.Everything(), "GET /health "));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                         CountIn(server.Everything(), "POST /claims"));
  }

  void KeptConnectionStaysProved() {
    FakeHttpServer server(kNoContent, AfterRequest::kAnswer);
    server.SetService(kClaims);
    ServerClient client(server.Local(), this->counters);
    ServerCall safe = MakeClaimsCall(1);
    safe.new_connection = false;
    for (int i = 0; i < 3; ++i) {
      client.Start(kStart, safe);
      CPPUNIT_ASSERT(WaitForStatus(client, server) ==
                     ServerCallStatus::kAnswered);
    }
    CPPUNIT_ASSERT_EQUAL(1, server.Connections());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         CountIn(server.Everything(), "GET /health "));
  }

  void KeptConnectionIsProvedForItsServiceOnly() {
    FakeHttpServer server(kNoContent, AfterRequest::kAnswer);
    server.SetService(kClaims);
    ServerClient client(server.Local(), this->counters);
    ServerCall safe = MakeClaimsCall(1);
    safe.new_connection = false;
    client.Start(kStart, safe);
    WaitForNews(client, server);
    safe.service = kDiagrams;
    client.Start(kStart, safe);
    CPPUNIT_ASSERT(WaitForStatus(client, server) ==
                   ServerCallStatus::kWrongService);
    CPPUNIT_ASSERT_EQUAL(2, server.Connections());
  }

  // The address passes to another service, seen before the call and after it
  // took the connection. In the second case the server may have had the call.
  void ReplacedConnectionIsProvedAgain() {
    for (const bool before : {true, false}) {
      FakeHttpServer server(kNoContent, AfterRequest::kAnswer);
      server.SetService(kClaims);
      ServerClient client(server.Local(), this->counters);
      ServerCall safe = MakeClaimsCall(1);
      safe.new_connection = false;
      client.Start(kStart, safe);
      WaitForNews(client, server);
      server.SetService(kDiagrams);
      if (before) {
        server.CloseConnection();
      }
      client.Start(kStart, safe);
      if (!before) {
        server.CloseConnection();
      }
      CPPUNIT_ASSERT(WaitForStatus(client, server) ==
                     (before ? ServerCallStatus::kWrongService
                             : ServerCallStatus::kBroken));
      CPPUNIT_ASSERT_EQUAL(2, server.Connections());
      CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                           CountIn(server.Everything(), "POST "));
    }
  }

  void CloseAfterTheNameIsNotSent() {
    FakeHttpServer server(kNoContent, AfterRequest::kAnswer);
    server.SetService(kClaims, /*close_after_health=*/true);
    this->ExpectNotSent(server);
    const std::string body =
        R"({"service":"workshops/claims","state":"serving"})";
    server.SetHealthAnswer(
        "HTTP/1.1 200 OK\r\nConnection: close\r\n"
        "Content-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body);
    this->ExpectNotSent(server);
  }

  void AnswerWithoutNameIsNotSent() {
    FakeHttpServer server(kNoContent, AfterRequest::kAnswer);
    for (const char* answer :
         {"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
          "SSH-2.0-nonsense\r\n\r\n"}) {
      server.SetHealthAnswer(answer);
      this->ExpectNotSent(server);
    }
  }

  void SilenceAboutTheNameIsNotSent() {
    FakeHttpServer server("", AfterRequest::kSilent);
    ServerClient client(server.Local(), this->counters);
    client.Start(kStart, MakeClaimsCall(9));
    StepUntil(client, server, "GET /health ");
    const ServerUpdates news = StepBoth(client, server, kDeadline);
    CPPUNIT_ASSERT(news.results.at(0).status == ServerCallStatus::kNotSent);
    this->AssertOnlyHealth(client, server);
  }

  void SilenceAfterTheNameTimesOut() {
    FakeHttpServer server("", AfterRequest::kSilent);
    server.SetService(kClaims);
    ServerClient client(server.Local(), this->counters);
    client.Start(kStart, MakeClaimsCall(9));
    StepUntil(client, server, "POST /claims");
    const ServerUpdates news = StepBoth(client, server, kDeadline);
    CPPUNIT_ASSERT(news.results.at(0).status == ServerCallStatus::kTimedOut);
  }

  void TimeOfTheProofIsTakenFromTheDeadline() {
    FakeHttpServer server(kNoContent, AfterRequest::kAnswer);
    server.SetService(kClaims);
    ServerClient client(server.Local(), this->counters);
    client.Start(kStart, MakeClaimsCall(9));
    StepUntil(client, server, "GET /health ");
    const TimePoint later = kStart + Duration(100000);
    for (int i = 0;
         i < kMaxSteps && server.Everything().find("POST") == std::string::npos;
         ++i) {
      StepBoth(client, server, later);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         CountIn(server.Received(), "Deadline-Ms: 150\r\n"));
  }

  void CancelBeforeTheNameSendsNothing() {
    FakeHttpServer server("", AfterRequest::kSilent);
    ServerClient client(server.Local(), this->counters);
    client.Start(kStart, MakeClaimsCall(9));
    StepUntil(client, server, "GET /health ");
    client.Cancel(kStart, CallId{9});
    CPPUNIT_ASSERT(WaitForStatus(client, server) ==
                   ServerCallStatus::kCancelled);
    this->AssertOnlyHealth(client, server);
    CPPUNIT_ASSERT_EQUAL(1, server.Connections());
  }

  void CancelReachesNoOtherService() {
    FakeHttpServer server("", AfterRequest::kSilent);
    server.SetService(kClaims);
    ServerClient client(server.Local(), this->counters);
    client.Start(kStart, MakeClaimsCall(9));
    StepUntil(client, server, "POST /claims");
    server.SetService(kDiagrams);
    client.Cancel(kStart, CallId{9});
    StepUntil(client, server, "POST /cancel", kQuietSteps);
    CPPUNIT_ASSERT_EQUAL(2, server.Connections());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, CountIn(server.Everything(), "POST "));
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
  // Nothing but one GET /health came, and nothing comes later.
  void AssertOnlyHealth(ServerClient& client, FakeHttpServer& server) {
    StepUntil(client, server, "POST", kQuietSteps);
    CPPUNIT_ASSERT_EQUAL(
        "GET /health HTTP/1.1\r\nHost: " + ToString(server.Local()) +
            "\r\nConnection: keep-alive\r\n\r\n",
        server.Everything());
  }

  void ExpectNotSent(FakeHttpServer& server) {
    ServerClient client(server.Local(), this->counters);
    client.Start(kStart, MakeClaimsCall(9));
    CPPUNIT_ASSERT(WaitForStatus(client, server) == ServerCallStatus::kNotSent);
    StepUntil(client, server, "POST", kQuietSteps);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, CountIn(server.Everything(), "POST"));
  }

  ShellCounters counters;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerClientTest);

}  // namespace
}  // namespace cactuscross
