#ifndef CACTUSCROSS_TESTS_STANDIN_STANDIN_SUPPORT_H_
#define CACTUSCROSS_TESTS_STANDIN_STANDIN_SUPPORT_H_

// Code shared by the stand-ins: UDP sockets, an HTTP server, delayed tasks, and
// the bodies that the backend server stand-in returns and the load stand-in
// checks.

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

// Maximum size of an HTTP message: a body of 1 MiB and 64 KiB for headers.
inline constexpr std::size_t kMaxHttpBytes = (1U << 20U) + 65536;

// Parses the command line according to `description`. Prints the help text and
// returns nothing for --help and for errors.
std::optional<Options> ParseOptions(
    int argc,
    char** argv,
    const boost::program_options::options_description& description);

// Parses "a.b.c.d" or "a.b.c.d:port"; throws std::invalid_argument.
Endpoint ParseEndpoint(const std::string& text);

// Formats the address without the port.
std::string AddressText(const Endpoint& endpoint);

// Opens a non-blocking UDP socket at `endpoint`; throws std::system_error.
int OpenUdpSocket(const Endpoint& endpoint);

// A received datagram with its sender.
struct Datagram {
  Endpoint from;
  Bytes bytes;
};

// Returns nothing if no datagram is pending.
std::optional<Datagram> ReceiveDatagram(int socket);
void SendDatagram(int socket, const Endpoint& to, ByteView bytes);

// Runs tasks after a delay, on its own thread.
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

// A response that any thread may send, also after the handler has returned.
class HttpReply {
 public:
  explicit HttpReply(Pistache::Http::ResponseWriter writer)
      : writer(std::make_shared<Pistache::Http::ResponseWriter>(
            std::move(writer))) {}

  void Send(int status, const std::string& body) const;
  void SendJson(const Json& body) const { this->Send(200, body.dump()); }
  // Sends status 503 with "Not-Run: 1" and "Retry-After: 1".
  void SendNotRun(const std::string& reason) const;

 private:
  std::shared_ptr<Pistache::Http::ResponseWriter> writer;
};

// The parts of an HTTP request that the stand-ins use.
struct HttpCall {
  std::string method;  // "GET", "PUT", ...
  std::string path;
  std::string body;
  Pistache::Http::Uri::Query query;
  std::string call_id;  // header Call-Id; identifies a call to cancel

  std::string Query(const std::string& name,
                    const std::string& fallback = "") const {
    return this->query.get(name).value_or(fallback);
  }
};

using HttpHandler = std::function<void(const HttpCall&, const HttpReply&)>;

// Serves HTTP on its own threads until it is destroyed.
class HttpServer {
 public:
  HttpServer(const Endpoint& address, int threads, HttpHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

 private:
  std::unique_ptr<Pistache::Http::Endpoint> endpoint;
};

// BlockStopSignals() must be called before any thread starts;
// WaitForStopSignal() then blocks until SIGTERM or SIGINT.
void BlockStopSignals();
void WaitForStopSignal();
bool StopSignalPending();

// Returns the body of /diagrams/`number`, which depends only on the service and
// the number. Its size depends on the number modulo 4: 300 bytes for 0, 1 MiB
// for 3, in between for 1 and 2.
std::string DiagramBody(std::string_view service, std::uint32_t number);

// Returns the value of `key` in a body that starts with lines "key=value", or
// an empty string.
std::string BodyField(std::string_view body, std::string_view key);

// Entry points of the roles; argv[0] is the name of the role.
int RunFabric(int argc, char** argv);
int RunPlatform(int argc, char** argv);
int RunServer(int argc, char** argv);
int RunLoad(int argc, char** argv);

}  // namespace cactuscross::standin

#endif  // CACTUSCROSS_TESTS_STANDIN_STANDIN_SUPPORT_H_
