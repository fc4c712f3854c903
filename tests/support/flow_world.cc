#include "tests/support/flow_world.h"

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <functional>
#include <iostream>
#include <optional>
#include <utility>

namespace cactuscross::testing {
namespace {

constexpr Duration kTick{20000};
constexpr Duration kToBalancer{1000};
constexpr Duration kBetweenHosts{500};
constexpr Duration kOnHost{50};
constexpr Duration kStoreDelay{4000};
constexpr Duration kReadinessInterval{500000};
constexpr Duration kColdFor{2000000};
constexpr double kColdFactor = 1.6;
constexpr std::array<Duration, 2> kCopiesAfter = {Duration{200000},
                                                  Duration{600000}};
constexpr Duration kOpeningLife{1400000};
constexpr Duration kFirstRetransmission{200000};
constexpr Duration kMostRetransmission{1600000};
constexpr int kMaxRetries = 2;
constexpr std::uint32_t kBalancerNet = 0x0A010000;
constexpr std::uint32_t kServerNet = 0x0A020000;
constexpr std::uint32_t kClientNet = 0x64400000;
constexpr std::uint32_t kRouteAddress = 0xC6120001;

// The packets of the model: what a codec would decode, as plain bytes.
// Each way of a slow link has a queue, as long as it takes this time to send.
constexpr Duration kLongestLinkQueue{500000};
constexpr std::size_t kDatagramHeads = 28;  // IP and UDP
constexpr std::size_t kPacketHead = 36;     // of a flow's packet
constexpr std::size_t kNoticeBytes = 50;

enum class LinkSide : std::uint8_t { kOut = 0, kIn = 1 };

struct Head {
  FlowKey flow;
  bool from_server;
  bool opening;
  bool closing;
  bool reset;
  bool not_run;  // an answer that refuses the request
  std::uint32_t sequence;
  std::uint32_t acknowledgement;
  std::uint32_t opening_copy;
  std::uint32_t data_bytes;
  std::uint64_t request;
};

Bytes Encode(const Head& head) {
  Bytes bytes(sizeof(Head));
  std::memcpy(bytes.data(), &head, sizeof(Head));
  return bytes;
}

Head DecodeHead(ByteView bytes) {
  Head head;
  std::memcpy(&head, bytes.data(), sizeof(Head));
  return head;
}

FlowPacket Decode(const Bytes& bytes) {
  const Head head = DecodeHead(bytes);
  FlowPacket packet;
  packet.flow = head.flow;
  packet.from_server = head.from_server;
  packet.opening = head.opening;
  packet.acknowledges = head.from_server || !head.opening;
  packet.closing = head.closing;
  packet.reset = head.reset;
  packet.sequence = head.sequence;
  packet.acknowledgement = head.acknowledgement;
  packet.opening_copy = head.opening_copy;
  packet.data_bytes = head.data_bytes;
  packet.bytes = bytes;
  return packet;
}

// Bytes of a packet on the wire; the model's packets leave their data out.
std::size_t PacketBytes(const Bytes& bytes) {
  return kPacketHead + DecodeHead(bytes).data_bytes;
}

}  // namespace

FlowWorldShape WorkshopShape(double load) {
  FlowWorldShape shape;
  shape.services = {{"desk", 8080, 7, 7, 28}, {"parts", 8443, 4, 7, 28}};
  FlowRequestShape status;
  status.long_flows = true;
  status.per_second = 291 * load;
  FlowRequestShape claim;
  claim.idempotent = false;
  claim.per_second = 83 * load;
  claim.work = Duration(72000);
  claim.aim = Duration(300000);
  claim.deadline = Duration(3000000);
  FlowRequestShape diagram;
  diagram.service = 1;
  diagram.per_second = 25 * load;
  diagram.work = Duration(5000);
  diagram.aim = Duration(500000);
  diagram.deadline = Duration(5000000);
  shape.requests = {status, claim, diagram};
  shape.users = 300;
  return shape;
}

double FlowTotals::InAimShare() const {
  return this->asked == 0 ? 1.0
                          : static_cast<double>(this->in_aim) /
                                static_cast<double>(this->asked);
}

double FlowTotals::ServedShare() const {
  return this->asked == 0 ? 1.0
                          : static_cast<double>(this->in_aim + this->late) /
                                static_cast<double>(this->asked);
}

class FlowWorld::Impl {
 public:
  Impl(FlowWorld& world, const FlowWorldShape& shape);

  // A backend server with the agent beside it.
  struct Server {
    std::string name;
    std::size_t service = 0;
    std::uint32_t host = 0;
    bool up = true;
    bool silent = false;  // down without refusing connections
    bool leaving = false;
    double slow = 1.0;
    TimePoint started_at;
    std::uint64_t incarnation = 0;
    struct Flow {
      std::uint32_t sequence = 0;
      bool open = false;
      std::uint32_t last_request = 0;  // sequence of it
      std::optional<Head> answer;
    };
    std::map<std::uint64_t, Flow> flows;  // by PackFlow()
    std::deque<std::function<void()>> queue;
    std::uint32_t running = 0;
    TimePoint last_opening_at;
    std::uint64_t listed_revision = 0;
    bool removed = false;

    std::unique_ptr<FlowAgent> agent;
    std::uint64_t agent_start = 0;
  };

  struct Balancer {
    std::unique_ptr<FlowBalancer> core;
    std::uint32_t host = 0;
    std::uint32_t zone = 0;
    bool ready = false;
    int misses = 0;
    bool in_rotation = false;
    bool stopping = false;
    std::uint64_t start = 0;
    double bytes_per_second = 0;  // of its link, each way; 0: without bound
    std::array<TimePoint, 2> link_free{};  // by LinkSide: when it is empty
  };

  struct Item {
    bool is_server = false;
    bool removed = false;
    std::uint64_t revision = 0;
    FlowServer server;
  };

  // A request of a client, over all its tries.
  struct Request {
    const FlowRequestShape* shape = nullptr;
    TimePoint began_at;
    int retries = 0;
    bool over = false;
    std::size_t user = 0;
    std::uint64_t runs = 0;
  };

  // A client's side of a flow.
  struct ClientFlow {
    FlowKey key;
    bool open = false;
    bool dead = false;
    std::uint32_t server_sequence = 0;
    std::uint32_t next_sequence = 1;
    std::uint64_t request = 0;  // in progress; 0: none
    std::size_t kind = 0;
    std::size_t user = 0;
    TimePoint disturbed_at;
  };

  void Start();
  void StartBalancer(std::size_t index);
  void StartAgent(std::size_t index);
  void StartServer(std::size_t index, std::string name);
  void Readiness();
  void TickAll();

  // Sends over the link of a balancer, which may be slow.
  void SendOver(std::size_t balancer,
                LinkSide side,
                std::size_t bytes,
                Point peer,
                const Link::Action& deliver);
  void TickBalancer(std::size_t index, FlowBalancerInbox inbox);
  void TickAgent(std::size_t index, const FlowAgentInbox& inbox);
  void ToClient(const Bytes& bytes);
  void ResetAtClient(const FlowReset& reset);
  void AtServer(std::size_t index, const Bytes& bytes, RouteMark mark);
  void RunRequest(std::size_t index, std::uint64_t flow, const Head& head);
  void FromServer(std::size_t index, const Head& head);
  void Return(std::size_t index, const Bytes& bytes, RouteMark mark);

  void NoteEvents(const std::string& process,
                  const std::vector<FlowEvent>& noted);

  void Call(std::size_t balancer, const StoreCall& call);
  StoreAnswer AnswerOf(const StoreCall& call) const;
  void PutEntry(std::size_t index, bool removed);
  void PutRoutes();

  void Ask(std::size_t kind, std::size_t user);
  void Schedule(std::size_t kind);
  void Try(std::uint64_t request);
  void OpenFlow(std::uint64_t request);
  void SendOpening(std::uint64_t flow, std::uint32_t copy);
  void SendRequest(std::uint64_t flow, Duration again_after);
  void SendFromClient(const Head& head);
  void TryFailed(std::uint64_t flow, bool not_run);
  void Finish(std::uint64_t request, bool served);

  static std::uint64_t PackFlow(const FlowKey& key) {
    return (std::uint64_t{key.client.address} << 16U) | key.client.port;
  }

  FlowWorld& world;
  FlowWorldShape shape;
  std::vector<Balancer> balancers;
  std::vector<Server> servers;
  std::map<std::uint16_t, std::string> routes;
  std::uint64_t routes_version = 0;
  std::vector<Item> history;  // servers, in order of revision
  std::uint64_t revision = 1;
  std::uint64_t history_from = 0;
  bool store_down = false;
  bool store_silent = false;
  std::uint64_t store_calls = 0;
  std::map<std::uint64_t, ClientFlow> flows;
  std::map<std::uint64_t, Request> requests;
  std::map<std::pair<std::size_t, std::size_t>, std::uint64_t> long_flows;
  std::uint64_t next_request = 1;
  std::uint32_t next_client = 1;
  std::array<std::uint64_t, kFlowEventKinds> events{};
  FlowTotals totals;
};

FlowWorld::Impl::Impl(FlowWorld& world, const FlowWorldShape& shape)
    : world(world), shape(shape) {}

void FlowWorld::Impl::Start() {
  LinkFaults faults;
  faults.delay = kBetweenHosts;
  this->world.link.SetFaults(faults);
  for (const FlowServiceShape& service : this->shape.services) {
    this->routes[service.port] = service.name;
  }
  this->PutRoutes();
  for (std::size_t i = 0; i < this->shape.services.size(); ++i) {
    for (std::uint32_t n = 0; n < this->shape.services[i].servers; ++n) {
      const std::size_t index = this->servers.size();
      this->servers.emplace_back();
      this->servers[index].service = i;
      this->servers[index].host =
          kServerNet + static_cast<std::uint32_t>(index) + 1;
      this->StartServer(index, "s" + std::to_string(index));
      // They have been up for a while: warm.
      this->servers[index].started_at -= kColdFor;
      this->StartAgent(index);
    }
  }
  for (std::uint32_t i = 0; i < this->shape.balancers; ++i) {
    this->balancers.emplace_back();
    this->balancers[i].host = kBalancerNet + i + 1;
    this->balancers[i].zone = i % this->shape.zones;
    this->StartBalancer(i);
  }
  this->TickAll();
  this->Readiness();
  for (std::size_t kind = 0; kind < this->shape.requests.size(); ++kind) {
    this->Schedule(kind);
  }
}

void FlowWorld::Impl::StartBalancer(std::size_t index) {
  Balancer& balancer = this->balancers[index];
  FlowBalancerSettings settings;
  settings.node.name = "b" + std::to_string(index);
  settings.node.zone = "z" + std::to_string(balancer.zone);
  settings.node.data = {balancer.host, 1};
  settings.control = {balancer.host, 3};
  settings.seeds = {{kBalancerNet + 1, 3}, {kBalancerNet + 2, 3}};
  balancer.core = std::make_unique<FlowBalancer>(
      settings, this->world.link.GetRandom().Next());
  balancer.ready = false;
  balancer.stopping = false;
  ++balancer.start;
}

void FlowWorld::Impl::StartAgent(std::size_t index) {
  Server& server = this->servers[index];
  FlowAgentSettings settings;
  settings.node.name = "a" + std::to_string(index);
  settings.node.data = {server.host, 1};
  settings.service = this->shape.services[server.service].name;
  settings.server = {server.host, 2};
  server.agent = std::make_unique<FlowAgent>(settings);
  ++server.agent_start;
}

void FlowWorld::Impl::StartServer(std::size_t index, std::string name) {
  Server& server = this->servers[index];
  server.name = std::move(name);
  server.up = true;
  server.silent = false;
  server.leaving = false;
  server.flows.clear();
  server.queue.clear();
  server.running = 0;
  server.started_at = this->world.link.Now();
  ++server.incarnation;
  this->PutEntry(index, false);
}

void FlowWorld::Impl::PutEntry(std::size_t index, bool removed) {
  Server& server = this->servers[index];
  Item item;
  item.is_server = true;
  item.removed = removed;
  item.revision = ++this->revision;
  item.server.name = server.name;
  item.server.service =
      MakeServiceId(this->shape.services[server.service].name);
  item.server.host = server.host;
  item.server.zone = "z" + std::to_string(index % this->shape.zones);
  item.server.slots = this->shape.services[server.service].slots;
  item.server.phase =
      server.leaving ? ServerPhase::kLeaving : ServerPhase::kServing;
  const Duration age = this->world.link.Now() - server.started_at;
  item.server.cold_for = age < kColdFor ? kColdFor - age : Duration{0};
  item.server.started_ms = static_cast<std::uint64_t>(
      server.started_at.time_since_epoch().count() / 1000);
  this->history.push_back(std::move(item));
}

void FlowWorld::Impl::PutRoutes() {
  ++this->routes_version;
  ++this->revision;
}

void FlowWorld::Impl::Readiness() {
  for (Balancer& balancer : this->balancers) {
    const bool ok = balancer.core != nullptr && balancer.ready;
    balancer.misses = ok ? 0 : balancer.misses + 1;
    if (ok || balancer.misses >= 2) {
      balancer.in_rotation = ok;
    }
  }
  this->world.link.Schedule(kReadinessInterval, [this] { this->Readiness(); });
}

void FlowWorld::Impl::TickAll() {
  for (std::size_t i = 0; i < this->balancers.size(); ++i) {
    this->TickBalancer(i, {});
  }
  for (std::size_t i = 0; i < this->servers.size(); ++i) {
    this->TickAgent(i, {});
  }
  this->world.link.Schedule(kTick, [this] { this->TickAll(); });
}

void FlowWorld::Impl::SendOver(std::size_t balancer,
                               LinkSide side,
                               std::size_t bytes,
                               Point peer,
                               const Link::Action& deliver) {
  Link& link = this->world.link;
  Balancer& owner = this->balancers[balancer];
  const Point own{owner.host};
  const Point from = side == LinkSide::kOut ? own : peer;
  const Point to = side == LinkSide::kOut ? peer : own;
  if (owner.bytes_per_second == 0) {
    link.Send(from, to, Transport::kDatagram, deliver);
    return;
  }
  TimePoint& free = owner.link_free[static_cast<std::size_t>(side)];
  const TimePoint begin = std::max(free, link.Now());
  if (begin - link.Now() > kLongestLinkQueue) {
    return;
  }
  free = begin +
         std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
             static_cast<double>(bytes + kDatagramHeads) /
             owner.bytes_per_second));
  link.Schedule(free - link.Now(), [&link, from, to, deliver] {
    link.Send(from, to, Transport::kDatagram, deliver);
  });
}

void FlowWorld::Impl::TickBalancer(std::size_t index, FlowBalancerInbox inbox) {
  Balancer& balancer = this->balancers[index];
  if (balancer.core == nullptr) {
    return;
  }
  Link& link = this->world.link;
  inbox.stop_requested = balancer.stopping;
  FlowBalancerOutbox outbox = balancer.core->Tick(link.Now(), inbox);
  balancer.ready = outbox.ready;
  const Point own{balancer.host};
  for (FlowForward& forward : outbox.forwards) {
    for (std::size_t i = 0; i < this->servers.size(); ++i) {
      if (this->servers[i].host != forward.destination.address) {
        continue;
      }
      this->SendOver(index, LinkSide::kOut, PacketBytes(forward.bytes),
                     Point{forward.destination.address},
                     [this, i, forward, host = balancer.host] {
                       FlowAgentInbox inbox;
                       inbox.from_balancers.push_back(Decode(forward.bytes));
                       inbox.from_balancers[0].mark = forward.mark;
                       inbox.from_balancers[0].sender = host;
                       this->TickAgent(i, inbox);
                     });
    }
  }
  for (const FlowReset& reset : outbox.resets) {
    link.Schedule(kToBalancer, [this, reset] { this->ResetAtClient(reset); });
  }
  for (OutgoingNotice& notice : outbox.notices) {
    for (std::size_t i = 0; i < this->servers.size(); ++i) {
      if (this->servers[i].host != notice.host) {
        continue;
      }
      notice.notice.sender = balancer.host;
      this->SendOver(index, LinkSide::kOut, kNoticeBytes, Point{notice.host},
                     [this, i, sent = notice.notice] {
                       FlowAgentInbox inbox;
                       inbox.notices.push_back(sent);
                       this->TickAgent(i, inbox);
                     });
    }
  }
  for (OutgoingGossip& outgoing : outbox.gossip) {
    for (std::size_t i = 0; i < this->balancers.size(); ++i) {
      if (this->balancers[i].host != outgoing.destination.address) {
        continue;
      }
      link.Send(own, Point{outgoing.destination.address}, Transport::kDatagram,
                [this, i, sent = outgoing.message] {
                  FlowBalancerInbox inbox;
                  inbox.gossip.push_back(sent);
                  this->TickBalancer(i, std::move(inbox));
                });
    }
  }
  for (const StoreCall& call : outbox.store_calls) {
    this->Call(index, call);
  }
  this->NoteEvents("b" + std::to_string(index), outbox.events);
  if (outbox.may_exit) {
    balancer.core.reset();
    balancer.ready = false;
    link.Schedule(kReadinessInterval,
                  [this, index] { this->StartBalancer(index); });
  }
}

void FlowWorld::Impl::TickAgent(std::size_t index,
                                const FlowAgentInbox& inbox) {
  Server& server = this->servers[index];
  if (server.agent == nullptr) {
    return;
  }
  Link& link = this->world.link;
  const FlowAgentOutbox outbox = server.agent->Tick(link.Now(), inbox);
  for (const FlowForward& forward : outbox.to_server) {
    link.Schedule(kOnHost, [this, index, forward] {
      this->AtServer(index, forward.bytes, forward.mark);
    });
  }
  for (const FlowForward& forward : outbox.to_clients) {
    link.Send(Point{server.host}, Point{kClientNet}, Transport::kDatagram,
              [this, bytes = forward.bytes] { this->ToClient(bytes); });
  }
  for (const FlowReset& reset : outbox.resets) {
    link.Schedule(kToBalancer, [this, reset] { this->ResetAtClient(reset); });
  }
  for (const OutgoingNotice& notice : outbox.notices) {
    for (std::size_t i = 0; i < this->balancers.size(); ++i) {
      if (this->balancers[i].host != notice.host) {
        continue;
      }
      FlowNotice sent = notice.notice;
      sent.sender = server.host;
      const std::size_t packet =
          sent.packet.empty() ? 0 : PacketBytes(sent.packet);
      this->SendOver(i, LinkSide::kIn, kNoticeBytes + packet,
                     Point{server.host}, [this, i, sent] {
                       FlowBalancerInbox inbox;
                       inbox.notices.push_back(sent);
                       this->TickBalancer(i, std::move(inbox));
                     });
    }
  }
  this->NoteEvents("a" + std::to_string(index), outbox.events);
  if (outbox.probe) {
    const ProbeResult result = server.up       ? ProbeResult::kAccepted
                               : server.silent ? ProbeResult::kSilent
                                               : ProbeResult::kRefused;
    const Duration after =
        result == ProbeResult::kSilent ? Duration{150000} : kOnHost;
    link.Schedule(after, [this, index, result, start = server.agent_start] {
      if (this->servers[index].agent_start == start) {
        FlowAgentInbox inbox;
        inbox.probe = result;
        this->TickAgent(index, inbox);
      }
    });
  }
}

void FlowWorld::Impl::AtServer(std::size_t index,
                               const Bytes& bytes,
                               RouteMark mark) {
  Server& server = this->servers[index];
  if (!server.up) {
    return;
  }
  const Head head = DecodeHead(bytes);
  const std::uint64_t id = PackFlow(head.flow);
  const auto found = server.flows.find(id);
  if (head.opening) {
    server.last_opening_at = this->world.link.Now();
    const auto route = this->routes.find(head.flow.service_address.port);
    if (route != this->routes.end() &&
        route->second != this->shape.services[server.service].name) {
      this->totals.violations.push_back("wrong service opened " +
                                        ToString(head.flow));
    }
    Server::Flow& flow = server.flows[id];
    if (flow.sequence == 0) {
      flow.sequence =
          static_cast<std::uint32_t>(this->world.link.GetRandom().Next()) | 1U;
    }
    Head grant{};
    grant.flow = head.flow;
    grant.opening = true;
    grant.sequence = flow.sequence;
    this->FromServer(index, grant);
    return;
  }
  if (found == server.flows.end() ||
      (!found->second.open &&
       head.acknowledgement != found->second.sequence + 1)) {
    this->Return(index, bytes, mark);
    return;
  }
  Server::Flow& flow = found->second;
  flow.open = true;
  if (head.closing || head.reset) {
    server.flows.erase(found);
    return;
  }
  if (flow.answer && flow.last_request == head.sequence) {
    this->FromServer(index, *flow.answer);
    return;
  }
  if (flow.last_request == head.sequence) {
    return;  // in progress
  }
  flow.last_request = head.sequence;
  flow.answer.reset();
  const FlowServiceShape& service = this->shape.services[server.service];
  if (server.running < service.slots) {
    this->RunRequest(index, id, head);
  } else if (server.queue.size() < service.queue) {
    server.queue.emplace_back(
        [this, index, id, head] { this->RunRequest(index, id, head); });
  } else {
    ++this->totals.shed;
    Head answer = head;
    answer.not_run = true;
    flow.answer = answer;
    this->FromServer(index, answer);
  }
}

void FlowWorld::Impl::RunRequest(std::size_t index,
                                 std::uint64_t flow,
                                 const Head& head) {
  Server& server = this->servers[index];
  ++server.running;
  ++this->totals.runs;
  Request& request = this->requests[head.request];
  ++request.runs;
  if (request.shape != nullptr && !request.shape->idempotent &&
      request.runs > 1) {
    this->totals.violations.push_back(
        "request " + std::to_string(head.request) + " ran twice");
  }
  const bool cold = this->world.link.Now() - server.started_at < kColdFor;
  const double factor = server.slow * (cold ? kColdFactor : 1.0);
  const Duration mean =
      request.shape == nullptr ? Duration{1000} : request.shape->work;
  const Duration work = this->world.link.GetRandom().Between(
      Duration(static_cast<std::int64_t>(mean.count() * factor / 2)),
      Duration(static_cast<std::int64_t>(mean.count() * factor * 3 / 2)));
  this->world.link.Schedule(
      work, [this, index, flow, head, incarnation = server.incarnation] {
        Server& server = this->servers[index];
        if (!server.up || server.incarnation != incarnation) {
          return;
        }
        --server.running;
        const auto found = server.flows.find(flow);
        if (found != server.flows.end()) {
          Head answer = head;
          answer.data_bytes = 600;
          found->second.answer = answer;
          this->FromServer(index, answer);
        }
        if (!server.queue.empty()) {
          const auto next = std::move(server.queue.front());
          server.queue.pop_front();
          next();
        }
      });
}

void FlowWorld::Impl::FromServer(std::size_t index, const Head& head) {
  Head sent = head;
  sent.from_server = true;
  this->world.link.Schedule(kOnHost, [this, index, bytes = Encode(sent)] {
    FlowAgentInbox inbox;
    inbox.from_server.push_back(Decode(bytes));
    this->TickAgent(index, inbox);
  });
}

void FlowWorld::Impl::Return(std::size_t index,
                             const Bytes& bytes,
                             RouteMark mark) {
  this->world.link.Schedule(kOnHost, [this, index, bytes, mark] {
    FlowAgentInbox inbox;
    inbox.from_server.push_back(Decode(bytes));
    inbox.from_server[0].returned = true;
    inbox.from_server[0].mark.balancer = mark.balancer;
    this->TickAgent(index, inbox);
  });
}

// Counts events; CACTUSCROSS_FLOW_TRACE=1 also prints them.
void FlowWorld::Impl::NoteEvents(const std::string& process,
                                 const std::vector<FlowEvent>& noted) {
  static const bool trace = std::getenv("CACTUSCROSS_FLOW_TRACE") != nullptr;
  for (const FlowEvent& event : noted) {
    ++this->events.at(static_cast<std::size_t>(event.kind));
    if (trace) {
      std::clog << this->world.link.Now().time_since_epoch().count() << " "
                << process << " " << NameOf(event.kind) << " "
                << (event.flow ? ToString(*event.flow) : "") << " "
                << event.server << " " << event.reason << " "
                << event.tries.value_or(0) << "\n";
    }
  }
}

void FlowWorld::Impl::Call(std::size_t balancer, const StoreCall& call) {
  ++this->store_calls;
  const std::uint64_t start = this->balancers[balancer].start;
  const TimePoint began = this->world.link.Now();
  const bool answered = !this->store_down;
  const auto reply = [this, balancer, start](StoreAnswer answer) {
    if (this->balancers[balancer].start == start) {
      FlowBalancerInbox inbox;
      inbox.store_answers.push_back(std::move(answer));
      this->TickBalancer(balancer, std::move(inbox));
    }
  };
  if (!answered) {
    // A silent store leaves the call to its time limit.
    const Duration after = this->store_silent ? call.timeout : kStoreDelay;
    this->world.link.Schedule(after, [call, reply] {
      StoreAnswer answer;
      answer.subject = call.subject;
      answer.kind = call.kind;
      answer.generation = call.generation;
      reply(std::move(answer));
    });
    return;
  }
  const auto poll = std::make_shared<std::function<void()>>();
  *poll = [this, call, reply, began, poll] {
    StoreAnswer answer = this->AnswerOf(call);
    const bool waits = call.kind == StoreCallKind::kWatch &&
                       answer.status == StoreStatus::kOk &&
                       answer.servers.empty() && answer.routes.empty() &&
                       this->world.link.Now() - began < call.wait;
    if (waits && !this->store_down) {
      this->world.link.Schedule(kTick, *poll);
      return;
    }
    if (this->store_down) {
      answer = StoreAnswer();
      answer.subject = call.subject;
      answer.kind = call.kind;
    }
    answer.generation = call.generation;
    reply(std::move(answer));
    *poll = nullptr;
  };
  this->world.link.Schedule(kStoreDelay, *poll);
}

StoreAnswer FlowWorld::Impl::AnswerOf(const StoreCall& call) const {
  StoreAnswer answer;
  answer.subject = call.subject;
  answer.kind = call.kind;
  answer.status = StoreStatus::kOk;
  answer.revision = this->revision;
  const bool list = call.kind == StoreCallKind::kList;
  if (!list && call.after_revision < this->history_from) {
    answer.status = StoreStatus::kHistoryLost;
    return answer;
  }
  if (call.subject == StoreSubject::kRoutes) {
    if (list || call.after_revision < this->routes_version) {
      RouteSet routes;
      routes.version = this->routes_version;
      for (const auto& [port, service] : this->routes) {
        routes.routes.push_back(
            {{kRouteAddress, port}, {{MakeServiceId(service), 1}}});
      }
      answer.routes.push_back(std::move(routes));
    }
    // Watches of routes continue from a version of their own here.
    answer.revision = this->routes_version;
    return answer;
  }
  std::map<std::string, const Item*> newest;
  for (const Item& item : this->history) {
    newest[item.server.name] = &item;
  }
  for (const Item& item : this->history) {
    const bool wanted = list
                            ? newest[item.server.name] == &item && !item.removed
                            : item.revision > call.after_revision;
    if (wanted) {
      answer.servers.push_back(
          {item.revision, item.server.name, item.removed, item.server});
    }
  }
  return answer;
}

void FlowWorld::Impl::Schedule(std::size_t kind) {
  const FlowRequestShape& shape = this->shape.requests[kind];
  const double gap = 1000000.0 / shape.per_second;
  const Duration next = this->world.link.GetRandom().Between(
      Duration{0}, Duration(static_cast<std::int64_t>(2 * gap)));
  this->world.link.Schedule(next, [this, kind] {
    if (this->world.traffic) {
      this->Ask(kind, this->world.link.GetRandom().Below(this->shape.users));
    }
    this->Schedule(kind);
  });
}

void FlowWorld::Impl::Ask(std::size_t kind, std::size_t user) {
  const std::uint64_t id = this->next_request++;
  Request& request = this->requests[id];
  request.shape = &this->shape.requests[kind];
  request.began_at = this->world.link.Now();
  request.user = user;
  ++this->totals.asked;
  this->world.link.Schedule(request.shape->deadline, [this, id] {
    if (!this->requests[id].over) {
      this->Finish(id, false);
    }
  });
  this->Try(id);
}

void FlowWorld::Impl::Try(std::uint64_t id) {
  const Request& request = this->requests[id];
  if (!request.shape->long_flows) {
    this->OpenFlow(id);
    return;
  }
  const std::size_t kind = request.shape - this->shape.requests.data();
  const auto found = this->long_flows.find({kind, request.user});
  if (found != this->long_flows.end()) {
    ClientFlow& flow = this->flows[found->second];
    if (!flow.dead && flow.open && flow.request == 0) {
      flow.request = id;
      this->SendRequest(found->second, kFirstRetransmission);
      return;
    }
    if (!flow.dead) {
      // Busy with another request: this one takes a flow of its own.
      this->OpenFlow(id);
      return;
    }
  }
  this->OpenFlow(id);
  this->long_flows[{kind, request.user}] =
      (std::uint64_t{kClientNet} << 16U) + this->next_client - 1;
}

void FlowWorld::Impl::OpenFlow(std::uint64_t id) {
  const std::uint64_t packed =
      (std::uint64_t{kClientNet} << 16U) + this->next_client++;
  const Request& request = this->requests[id];
  ClientFlow& flow = this->flows[packed];
  flow.key.client = {static_cast<std::uint32_t>(packed >> 16U),
                     static_cast<std::uint16_t>(packed & 0xFFFFU)};
  flow.key.service_address = {
      kRouteAddress, this->shape.services[request.shape->service].port};
  flow.request = id;
  flow.user = request.user;
  this->SendOpening(packed, 0);
  for (std::size_t i = 0; i < kCopiesAfter.size(); ++i) {
    this->world.link.Schedule(kCopiesAfter.at(i), [this, packed, i] {
      this->SendOpening(packed, static_cast<std::uint32_t>(i + 1));
    });
  }
  this->world.link.Schedule(kOpeningLife, [this, packed] {
    const ClientFlow& flow = this->flows[packed];
    if (!flow.open && !flow.dead) {
      this->TryFailed(packed, true);
    }
  });
}

void FlowWorld::Impl::SendOpening(std::uint64_t packed, std::uint32_t copy) {
  const ClientFlow& flow = this->flows[packed];
  if (flow.open || flow.dead) {
    return;
  }
  Head head{};
  head.flow = flow.key;
  head.opening = true;
  head.opening_copy = copy;
  this->SendFromClient(head);
}

void FlowWorld::Impl::SendRequest(std::uint64_t packed, Duration again_after) {
  const ClientFlow& flow = this->flows[packed];
  if (flow.dead || flow.request == 0) {
    return;
  }
  Head head{};
  head.flow = flow.key;
  head.sequence = flow.next_sequence;
  head.acknowledgement = flow.server_sequence + 1;
  head.data_bytes = 100;
  head.request = flow.request;
  this->SendFromClient(head);
  this->world.link.Schedule(again_after, [this, packed, again_after,
                                          sequence = head.sequence] {
    if (this->flows[packed].next_sequence == sequence) {
      this->SendRequest(packed, std::min(again_after * 2, kMostRetransmission));
    }
  });
}

void FlowWorld::Impl::SendFromClient(const Head& head) {
  std::vector<std::size_t> ready;
  for (std::size_t i = 0; i < this->balancers.size(); ++i) {
    if (this->balancers[i].in_rotation) {
      ready.push_back(i);
    }
  }
  if (ready.empty()) {
    for (std::size_t i = 0; i < this->balancers.size(); ++i) {
      ready.push_back(i);
    }
  }
  const std::size_t index =
      ready[(head.flow.client.port * 2654435761ULL >> 7U) % ready.size()];
  const Bytes bytes = Encode(head);
  this->SendOver(index, LinkSide::kIn, PacketBytes(bytes), Point{kClientNet},
                 [this, index, bytes] {
                   FlowBalancerInbox inbox;
                   inbox.packets.push_back(Decode(bytes));
                   this->TickBalancer(index, std::move(inbox));
                 });
}

void FlowWorld::Impl::ToClient(const Bytes& bytes) {
  const Head head = DecodeHead(bytes);
  const std::uint64_t packed = PackFlow(head.flow);
  const auto found = this->flows.find(packed);
  if (found == this->flows.end() || found->second.dead) {
    return;
  }
  ClientFlow& flow = found->second;
  if (head.opening) {
    if (!flow.open) {
      flow.open = true;
      flow.server_sequence = head.sequence;
      this->SendRequest(packed, kFirstRetransmission);
    }
    return;
  }
  if (head.request != flow.request || flow.request == 0) {
    return;  // a copy of an earlier answer
  }
  if (head.not_run) {
    this->TryFailed(packed, true);
    return;
  }
  const std::uint64_t id = std::exchange(flow.request, 0);
  ++flow.next_sequence;
  const bool closes = !this->requests[id].shape->long_flows;
  if (closes) {
    flow.dead = true;
    Head last{};
    last.flow = flow.key;
    last.closing = true;
    last.sequence = flow.next_sequence;
    last.acknowledgement = flow.server_sequence + 1;
    this->SendFromClient(last);
  }
  this->Finish(id, true);
}

void FlowWorld::Impl::ResetAtClient(const FlowReset& reset) {
  const std::uint64_t packed = PackFlow(reset.flow);
  const auto found = this->flows.find(packed);
  if (found == this->flows.end() || found->second.dead) {
    return;
  }
  const ClientFlow& flow = found->second;
  if (flow.open) {
    for (const Server& server : this->servers) {
      const auto held = server.flows.find(packed);
      if (server.up && held != server.flows.end() && held->second.open &&
          held->second.sequence == flow.server_sequence) {
        this->totals.violations.push_back("reset of flow " +
                                          ToString(flow.key) + " that " +
                                          server.name + " holds");
      }
    }
  }
  this->TryFailed(packed, !flow.open);
}

void FlowWorld::Impl::TryFailed(std::uint64_t packed, bool not_run) {
  ClientFlow& flow = this->flows[packed];
  flow.dead = true;
  const std::uint64_t id = std::exchange(flow.request, 0);
  if (id == 0 || this->requests[id].over) {
    return;
  }
  Request& request = this->requests[id];
  const bool may_retry = request.shape->idempotent || not_run;
  if (!may_retry || request.retries >= kMaxRetries) {
    this->Finish(id, false);
    return;
  }
  ++request.retries;
  this->Try(id);
}

void FlowWorld::Impl::Finish(std::uint64_t id, bool served) {
  Request& request = this->requests[id];
  if (request.over) {
    return;
  }
  request.over = true;
  const Duration took = this->world.link.Now() - request.began_at;
  if (!served) {
    ++this->totals.failed;
    for (auto& [packed, flow] : this->flows) {
      if (flow.request == id) {
        flow.request = 0;
        flow.dead = true;
      }
    }
  } else if (took <= request.shape->aim) {
    ++this->totals.in_aim;
  } else {
    ++this->totals.late;
  }
}

FlowWorld::FlowWorld(std::uint64_t seed, const FlowWorldShape& shape)
    : link(seed), impl(std::make_unique<Impl>(*this, shape)) {
  this->impl->Start();
  // Processes start some seconds before the traffic.
  this->traffic = false;
  this->link.AdvanceTo(this->link.Now() + std::chrono::seconds(3));
  this->traffic = true;
}

FlowWorld::~FlowWorld() = default;

FlowTotals FlowWorld::Run(Duration time) {
  const FlowTotals before = std::exchange(this->impl->totals, {});
  this->link.AdvanceTo(this->link.Now() + time);
  return this->impl->totals;
}

void FlowWorld::KillBalancer(std::size_t index, Duration pause) {
  Impl::Balancer& balancer = this->impl->balancers[index];
  balancer.core.reset();
  balancer.ready = false;
  this->link.Schedule(pause,
                      [this, index] { this->impl->StartBalancer(index); });
}

void FlowWorld::StopBalancer(std::size_t index) {
  this->impl->balancers[index].stopping = true;
}

void FlowWorld::KillAgent(std::size_t index, Duration pause) {
  this->impl->servers[index].agent.reset();
  this->link.Schedule(pause, [this, index] { this->impl->StartAgent(index); });
}

void FlowWorld::PowerOffAll(Duration pause, bool new_names) {
  for (std::size_t i = 0; i < this->impl->balancers.size(); ++i) {
    this->KillBalancer(i, pause);
  }
  for (std::size_t i = 0; i < this->impl->servers.size(); ++i) {
    Impl::Server& server = this->impl->servers[i];
    if (server.removed) {
      continue;
    }
    server.up = false;
    server.silent = true;
    server.agent.reset();
    const std::string name = server.name + (new_names ? "'" : "");
    this->link.Schedule(pause, [this, i, name] {
      this->impl->StartServer(i, name);
      this->impl->StartAgent(i);
    });
  }
}

std::size_t FlowWorld::ServerCount() const {
  return this->impl->servers.size();
}

void FlowWorld::CrashServer(std::size_t index, bool silent) {
  this->impl->servers[index].up = false;
  this->impl->servers[index].silent = silent;
  this->impl->servers[index].flows.clear();
}

void FlowWorld::LoseServer(std::size_t index) {
  Impl::Server& server = this->impl->servers[index];
  server.removed = true;
  server.agent.reset();
  this->CrashServer(index, /*silent=*/true);
}

void FlowWorld::RestartServer(std::size_t index) {
  this->impl->StartServer(index, this->impl->servers[index].name);
}

void FlowWorld::DrainServer(std::size_t index) {
  this->impl->servers[index].leaving = true;
  this->impl->PutEntry(index, false);
}

void FlowWorld::SlowServer(std::size_t index, double factor) {
  this->impl->servers[index].slow = factor;
}

void FlowWorld::SlowLink(std::size_t balancer, double bytes_per_second) {
  this->impl->balancers[balancer].bytes_per_second = bytes_per_second;
}

void FlowWorld::ReuseHost(std::size_t index, std::size_t service) {
  this->impl->servers[index].service = service;
  this->impl->StartServer(index, this->impl->servers[index].name + "-reused");
  this->impl->StartAgent(index);
}

std::uint32_t FlowWorld::RunningOn(std::size_t index) const {
  return this->impl->servers[index].running;
}

void FlowWorld::SetStoreDown(bool down, bool silent) {
  this->impl->store_down = down;
  this->impl->store_silent = silent;
}

void FlowWorld::DropStoreHistory() {
  this->impl->history_from = this->impl->revision + 1;
  ++this->impl->revision;
}

void FlowWorld::HideEntry(std::size_t index, bool hidden) {
  this->impl->PutEntry(index, hidden);
}

void FlowWorld::PutRoute(std::uint16_t port, const std::string& service) {
  this->impl->routes[port] = service;
  this->impl->PutRoutes();
}

void FlowWorld::RemoveRoute(std::uint16_t port) {
  this->impl->routes.erase(port);
  this->impl->PutRoutes();
}

std::uint64_t FlowWorld::StoreCalls() const {
  return this->impl->store_calls;
}

bool FlowWorld::AllReady() const {
  return std::all_of(this->impl->balancers.begin(), this->impl->balancers.end(),
                     [](const Impl::Balancer& balancer) {
                       return balancer.core == nullptr || balancer.ready;
                     });
}

TimePoint FlowWorld::LastOpeningAt(std::size_t server) const {
  return this->impl->servers[server].last_opening_at;
}

std::uint64_t FlowWorld::Events(FlowEventKind kind) const {
  return this->impl->events.at(static_cast<std::size_t>(kind));
}

}  // namespace cactuscross::testing
