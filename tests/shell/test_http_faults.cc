#include <cppunit/extensions/HelperMacros.h>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "platform/store_client.h"
#include "src/shell/flow/http_listener.h"
#include "src/shell/http_client.h"
#include "src/shell/server_client.h"
#include "src/shell/socket_address.h"
#include "tests/shell/fake_http_server.h"

namespace cactuscross {
namespace {

using testing::AfterRequest;
using testing::FakeHttpServer;

constexpr TimePoint kStart{Duration(1000000)};
constexpr TimePoint kDeadline{Duration(2000000)};
constexpr std::size_t kMaxBodyBytes = 1000;
// Max number of steps in which an exchange must end, and the time of each.
constexpr int kMaxSteps = 2000;
constexpr useconds_t kStepUs = 1000;

// An exchange over a connection whose other end the test holds.
class ExchangeOverPair {
 public:
  ExchangeOverPair() {
    std::array<int, 2> ends{};
    socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends.data());
    this->server = FileDescriptor(ends[0]);
    HttpRequest request;
    request.method = "GET";
    request.target = "/claims";
    request.max_body_bytes = kMaxBodyBytes;
    request.keep_alive = true;
    this->exchange.emplace(std::move(request), kDeadline,
                           FileDescriptor(ends[1]));
    this->exchange->Continue(kStart, POLLOUT);
  }

  // The server sends `bytes`, which the exchange receives at once.
  void Send(const std::string& bytes) {
    send(this->server.Get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    this->exchange->Continue(kStart, POLLIN);
  }

  // The server closes the connection.
  void Close() {
    this->server.Close();
    this->exchange->Continue(kStart, POLLIN);
  }

  FileDescriptor server;
  std::optional<HttpExchange> exchange;
};

// Returns the response to which `bytes`, sent in pieces of `piece_size`, and
// the end of the connection lead.
HttpResponse ResponseTo(const std::string& bytes, std::size_t piece_size) {
  ExchangeOverPair pair;
  for (std::size_t at = 0; at < bytes.size(); at += piece_size) {
    pair.Send(bytes.substr(at, piece_size));
  }
  pair.Close();
  return pair.exchange->Response();
}

// Opens a connection to `server` and sends `bytes`.
FileDescriptor ConnectAndSend(const Endpoint& server,
                              const std::string& bytes) {
  FileDescriptor client(::socket(AF_INET, SOCK_STREAM, 0));
  const sockaddr_in address = ToSocketAddress(server);
  CPPUNIT_ASSERT_EQUAL(
      0, connect(client.Get(), reinterpret_cast<const sockaddr*>(&address),
                 sizeof(address)));
  send(client.Get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
  return client;
}

// Faults of HTTP servers and clients: messages that break off, arrive twice or
// in parts, or are not HTTP.
class HttpFaultsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpFaultsTest);
  CPPUNIT_TEST(AnswerMayArriveInParts);
  CPPUNIT_TEST(AnswerThatBreaksOffIsBroken);
  CPPUNIT_TEST(MalformedAnswerIsBroken);
  CPPUNIT_TEST(AnswerWithoutBodyIsComplete);
  CPPUNIT_TEST(HugeLengthIsTooLong);
  CPPUNIT_TEST(SurplusBytesEndTheConnection);
  CPPUNIT_TEST(RandomAnswersEndTheExchange);
  CPPUNIT_TEST(SecondCopyIsNoAnswerToTheNextStoreCall);
  CPPUNIT_TEST(AnswerToAnotherCallIsBroken);
  CPPUNIT_TEST(TruncatedBodyIsMarked);
  CPPUNIT_TEST(RequestMayArriveInParts);
  CPPUNIT_TEST(HostileRequestsDoNotStopTheListener);
  CPPUNIT_TEST_SUITE_END();

 public:
  // An answer must not be lost because of the segments in which it arrives:
  // the server has run the request.
  void AnswerMayArriveInParts() {
    for (const std::string& answer : CompleteAnswers()) {
      for (std::size_t size = 1; size <= answer.size(); ++size) {
        const HttpResponse response = ResponseTo(answer, size);
        CPPUNIT_ASSERT_MESSAGE(answer,
                               response.status == ServerCallStatus::kAnswered);
        CPPUNIT_ASSERT_EQUAL(200, response.code);
        CPPUNIT_ASSERT_EQUAL(std::string("first"), response.body);
      }
    }
  }

  void AnswerThatBreaksOffIsBroken() {
    for (const std::string& answer : CompleteAnswers()) {
      for (std::size_t size = 0; size < answer.size(); ++size) {
        const HttpResponse response =
            ResponseTo(answer.substr(0, size), answer.size());
        CPPUNIT_ASSERT_MESSAGE(answer.substr(0, size),
                               response.status == ServerCallStatus::kBroken);
      }
    }
  }

  // None of these tells where the answer ends.
  void MalformedAnswerIsBroken() {
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
    const std::vector<std::string> answers = {
        ok + "\r\nfirst",
        ok + "Content-Length: x\r\n\r\nfirst",
        ok + "Content-Length: 5x\r\n\r\nfirst",
        ok + "Content-Length: -5\r\n\r\nfirst",
        ok + "Content-Length: +5\r\n\r\nfirst",
        ok + "Content-Length: \r\n\r\nfirst",
        ok + "Content-Length: 18446744073709551621\r\n\r\nfirst",
        ok + "Content-Length: 5\r\nContent-Length: 9\r\n\r\nfirst",
        ok + "Content-Length: 9\r\nContent-Length: 5\r\n\r\nfirst",
        ok + "Content-Length : 5\r\n\r\nfirst",
        ok + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\nfirst",
        ok + "Transfer-Encoding: identity\r\n\r\nfirst",
        ok + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        chunked + "zz\r\nabc\r\n0\r\n\r\n",
        chunked + "-3\r\nabc\r\n0\r\n\r\n",
        chunked + "\r\nabc\r\n0\r\n\r\n",
        chunked + "3\r\nabcde\r\n0\r\n\r\n",
        chunked + "FFFFFFFFFFFFFFFFFF\r\nabc\r\n0\r\n\r\n",
        "HTTP/1.1 -200 OK\r\nContent-Length: 5\r\n\r\nfirst",
        "HTTP/1.1 999 OK\r\nContent-Length: 5\r\n\r\nfirst",
        "HTTP/1.1 101 Switching Protocols\r\nContent-Length: 0\r\n\r\n",
        "HTTP/2 200 OK\r\nContent-Length: 5\r\n\r\nfirst",
        ok + std::string(20000, 'x')};
    for (const std::string& answer : answers) {
      const HttpResponse response = ResponseTo(answer, answer.size());
      CPPUNIT_ASSERT_MESSAGE(answer,
                             response.status == ServerCallStatus::kBroken);
      CPPUNIT_ASSERT_MESSAGE(answer, response.malformed);
    }
  }

  // 304 names the length of a body that it does not have.
  void AnswerWithoutBodyIsComplete() {
    for (const int code : {204, 304}) {
      const std::string answer = "HTTP/1.1 " + std::to_string(code) +
                                 " X\r\nContent-Length: 5\r\n\r\n";
      const HttpResponse response = ResponseTo(answer, answer.size());
      CPPUNIT_ASSERT(response.status == ServerCallStatus::kAnswered);
      CPPUNIT_ASSERT_EQUAL(code, response.code);
      CPPUNIT_ASSERT(response.body.empty());
    }
  }

  // The announced length must not be allocated before the bytes arrive.
  void HugeLengthIsTooLong() {
    const std::vector<std::string> answers = {
        "HTTP/1.1 200 OK\r\nContent-Length: 18446744073709551615\r\n\r\nfirst",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nFFFFFFFF\r\nab"};
    for (const std::string& answer : answers) {
      const HttpResponse response = ResponseTo(answer, answer.size());
      CPPUNIT_ASSERT(response.status == ServerCallStatus::kAnswered);
      CPPUNIT_ASSERT_EQUAL(kMaxBodyBytes + 1, response.body.size());
    }
  }

  // What follows an answer may be a second copy of it, which must not become
  // the answer to the next request on the connection.
  void SurplusBytesEndTheConnection() {
    for (const std::string& answer : CompleteAnswers()) {
      ExchangeOverPair exact;
      exact.Send(answer);
      CPPUNIT_ASSERT(exact.exchange->TakeConnection().IsOpen());
      for (const std::string& surplus : {std::string("x"), answer}) {
        ExchangeOverPair pair;
        pair.Send(answer + surplus);
        CPPUNIT_ASSERT(pair.exchange->Response().body == "first");
        CPPUNIT_ASSERT(!pair.exchange->TakeConnection().IsOpen());
      }
    }
  }

  void RandomAnswersEndTheExchange() {
    constexpr int kAnswers = 20000;
    std::mt19937 random(1);
    const std::vector<std::string> answers = CompleteAnswers();
    for (int i = 0; i < kAnswers; ++i) {
      std::string answer = answers[random() % answers.size()];
      for (std::uint32_t changes = random() % 4; changes > 0; --changes) {
        answer[random() % answer.size()] = static_cast<char>(random());
      }
      const HttpResponse response = ResponseTo(answer, random() % 60 + 1);
      CPPUNIT_ASSERT(response.status == ServerCallStatus::kBroken ||
                     response.status == ServerCallStatus::kAnswered);
      CPPUNIT_ASSERT(response.body.size() <= kMaxBodyBytes + 1);
    }
  }

  // The store sends an answer twice, the second copy after the connection has
  // become idle. Taken for the next page of a list, it would remove all servers
  // of that page.
  void SecondCopyIsNoAnswerToTheNextStoreCall() {
    FakeHttpServer server(StoreAnswerAt(3), AfterRequest::kRespond);
    platform::StoreClient client(server.Local(), false);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, CallStore(client, server).revision);
    server.SendUnrequested(StoreAnswerAt(3));
    server.SetResponse(StoreAnswerAt(7));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, CallStore(client, server).revision);
    CPPUNIT_ASSERT_EQUAL(2, server.ConnectionCount());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, CallStore(client, server).revision);
    CPPUNIT_ASSERT_EQUAL(2, server.ConnectionCount());
  }

  // A second copy that arrives after the next call was sent can be told from
  // its answer only if the server names the call.
  void AnswerToAnotherCallIsBroken() {
    const std::pair<const char*, ServerCallStatus> cases[] = {
        {"Call-Id: 8\r\n", ServerCallStatus::kBroken},
        {"call-id: 9\r\n", ServerCallStatus::kAnswered},
        {"", ServerCallStatus::kAnswered}};
    for (const auto& [header, status] : cases) {
      FakeHttpServer server("HTTP/1.1 200 OK\r\n" + std::string(header) +
                                "Content-Length: 5\r\n\r\nfirst",
                            AfterRequest::kRespond);
      CPPUNIT_ASSERT(status == CallServer(server).status);
    }
  }

  void TruncatedBodyIsMarked() {
    for (const std::size_t surplus : {std::size_t{0}, std::size_t{1}}) {
      const std::string body(kMaxServerBodyBytes + surplus, 'x');
      FakeHttpServer server("HTTP/1.1 200 OK\r\nContent-Length: " +
                                std::to_string(body.size()) + "\r\n\r\n" + body,
                            AfterRequest::kRespond);
      const ServerResult result = CallServer(server);
      CPPUNIT_ASSERT(ServerCallStatus::kAnswered == result.status);
      CPPUNIT_ASSERT_EQUAL(surplus > 0, result.truncated);
    }
  }

  // A readiness check must not fail because of the segments in which it
  // arrives: routers remove a balancer after two failed ones.
  void RequestMayArriveInParts() {
    HttpListener listener = MakeListener();
    const FileDescriptor client = ConnectAndSend(this->listener_address, "");
    for (const char byte : std::string(kRequest)) {
      send(client.Get(), &byte, 1, MSG_NOSIGNAL);
      Serve(listener);
    }
    CPPUNIT_ASSERT(ReadAnswer(client).rfind("HTTP/1.1 200", 0) == 0);
  }

  void HostileRequestsDoNotStopTheListener() {
    HttpListener listener = MakeListener();
    std::vector<std::string> requests = {
        "",
        "\r\n\r\n",
        std::string(5000, 'x'),
        std::string(300, '\0'),
        "GET / HTTP/1.1\r\nContent-Length: x\r\n\r\n",
        "GET / HTTP/1.1\r\nContent-Length: 18446744073709551615\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nFFFFFFFFFF\r\n",
        "GET http://x:99999/ HTTP/1.1\r\nHost: x:99999\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: [\r\n\r\n",
        "GET / HTTP/1.1\r\nCookie: =;=\r\nAuthorization: \r\n\r\n"};
    std::mt19937 random(1);
    for (int i = 0; i < 300; ++i) {
      std::string request = kRequest;
      for (int change = 0; change < 3; ++change) {
        request[random() % request.size()] = static_cast<char>(random());
      }
      requests.push_back(std::move(request));
    }
    // More than the listener serves at once.
    std::vector<FileDescriptor> clients;
    for (const std::string& request : requests) {
      clients.push_back(ConnectAndSend(this->listener_address, request));
      Serve(listener);
    }
    const FileDescriptor client =
        ConnectAndSend(this->listener_address, kRequest);
    Serve(listener);
    CPPUNIT_ASSERT(ReadAnswer(client).rfind("HTTP/1.1 200", 0) == 0);
  }

 private:
  static constexpr const char* kRequest =
      "GET /readiness HTTP/1.1\r\nHost: a\r\n\r\n";
  const Endpoint listener_address =
      FakeHttpServer("", AfterRequest::kNoResponse).Local();

  // Answers with the body "first".
  static std::vector<std::string> CompleteAnswers() {
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string counted = ok + "Content-Length: 5\r\n\r\nfirst";
    const std::string chunked = ok + "Transfer-Encoding: Chunked\r\n\r\n";
    const std::string hints =
        "HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n\r\n";
    return {
        counted,
        "HTTP/1.1 200 \r\ncontent-length:5\r\nContent-Length:5\r\n\r\nfirst",
        "HTTP/1.1 200\r\nX:\r\nContent-Length:\t5 \r\n\r\nfirst",
        chunked + "3\r\nfir\r\n0002;x=y\r\nst\r\n0\r\n\r\n",
        chunked + "5\r\nfirst\r\n0\r\nTrailer: x\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\n" + hints + counted};
  }

  static std::string StoreAnswerAt(int revision) {
    const std::string body =
        R"({"items":[],"at":)" + std::to_string(revision) + "}";
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
  }

  static StoreAnswer CallStore(platform::StoreClient& client,
                               FakeHttpServer& server) {
    StoreCall call;
    call.timeout = Duration(1000000);
    client.Begin(kStart, call);
    std::vector<StoreAnswer> answers;
    for (int i = 0; i < kMaxSteps && answers.empty(); ++i) {
      server.Step();
      usleep(kStepUs);
      answers = client.Continue(kStart);
    }
    return answers.at(0);
  }

  // Returns the result of a call with the id 9.
  static ServerResult CallServer(FakeHttpServer& server) {
    ShellCounters counters;
    ServerClient client(server.Local(), counters);
    ServerCall call;
    call.id = CallId{9};
    call.timeout = Duration(1000000);
    client.Start(kStart, call);
    std::vector<ServerResult> results;
    for (int i = 0; i < kMaxSteps && results.empty(); ++i) {
      std::vector<pollfd> entries;
      client.AppendPollEntries(entries);
      poll(entries.data(), entries.size(), 1);
      results = client.Continue(kStart, entries).results;
      server.Step();
    }
    return results.at(0);
  }

  HttpListener MakeListener() const {
    return HttpListener(this->listener_address, [](std::string_view path) {
      return HttpReply{path == "/readiness" ? 200 : 404, "ready\n"};
    });
  }

  // Lets the listener handle what has arrived.
  static void Serve(HttpListener& listener) {
    for (int i = 0; i < 2; ++i) {
      std::vector<pollfd> entries;
      listener.AppendPollEntries(entries);
      PollSet poll_set;
      poll_set.Wait(std::move(entries), 1);
      listener.Continue(kStart, poll_set);
    }
  }

  static std::string ReadAnswer(const FileDescriptor& client) {
    std::array<char, 1000> buffer{};
    pollfd entry{client.Get(), POLLIN, 0};
    poll(&entry, 1, 100);
    const ssize_t count =
        recv(client.Get(), buffer.data(), buffer.size(), MSG_DONTWAIT);
    return std::string(buffer.data(), count > 0 ? count : 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpFaultsTest);

}  // namespace
}  // namespace cactuscross
