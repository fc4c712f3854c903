#include "tests/standin/standin_support.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <signal.h>
#include <unistd.h>

#include <array>
#include <iostream>
#include <stdexcept>
#include <system_error>

#include <pistache/http_headers.h>

namespace cactuscross::standin {
namespace {

constexpr std::size_t kMaxDatagramBytes = 65536;
constexpr int kSocketBufferBytes = 4 << 20;

sockaddr_in ToSocketAddress(const Endpoint& endpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(endpoint.address);
  address.sin_port = htons(endpoint.port);
  return address;
}

// Pistache only writes headers that have a class of their own.
class NotRunHeader : public Pistache::Http::Header::Header {
 public:
  NAME("Not-Run")
  void write(std::ostream& stream) const override { stream << "1"; }
};

class RetryAfterHeader : public Pistache::Http::Header::Header {
 public:
  NAME("Retry-After")
  void write(std::ostream& stream) const override { stream << "1"; }
};

class PistacheHandler : public Pistache::Http::Handler {
 public:
  HTTP_PROTOTYPE(PistacheHandler)

  explicit PistacheHandler(HttpHandler handler) : handler(std::move(handler)) {}

  void onRequest(const Pistache::Http::Request& request,
                 Pistache::Http::ResponseWriter writer) override {
    HttpCall call;
    call.method = Pistache::Http::methodString(request.method());
    call.path = request.resource();
    call.body = request.body();
    call.query = request.query();
    const auto call_id = request.headers().tryGetRaw("Call-Id");
    if (call_id) {
      call.call_id = call_id->value();
    }
    const HttpReply reply(std::move(writer));
    try {
      this->handler(call, reply);
    } catch (const std::exception& error) {
      reply.Send(400, error.what());
    }
  }

 private:
  HttpHandler handler;
};

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

}  // namespace

std::optional<Options> ParseOptions(
    int argc,
    char** argv,
    const boost::program_options::options_description& description) {
  namespace po = boost::program_options;
  Options options;
  try {
    po::store(po::parse_command_line(argc, argv, description), options);
    po::notify(options);
  } catch (const po::error& error) {
    std::cerr << error.what() << "\n" << description;
    return std::nullopt;
  }
  if (options.count("help") != 0) {
    std::cout << description;
    return std::nullopt;
  }
  return options;
}

Endpoint ParseEndpoint(const std::string& text) {
  const std::size_t colon = text.find(':');
  in_addr address{};
  if (inet_pton(AF_INET, text.substr(0, colon).c_str(), &address) != 1) {
    throw std::invalid_argument("invalid address " + text);
  }
  Endpoint endpoint;
  endpoint.address = ntohl(address.s_addr);
  if (colon != std::string::npos) {
    endpoint.port =
        static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1)));
  }
  return endpoint;
}

std::string AddressText(const Endpoint& endpoint) {
  const std::string text = ToString(endpoint);
  return text.substr(0, text.find(':'));
}

int OpenUdpSocket(const Endpoint& endpoint) {
  const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in address = ToSocketAddress(endpoint);
  if (fd < 0 || bind(fd, reinterpret_cast<const sockaddr*>(&address),
                     sizeof(address)) != 0) {
    throw std::system_error(
        errno, std::generic_category(),
        "cannot open a UDP socket at " + ToString(endpoint));
  }
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &kSocketBufferBytes,
             sizeof(kSocketBufferBytes));
  return fd;
}

std::optional<Datagram> ReceiveDatagram(int socket) {
  std::array<std::uint8_t, kMaxDatagramBytes> buffer;
  sockaddr_in from{};
  socklen_t from_size = sizeof(from);
  const ssize_t size = recvfrom(socket, buffer.data(), buffer.size(), 0,
                                reinterpret_cast<sockaddr*>(&from), &from_size);
  if (size < 0) {
    return std::nullopt;
  }
  Datagram datagram;
  datagram.from.address = ntohl(from.sin_addr.s_addr);
  datagram.from.port = ntohs(from.sin_port);
  datagram.bytes.assign(buffer.begin(), buffer.begin() + size);
  return datagram;
}

void SendDatagram(int socket, const Endpoint& to, ByteView bytes) {
  const sockaddr_in address = ToSocketAddress(to);
  // A failed send (full buffer, closed port) counts as a lost datagram.
  sendto(socket, bytes.data(), bytes.size(), 0,
         reinterpret_cast<const sockaddr*>(&address), sizeof(address));
}

DelayedTasks::DelayedTasks() : thread([this] { this->Loop(); }) {}

DelayedTasks::~DelayedTasks() {
  {
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
  }
  this->changed.notify_all();
  this->thread.join();
}

void DelayedTasks::RunAfter(std::chrono::milliseconds delay,
                            std::function<void()> task) {
  {
    const std::lock_guard lock(this->mutex);
    this->tasks.emplace(Clock::now() + delay, std::move(task));
  }
  this->changed.notify_all();
}

void DelayedTasks::Loop() {
  std::unique_lock lock(this->mutex);
  while (!this->stopping) {
    if (this->tasks.empty()) {
      this->changed.wait(lock);
      continue;
    }
    const auto first = this->tasks.begin();
    if (first->first > Clock::now()) {
      const Clock::time_point due = first->first;
      this->changed.wait_until(lock, due);
      continue;
    }
    const std::function<void()> task = std::move(first->second);
    this->tasks.erase(first);
    lock.unlock();
    task();
    lock.lock();
  }
}

void HttpReply::Send(int status, const std::string& body) const {
  this->writer->send(static_cast<Pistache::Http::Code>(status), body);
}

void HttpReply::SendNotRun(const std::string& reason) const {
  this->writer->headers().add(std::make_shared<NotRunHeader>());
  this->writer->headers().add(std::make_shared<RetryAfterHeader>());
  this->Send(503, reason);
}

HttpServer::HttpServer(const Endpoint& address,
                       int threads,
                       HttpHandler handler) {
  const Pistache::Address listen(AddressText(address),
                                 Pistache::Port(address.port));
  this->endpoint = std::make_unique<Pistache::Http::Endpoint>(listen);
  this->endpoint->init(Pistache::Http::Endpoint::options()
                           .threads(threads)
                           .flags(Pistache::Tcp::Options::ReuseAddr)
                           .maxRequestSize(kMaxHttpBytes)
                           .maxResponseSize(kMaxHttpBytes));
  this->endpoint->setHandler(
      std::make_shared<PistacheHandler>(std::move(handler)));
  this->endpoint->serveThreaded();
}

HttpServer::~HttpServer() {
  this->endpoint->shutdown();
}

void BlockStopSignals() {
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
}

void WaitForStopSignal() {
  const sigset_t signals = StopSignals();
  int signal_number = 0;
  sigwait(&signals, &signal_number);
}

bool StopSignalPending() {
  sigset_t pending;
  sigpending(&pending);
  return sigismember(&pending, SIGTERM) == 1 ||
         sigismember(&pending, SIGINT) == 1;
}

std::string DiagramBody(std::string_view service, std::uint32_t number) {
  constexpr std::array<std::size_t, 4> kSizes = {300, 3000, 70000, 1048576};
  const std::size_t size = kSizes[number % kSizes.size()];
  std::string body = "service=" + std::string(service) +
                     "\ndiagram=" + std::to_string(number) + "\n";
  body.reserve(size);
  std::uint32_t state = number * 2654435761U + 1;
  while (body.size() < size) {
    state = state * 1664525U + 1013904223U;
    body.push_back(static_cast<char>('a' + (state >> 24U) % 26));
  }
  return body;
}

std::string BodyField(std::string_view body, std::string_view key) {
  std::size_t start = 0;
  while (start < body.size()) {
    std::size_t end = body.find('\n', start);
    end = end == std::string_view::npos ? body.size() : end;
    const std::string_view line = body.substr(start, end - start);
    if (line.size() > key.size() && line[key.size()] == '=' &&
        line.substr(0, key.size()) == key) {
      return std::string(line.substr(key.size() + 1));
    }
    start = end + 1;
  }
  return "";
}

}  // namespace cactuscross::standin
