#ifndef CACTUSCROSS_TESTS_STANDIN_STANDIN_SUPPORT_H_
#define CACTUSCROSS_TESTS_STANDIN_STANDIN_SUPPORT_H_

// What the stand-ins share: sockets, an HTTP server, delayed work and the
// content that a backend server stand-in returns and a load checks.

#include <sys/socket.h>

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

#include <pistache/endpoint.h>
#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include "cactuscross/types.h"

namespace cactuscross::standin {

using Clock = std::chrono::steady_clock;
using Json = nlohmann::json;
using Options = boost::program_options::variables_map;

// Largest body of a request or response, bytes, with room for headers.
inline constexpr std::size_t kMaxHttpBytes = (1U << 20U) + 65536;

// Parses the command line by `description`; prints help and returns nothing
// for --help and for errors.
std::optional<Options> ParseOptions(
    int argc,
    char** argv,
    const boost::program_options::options_description& description);

// Parses "a.b.c.d:port"; throws std::invalid_argument.
Endpoint ParseEndpoint(const std::string& text);

// Formats the address without port.
std::string AddressText(const Endpoint& endpoint);

// Opens a non-blocking UDP socket at `endpoint`; throws std::system_error.
int OpenUdpSocket(const Endpoint& endpoint);

// A datagram with its sender.
struct Datagram {
  Endpoint from;
  Bytes bytes;
};

// Returns nothing when no datagram waits.
std::optional<Datagram> ReceiveDatagram(int socket);
void SendDatagram(int socket, const Endpoint& to, ByteView bytes);

// Runs functions later, on one thread of its own.
class DelayedTasks {
 public:
  DelayedTasks();
  ~DelayedTasks();
  DelayedTasks(const DelayedTasks&) = delete;
  DelayedTasks& operator=(const DelayedTasks&) = delete;

  void RunAfter(std::chrono::milliseconds delay, std::function<void()> task);

 private:
  void Loop();

  std::mutex mutex;
  std::condition_variable changed;
  std::multimap<Clock::time_point, std::function<void()>> tasks;
  bool stopping = false;
  std::thread thread;
};

// An answer that may be given after the handler returned, by any thread.
class HttpReply {
 public:
  explicit HttpReply(Pistache::Http::ResponseWriter writer)
      : writer(std::make_shared<Pistache::Http::ResponseWriter>(
            std::move(writer))) {}

  void Send(int status, const std::string& body) const;
  void SendJson(const Json& body) const { this->Send(200, body.dump()); }
  // Refuses with 503, "Not-Run: 1" and "Retry-After: 1".
  void SendNotRun(const std::string& reason) const;

 private:
  std::shared_ptr<Pistache::Http::ResponseWriter> writer;
};

// A request reduced to what the stand-ins use.
struct HttpCall {
  std::string method;  // "GET", "PUT", ...
  std::string path;
  std::string body;
  Pistache::Http::Uri::Query query;
  std::string call_id;  // header Call-Id

  std::string Query(const std::string& name,
                    const std::string& fallback = "") const {
    return this->query.get(name).value_or(fallback);
  }
};

using HttpHandler = std::function<void(const HttpCall&, const HttpReply&)>;

// Serves HTTP on threads of its own until destroyed.
class HttpServer {
 public:
  HttpServer(const Endpoint& address, int threads, HttpHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

 private:
  std::unique_ptr<Pistache::Http::Endpoint> endpoint;
};

// Blocks until SIGTERM or SIGINT. BlockStopSignals() comes first, before any
// thread starts.
void BlockStopSignals();
void WaitForStopSignal();
bool StopSignalPending();

// The body of /diagrams/`number`: from 300 bytes to 1 MiB, always the same.
std::string DiagramBody(std::string_view service, std::uint32_t number);

// The value of `key` in a body that starts with lines "key=value".
std::string BodyField(std::string_view body, std::string_view key);

// Each role of the program; `argv` starts with the role.
int RunFabric(int argc, char** argv);
int RunPlatform(int argc, char** argv);
int RunServer(int argc, char** argv);
int RunLoad(int argc, char** argv);

}  // namespace cactuscross::standin

#endif  // CACTUSCROSS_TESTS_STANDIN_STANDIN_SUPPORT_H_
