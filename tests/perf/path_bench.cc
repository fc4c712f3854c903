// Compares the path caller - balancer - agent with plain UDP relays that have
// the same number of hops. Roles: `relay` forwards datagrams and returns the
// answers, `echo` sends each datagram back to its source, `load` sends CoAP
// requests and prints one JSON object. Started by tests/perf/bench_path.py.

#include <poll.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "src/config/value_parser.h"
#include "src/shell/system.h"
#include "src/shell/udp_socket.h"
#include "src/wire/coap_codec.h"

namespace cactuscross {
namespace {

constexpr int kPollMs = 10;
// Time after which a request without an answer counts as lost, in microseconds.
constexpr Duration kLossTimeout{1000000};
// Message IDs are reused. A repeated POST gets the ticket that was issued to it
// before, so a few Message IDs keep the agent's ticket store small. A repeated
// GET would not reach the server, so GETs use all Message IDs.
constexpr std::size_t kPostMessageIds = 32;
constexpr std::size_t kGetMessageIds = 65536;

UdpSocket OpenOrExit(const Endpoint& local) {
  auto socket = UdpSocket::Open(local);
  if (!socket) {
    std::cerr << "cannot bind a UDP socket to " << ToString(local) << "\n";
    std::exit(1);
  }
  return *std::move(socket);
}

void WaitReadable(const std::vector<const UdpSocket*>& sockets) {
  std::vector<pollfd> entries;
  entries.reserve(sockets.size());
  for (const UdpSocket* socket : sockets) {
    entries.push_back({socket->Get(), POLLIN, 0});
  }
  poll(entries.data(), entries.size(), kPollMs);
}

OutgoingDatagram Copy(const ReceivedDatagram& datagram,
                      const Endpoint& destination) {
  return {destination, Bytes(datagram.bytes.begin(), datagram.bytes.end())};
}

// Sends every datagram back to its source.
int RunEcho(const Endpoint& listen) {
  const UdpSocket socket = OpenOrExit(listen);
  StopSignal stop;
  while (!stop.Check()) {
    WaitReadable({&socket});
    std::vector<OutgoingDatagram> answers;
    for (const ReceivedDatagram& datagram : socket.Receive()) {
      answers.push_back(Copy(datagram, datagram.source));
    }
    socket.Send(answers);
  }
  return 0;
}

// Forwards datagrams to `upstream` and its answers to the most recent caller,
// which suffices because the load is a single caller.
int RunRelay(const Endpoint& listen, const Endpoint& upstream) {
  const UdpSocket caller_socket = OpenOrExit(listen);
  const UdpSocket upstream_socket = OpenOrExit(Endpoint{listen.address, 0});
  StopSignal stop;
  Endpoint caller;
  while (!stop.Check()) {
    WaitReadable({&caller_socket, &upstream_socket});
    std::vector<OutgoingDatagram> to_upstream;
    for (const ReceivedDatagram& datagram : caller_socket.Receive()) {
      caller = datagram.source;
      to_upstream.push_back(Copy(datagram, upstream));
    }
    upstream_socket.Send(to_upstream);
    std::vector<OutgoingDatagram> to_caller;
    for (const ReceivedDatagram& datagram : upstream_socket.Receive()) {
      to_caller.push_back(Copy(datagram, caller));
    }
    caller_socket.Send(to_caller);
  }
  return 0;
}

struct LoadOptions {
  Endpoint target;
  CoapMessage request;
  std::size_t requests = 0;
  std::size_t window = 1;            // max requests in flight
  std::size_t message_id_count = 1;  // distinct Message IDs and Tokens
};

// One caller that keeps a window of requests in flight and matches answers by
// their Message ID.
class Load {
 public:
  explicit Load(LoadOptions options)
      : options(std::move(options)),
        socket(OpenOrExit(Endpoint{this->options.target.address, 0})) {}

  nlohmann::json Run() {
    const TimePoint started_at = MonotonicNow();
    while (this->latencies.size() + this->lost < this->options.requests) {
      this->SendWindow();
      WaitReadable({&this->socket});
      this->ReceiveAnswers();
      this->DropTimedOut();
    }
    return this->Report(MonotonicNow() - started_at);
  }

 private:
  void SendWindow() {
    std::vector<OutgoingDatagram> datagrams;
    while (this->in_flight.size() < this->options.window &&
           this->sent < this->options.requests) {
      CoapMessage message = this->options.request;
      message.message_id = static_cast<std::uint16_t>(
          this->sent % this->options.message_id_count);
      message.token = {static_cast<std::uint8_t>(message.message_id >> 8U),
                       static_cast<std::uint8_t>(message.message_id)};
      datagrams.push_back({this->options.target, EncodeCoap(message)});
      this->in_flight[message.message_id] = MonotonicNow();
      ++this->sent;
    }
    this->socket.Send(datagrams);
  }

  void ReceiveAnswers() {
    for (const ReceivedDatagram& datagram : this->socket.Receive()) {
      const TimePoint now = MonotonicNow();
      const auto header = DecodeCoapHeader(datagram.bytes);
      if (!header) {
        continue;
      }
      const auto found = this->in_flight.find(header->message_id);
      if (found != this->in_flight.end()) {
        this->latencies.push_back((now - found->second).count());
        this->in_flight.erase(found);
        ++this->codes[static_cast<int>(header->code)];
      }
    }
  }

  void DropTimedOut() {
    const TimePoint now = MonotonicNow();
    for (auto it = this->in_flight.begin(); it != this->in_flight.end();) {
      const bool timed_out = it->second + kLossTimeout <= now;
      this->lost += timed_out ? 1 : 0;
      it = timed_out ? this->in_flight.erase(it) : std::next(it);
    }
  }

  nlohmann::json Report(Duration elapsed) {
    std::sort(this->latencies.begin(), this->latencies.end());
    const auto quantile = [this](double q) {
      const auto index = static_cast<std::size_t>(
          q * static_cast<double>(this->latencies.size()));
      return this->latencies.empty()
                 ? 0
                 : this->latencies[std::min(index, this->latencies.size() - 1)];
    };
    nlohmann::json codes = nlohmann::json::object();
    for (const auto& [code, count] : this->codes) {
      codes[std::to_string(code >> 5) + "." + std::to_string(code & 31)] =
          count;
    }
    return {{"answered", this->latencies.size()},
            {"lost", this->lost},
            {"codes", codes},
            {"per_second", static_cast<double>(this->latencies.size()) * 1e6 /
                               static_cast<double>(elapsed.count())},
            {"p50_us", quantile(0.5)},
            {"p99_us", quantile(0.99)}};
  }

  LoadOptions options;
  UdpSocket socket;
  std::map<std::uint16_t, TimePoint> in_flight;
  std::map<int, std::uint64_t> codes;
  std::vector<std::int64_t> latencies;
  std::size_t sent = 0;
  std::size_t lost = 0;
};

Endpoint EndpointOrExit(const char* text) {
  const auto endpoint = ParseEndpoint(text);
  if (!endpoint) {
    std::cerr << "invalid address: " << text << "\n";
    std::exit(2);
  }
  return *endpoint;
}

int RunLoad(char** argv) {
  LoadOptions options;
  options.target = EndpointOrExit(argv[2]);
  const bool post = std::string_view(argv[3]) == "post";
  options.request.code = post ? CoapCode::kPost : CoapCode::kGet;
  options.request.uri_path = argv[4];
  if (post) {
    options.request.payload = Bytes(64, 'x');
  }
  options.message_id_count = post ? kPostMessageIds : kGetMessageIds;
  options.requests = static_cast<std::size_t>(std::atol(argv[5]));
  options.window = static_cast<std::size_t>(std::atol(argv[6]));
  std::cout << Load(std::move(options)).Run().dump() << std::endl;
  return 0;
}

int Run(int argc, char** argv) {
  const std::string_view role = argc > 1 ? argv[1] : "";
  if (role == "echo" && argc == 3) {
    return RunEcho(EndpointOrExit(argv[2]));
  }
  if (role == "relay" && argc == 4) {
    return RunRelay(EndpointOrExit(argv[2]), EndpointOrExit(argv[3]));
  }
  if (role == "load" && argc == 7) {
    return RunLoad(argv);
  }
  std::cerr << "usage: path_bench echo LISTEN | relay LISTEN UPSTREAM |\n"
               "       load TARGET get|post PATH REQUESTS WINDOW\n";
  return 2;
}

}  // namespace
}  // namespace cactuscross

int main(int argc, char** argv) {
  return cactuscross::Run(argc, argv);
}
