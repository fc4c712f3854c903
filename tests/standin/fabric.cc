// Stand-in for the network fabric: forwards each datagram of a caller to a
// balancer that a seeded generator draws, and may lose, duplicate and reorder
// it. It keeps one upstream socket per caller and service address, so that all
// balancers see a caller at the same address.

#include <poll.h>

#include <algorithm>
#include <atomic>
#include <iostream>
#include <random>
#include <vector>

#include "tests/standin/standin_support.h"

namespace cactuscross::standin {
namespace {

namespace po = boost::program_options;

constexpr int kPollMs = 5;
constexpr int kMaxReorderDelayMs = 50;

// Probabilities per datagram, 0 to 1.
struct Impairment {
  double loss = 0;
  double duplicate = 0;
  double reorder = 0;
};

// Path to one balancer, identified by its bind address.
struct BalancerPath {
  std::uint32_t address = 0;
  bool in_list = true;  // receives callers' datagrams
  bool cut = false;     // drops all datagrams, in both directions
  std::uint64_t datagrams_to_balancer = 0;
  std::uint64_t datagrams_from_balancer = 0;
};

struct ServiceSocket {
  Endpoint address;
  int fd = -1;
};

struct UpstreamSocket {
  Endpoint caller;
  std::size_t service = 0;
  int fd = -1;
};

struct DelayedDatagram {
  int fd = -1;
  Endpoint to;
  Bytes bytes;
};

class Fabric {
 public:
  Fabric(const std::vector<std::string>& services,
         const std::vector<std::string>& balancers,
         const Endpoint& upstream,
         const Impairment& impairment,
         std::uint64_t seed)
      : upstream(upstream), impairment(impairment), random(seed) {
    for (const std::string& text : services) {
      const Endpoint address = ParseEndpoint(text);
      this->services.push_back({address, OpenUdpSocket(address)});
    }
    this->SetBalancers(balancers);
  }

  void Run() {
    while (!StopSignalPending()) {
      std::vector<pollfd> sockets = this->PollSet();
      poll(sockets.data(), sockets.size(), kPollMs);
      const std::lock_guard lock(this->mutex);
      this->SendDueDatagrams();
      for (std::size_t i = 0; i < sockets.size(); ++i) {
        if (sockets[i].revents != 0) {
          this->DrainSocket(i);
        }
      }
    }
  }

  void HandleControl(const HttpCall& call, const HttpReply& reply) {
    const std::lock_guard lock(this->mutex);
    if (call.path == "/counts") {
      reply.SendJson(this->Counts());
      return;
    }
    if (call.path == "/balancers") {
      this->SetBalancers(Json::parse(call.body));
    } else if (call.path == "/cut" || call.path == "/heal") {
      const Endpoint endpoint = ParseEndpoint(call.Query("balancer"));
      this->FindOrAddPath(endpoint.address).cut = call.path == "/cut";
    } else if (call.path == "/options") {
      const Json options = Json::parse(call.body);
      this->impairment.loss = options.value("loss", this->impairment.loss);
      this->impairment.duplicate =
          options.value("duplicate", this->impairment.duplicate);
      this->impairment.reorder =
          options.value("reorder", this->impairment.reorder);
    } else {
      reply.Send(404, "no such control");
      return;
    }
    reply.SendJson({{"ok", true}});
  }

 private:
  std::vector<pollfd> PollSet() const {
    std::vector<pollfd> sockets;
    for (const ServiceSocket& service : this->services) {
      sockets.push_back({service.fd, POLLIN, 0});
    }
    for (const UpstreamSocket& socket : this->upstreams) {
      sockets.push_back({socket.fd, POLLIN, 0});
    }
    return sockets;
  }

  void DrainSocket(std::size_t index) {
    const bool from_caller = index < this->services.size();
    const int fd = from_caller
                       ? this->services[index].fd
                       : this->upstreams[index - this->services.size()].fd;
    while (std::optional<Datagram> datagram = ReceiveDatagram(fd)) {
      if (from_caller) {
        this->ForwardFromCaller(index, *datagram);
      } else {
        this->ForwardFromBalancer(
            this->upstreams[index - this->services.size()], *datagram);
      }
    }
  }

  void ForwardFromCaller(std::size_t service, const Datagram& datagram) {
    std::vector<BalancerPath*> candidates;
    for (BalancerPath& path : this->balancers) {
      if (path.in_list) {
        candidates.push_back(&path);
      }
    }
    if (candidates.empty()) {
      return;
    }
    const int fd = this->FindOrOpenUpstream(datagram.from, service);
    for (int copy = this->DrawCopyCount(); copy > 0; --copy) {
      BalancerPath& path = *candidates[this->random() % candidates.size()];
      if (path.cut) {
        continue;
      }
      ++path.datagrams_to_balancer;
      this->SendOrDelay({fd,
                         {path.address, this->services[service].address.port},
                         datagram.bytes});
    }
  }

  void ForwardFromBalancer(const UpstreamSocket& socket,
                           const Datagram& datagram) {
    BalancerPath& path = this->FindOrAddPath(datagram.from.address);
    if (path.cut) {
      return;
    }
    for (int copy = this->DrawCopyCount(); copy > 0; --copy) {
      ++path.datagrams_from_balancer;
      this->SendOrDelay(
          {this->services[socket.service].fd, socket.caller, datagram.bytes});
    }
  }

  int FindOrOpenUpstream(const Endpoint& caller, std::size_t service) {
    const auto key = std::make_pair(caller, service);
    const auto found = this->upstream_by_caller.find(key);
    if (found != this->upstream_by_caller.end()) {
      return found->second;
    }
    const int fd = OpenUdpSocket({this->upstream.address, 0});
    this->upstreams.push_back({caller, service, fd});
    this->upstream_by_caller[key] = fd;
    return fd;
  }

  bool Chance(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(this->random) <
           probability;
  }

  // Draws how many copies of a datagram are forwarded: 0 if it is lost, 2 if it
  // is duplicated.
  int DrawCopyCount() {
    if (this->Chance(this->impairment.loss)) {
      ++this->lost;
      return 0;
    }
    if (this->Chance(this->impairment.duplicate)) {
      ++this->duplicated;
      return 2;
    }
    return 1;
  }

  void SendOrDelay(DelayedDatagram datagram) {
    if (!this->Chance(this->impairment.reorder)) {
      SendDatagram(datagram.fd, datagram.to, datagram.bytes);
      return;
    }
    ++this->reordered;
    const auto delay =
        std::chrono::milliseconds(1 + this->random() % kMaxReorderDelayMs);
    this->delayed.emplace(Clock::now() + delay, std::move(datagram));
  }

  void SendDueDatagrams() {
    while (!this->delayed.empty() &&
           this->delayed.begin()->first <= Clock::now()) {
      const DelayedDatagram& datagram = this->delayed.begin()->second;
      SendDatagram(datagram.fd, datagram.to, datagram.bytes);
      this->delayed.erase(this->delayed.begin());
    }
  }

  BalancerPath& FindOrAddPath(std::uint32_t address) {
    const auto found =
        std::find_if(this->balancers.begin(), this->balancers.end(),
                     [address](const BalancerPath& path) {
                       return path.address == address;
                     });
    if (found != this->balancers.end()) {
      return *found;
    }
    this->balancers.push_back({address, false});
    return this->balancers.back();
  }

  void SetBalancers(const std::vector<std::string>& addresses) {
    for (BalancerPath& path : this->balancers) {
      path.in_list = false;
    }
    for (const std::string& text : addresses) {
      this->FindOrAddPath(ParseEndpoint(text).address).in_list = true;
    }
  }

  Json Counts() const {
    Json paths = Json::object();
    for (const BalancerPath& path : this->balancers) {
      paths[AddressText({path.address, 0})] = {
          {"in_list", path.in_list},
          {"cut", path.cut},
          {"to", path.datagrams_to_balancer},
          {"from", path.datagrams_from_balancer}};
    }
    return {{"balancers", paths},
            {"callers", this->upstreams.size()},
            {"lost", this->lost},
            {"doubled", this->duplicated},
            {"reordered", this->reordered}};
  }

  std::mutex mutex;
  Endpoint upstream;
  Impairment impairment;
  std::mt19937_64 random;
  std::vector<ServiceSocket> services;
  std::vector<BalancerPath> balancers;
  std::vector<UpstreamSocket> upstreams;
  std::map<std::pair<Endpoint, std::size_t>, int> upstream_by_caller;
  std::multimap<Clock::time_point, DelayedDatagram> delayed;
  std::uint64_t lost = 0;
  std::uint64_t duplicated = 0;
  std::uint64_t reordered = 0;
};

}  // namespace

int RunFabric(int argc, char** argv) {
  Impairment impairment;
  std::uint64_t seed = 1;
  std::string control;
  std::string upstream;
  std::vector<std::string> services;
  std::vector<std::string> balancers;
  po::options_description description("cactuscross_standin fabric");
  auto add = description.add_options();
  add("help", "prints this text");
  add("control", po::value(&control)->required(),
      "address of the HTTP control interface, IP:PORT");
  add("upstream", po::value(&upstream)->required(),
      "IP of the sockets that send to balancers");
  add("service", po::value(&services)->required()->composing(),
      "service address IP:PORT, may repeat");
  add("balancer", po::value(&balancers)->required()->composing(),
      "bind IP of a balancer, may repeat");
  add("loss", po::value(&impairment.loss),
      "probability that a datagram is lost, 0 to 1");
  add("duplicate", po::value(&impairment.duplicate),
      "probability that a datagram is duplicated, 0 to 1");
  add("reorder", po::value(&impairment.reorder),
      "probability that a datagram is delayed by up to 50 ms, 0 to 1");
  add("seed", po::value(&seed), "seed of the random choices");
  if (!ParseOptions(argc, argv, description)) {
    return 2;
  }
  Fabric fabric(services, balancers, ParseEndpoint(upstream), impairment, seed);
  const HttpServer server(
      ParseEndpoint(control), 1,
      [&fabric](const HttpCall& call, const HttpReply& reply) {
        fabric.HandleControl(call, reply);
      });
  std::cout << "fabric ready" << std::endl;
  fabric.Run();
  return 0;
}

}  // namespace cactuscross::standin
