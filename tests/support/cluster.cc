#include "tests/support/cluster.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cactuscross::testing {
namespace {

constexpr Duration kStep = std::chrono::milliseconds(1);
// Max time between two ticks of a core in the real process.
constexpr Duration kMaxTickInterval = std::chrono::milliseconds(10);
// A platform read without an answer fails this long after its wait time.
constexpr Duration kReadTimeout = std::chrono::seconds(1);
constexpr std::uint32_t kProcessNetwork = 0x0A000000;  // 10.0.0.0
constexpr std::uint32_t kServerNetwork = 0x0A010000;   // 10.1.0.0
constexpr std::uint32_t kCallerNetwork = 0x0A020000;   // 10.2.0.0
constexpr std::uint16_t kPeerPort = 7000;
constexpr std::uint16_t kServerPort = 8080;
constexpr std::uint16_t kCallerPort = 40000;
// Receive buffer of a paused process; further datagrams are lost.
constexpr std::size_t kSocketBufferDatagrams = 200;
// Clocks of processes differ by up to this time, seconds.
constexpr std::uint64_t kMaxClockOffsetS = 100000;

bool IsControl(const PeerMessage& message) {
  return std::holds_alternative<ContractDigest>(message) ||
         std::holds_alternative<ContractPull>(message) ||
         std::holds_alternative<ContractPush>(message);
}

Transport TransportOf(const PeerMessage& message) {
  if (IsControl(message)) {
    return Transport::kStream;
  }
  const auto* probe = std::get_if<Probe>(&message);
  const auto* reply = std::get_if<ProbeReply>(&message);
  const bool new_path = (probe != nullptr && probe->new_path) ||
                        (reply != nullptr && reply->new_path);
  return new_path ? Transport::kNewPathDatagram : Transport::kDatagram;
}

PeerAddress MakeAddress(std::uint32_t node,
                        Role role,
                        const std::string& zone) {
  return {NodeId{node}, role, zone, {kProcessNetwork + node, kPeerPort}};
}

}  // namespace

Cluster::Cluster(std::uint64_t seed) : link(seed), platform(this->link) {}

Process& Cluster::AddBalancer(std::uint32_t node, const std::string& zone) {
  Process& process = this->processes[node];
  process.address = MakeAddress(node, Role::kBalancer, zone);
  this->spray_targets.insert(node);
  this->Start(node);
  return process;
}

Process& Cluster::AddAgent(std::uint32_t node,
                           const std::string& zone,
                           const std::string& service) {
  Process& process = this->processes[node];
  process.address = MakeAddress(node, Role::kAgent, zone);
  process.agent_settings.service = service;
  process.agent_settings.server = {kServerNetwork + node, kServerPort};
  this->servers[node] = std::make_unique<FakeServer>(
      this->link, this->ledger, process.agent_settings.server, service);
  this->Start(node);
  return process;
}

FakeCaller& Cluster::AddCaller() {
  const auto number = static_cast<std::uint32_t>(this->callers.size()) + 1;
  this->callers.push_back(std::make_unique<FakeCaller>(
      this->link, Endpoint{kCallerNetwork + number, kCallerPort},
      [this](const CallerDatagram& datagram) { this->Spray(datagram); }));
  return *this->callers.back();
}

ContractServer Cluster::ServerEntry(std::uint32_t node) const {
  const Process& process = this->processes.at(node);
  ContractServer server;
  server.node = process.address.node;
  server.zone = process.address.zone;
  server.agent = process.address.endpoint;
  server.slots = this->servers.at(node)->slots;
  server.connections = 2000;
  return server;
}

Process& Cluster::GetProcess(std::uint32_t node) {
  return this->processes.at(node);
}

FakeServer& Cluster::GetServer(std::uint32_t agent_node) {
  return *this->servers.at(agent_node);
}

void Cluster::Kill(std::uint32_t node) {
  Process& process = this->processes.at(node);
  process.state = ProcessState::kDown;
  process.balancer.reset();
  process.agent.reset();
  process.balancer_inbox = {};
  process.agent_inbox = {};
  if (process.address.role == Role::kAgent) {
    this->servers.at(node)->AbandonCalls();
  }
}

void Cluster::Start(std::uint32_t node) {
  Process& process = this->processes.at(node);
  this->Kill(node);
  ++process.starts;
  process.clock_offset =
      std::chrono::seconds(this->link.GetRandom().Below(kMaxClockOffsetS));
  process.stop_requested = false;
  process.exited = false;
  process.state = ProcessState::kRunning;
  process.running_since = this->Now();
  process.next_tick = this->Now();
  this->CreateCore(process);
}

// Returns an incarnation as the real process makes it, from the microseconds
// since the epoch. It increases with each start.
Incarnation Cluster::MakeIncarnation(const Process& process) const {
  const auto now = std::chrono::duration_cast<std::chrono::microseconds>(
      this->Now().time_since_epoch());
  return Incarnation{static_cast<std::uint64_t>(now.count()) + process.starts};
}

void Cluster::CreateCore(Process& process) {
  NodeSettings settings;
  settings.node = process.address.node;
  settings.role = process.address.role;
  settings.zone = process.address.zone;
  settings.listen = process.address.endpoint;
  settings.platform = {Endpoint{0x0A030001, 9000}};
  for (const auto& [node, other] : this->processes) {
    if (other.address.role == Role::kBalancer &&
        node != ToNumber(settings.node)) {
      settings.seeds.push_back(other.address);
    }
  }
  CoreDependencies dependencies;
  dependencies.parse_contract = this->platform.Parser();
  dependencies.incarnation = this->MakeIncarnation(process);
  dependencies.seed = this->link.GetRandom().Next();
  dependencies.policy = this->policy;
  for (std::uint8_t& byte : dependencies.ticket_key) {
    byte = static_cast<std::uint8_t>(this->link.GetRandom().Next());
  }
  if (process.address.role == Role::kBalancer) {
    process.balancer_settings.node = settings;
    process.balancer =
        std::make_unique<Balancer>(process.balancer_settings, dependencies);
  } else {
    process.agent_settings.node = settings;
    process.agent =
        std::make_unique<Agent>(process.agent_settings, dependencies);
  }
}

void Cluster::Pause(std::uint32_t node) {
  Process& process = this->processes.at(node);
  if (process.state == ProcessState::kRunning) {
    process.state = ProcessState::kPaused;
  }
}

void Cluster::Resume(std::uint32_t node) {
  Process& process = this->processes.at(node);
  if (process.state == ProcessState::kPaused) {
    process.state = ProcessState::kRunning;
    process.running_since = this->Now();
    process.next_tick = this->Now();
  }
}

void Cluster::RequestStop(std::uint32_t node) {
  this->processes.at(node).stop_requested = true;
}

void Cluster::Partition(const std::vector<std::uint32_t>& a,
                        const std::vector<std::uint32_t>& b) {
  for (const std::uint32_t left : a) {
    for (const std::uint32_t right : b) {
      this->link.Cut(LinkEndOf(NodeId{left}), LinkEndOf(NodeId{right}));
    }
  }
}

void Cluster::CutPlatform(std::uint32_t node) {
  this->link.Cut(LinkEndOf(NodeId{node}), kPlatformLinkEnd);
}

void Cluster::BlackholePath(std::uint32_t a, std::uint32_t b) {
  this->link.Blackhole(LinkEndOf(NodeId{a}), LinkEndOf(NodeId{b}));
  this->link.Blackhole(LinkEndOf(NodeId{b}), LinkEndOf(NodeId{a}));
}

void Cluster::SetSprayTarget(std::uint32_t node, bool is_target) {
  if (is_target) {
    this->spray_targets.insert(node);
  } else {
    this->spray_targets.erase(node);
  }
}

void Cluster::PublishHostList() {
  std::vector<HostEntry> hosts;
  for (const auto& [node, process] : this->processes) {
    if (process.state != ProcessState::kDown) {
      hosts.push_back({process.address, process.stop_requested});
    }
  }
  this->platform.SetHosts(std::move(hosts));
}

void Cluster::RunFor(Duration time) {
  const TimePoint end = this->Now() + time;
  while (this->Now() < end) {
    this->link.AdvanceTo(this->NextTime(end));
    for (auto& [node, process] : this->processes) {
      this->TickProcess(process);
    }
    if (this->check) {
      this->check();
    }
  }
}

TimePoint Cluster::NextTime(TimePoint end) const {
  TimePoint next = end;
  if (const auto action = this->link.NextAction()) {
    next = std::min(next, *action);
  }
  for (const auto& [node, process] : this->processes) {
    if (process.state == ProcessState::kRunning) {
      next = std::min(next, process.next_tick);
    }
  }
  // The time is rounded up to the next step and always advances.
  const Duration since_epoch = next.time_since_epoch();
  const Duration rounded = (since_epoch + kStep - Duration(1)) / kStep * kStep;
  return std::max(TimePoint(rounded), this->Now() + kStep);
}

void Cluster::TickProcess(Process& process) {
  if (process.state != ProcessState::kRunning) {
    return;
  }
  const bool has_input = !process.balancer_inbox.caller_datagrams.empty() ||
                         !process.balancer_inbox.peer_envelopes.empty() ||
                         !process.balancer_inbox.platform_results.empty() ||
                         !process.agent_inbox.peer_envelopes.empty() ||
                         !process.agent_inbox.server_results.empty() ||
                         !process.agent_inbox.server_health.empty() ||
                         !process.agent_inbox.platform_results.empty();
  if (!has_input && this->Now() < process.next_tick) {
    return;
  }
  process.next_tick = this->Now() + kMaxTickInterval;
  const TimePoint now = this->Now() + process.clock_offset;
  if (process.balancer) {
    this->TickBalancer(process, now);
  } else {
    this->TickAgent(process, now);
  }
}

void Cluster::TickBalancer(Process& process, TimePoint now) {
  BalancerInbox inbox = std::exchange(process.balancer_inbox, {});
  inbox.stop_requested = process.stop_requested;
  const BalancerOutbox outbox = process.balancer->Tick(now, std::move(inbox));
  for (const NodeId peer : outbox.renewed_paths) {
    this->link.RenewPath(LinkEndOf(process.address.node), LinkEndOf(peer));
  }
  for (const CallerDatagram& reply : outbox.caller_replies) {
    this->ReplyToCaller(process, reply);
  }
  this->SendPeers(process, outbox.peer_envelopes);
  this->SendReads(process, outbox.platform_reads);
  if (outbox.may_exit && process.stop_requested) {
    this->Kill(ToNumber(process.address.node));
    process.exited = true;
  }
}

void Cluster::TickAgent(Process& process, TimePoint now) {
  AgentInbox inbox = std::exchange(process.agent_inbox, {});
  inbox.stop_requested = process.stop_requested;
  const AgentOutbox outbox = process.agent->Tick(now, std::move(inbox));
  for (const NodeId peer : outbox.renewed_paths) {
    this->link.RenewPath(LinkEndOf(process.address.node), LinkEndOf(peer));
  }
  this->SendPeers(process, outbox.peer_envelopes);
  this->SendReads(process, outbox.platform_reads);
  for (const ServerCall& call : outbox.server_calls) {
    this->CallServer(process, call);
  }
  FakeServer& server = *this->servers.at(ToNumber(process.address.node));
  for (const CallId id : outbox.server_cancels) {
    server.Cancel(id);
  }
  if (outbox.health_check) {
    this->CheckHealth(process);
  }
  if (outbox.may_exit && process.stop_requested) {
    this->Kill(ToNumber(process.address.node));
    process.exited = true;
  }
}

void Cluster::SendPeers(const Process& process,
                        const std::vector<PeerEnvelope>& envelopes) {
  for (PeerEnvelope envelope : envelopes) {
    if (this->on_peer_envelope) {
      this->on_peer_envelope(envelope);
    }
    this->link.Send(LinkEndOf(process.address.node),
                    LinkEndOf(envelope.to.node), TransportOf(envelope.body),
                    [this, envelope] { this->Deliver(envelope); });
  }
}

void Cluster::Deliver(const PeerEnvelope& envelope) {
  // Delivers by address rather than node ID, as a real network does.
  const auto found = std::find_if(
      this->processes.begin(), this->processes.end(),
      [&envelope](const auto& entry) {
        return entry.second.address.endpoint == envelope.to.endpoint;
      });
  if (found == this->processes.end()) {
    return;
  }
  Process& process = found->second;
  if (process.state == ProcessState::kDown) {
    return;
  }
  auto& inbox = process.balancer ? process.balancer_inbox.peer_envelopes
                                 : process.agent_inbox.peer_envelopes;
  if (process.state == ProcessState::kRunning ||
      inbox.size() < kSocketBufferDatagrams) {
    inbox.push_back(envelope);
  }
}

void Cluster::SendReads(const Process& process,
                        const std::vector<PlatformRead>& reads) {
  const NodeId node = process.address.node;
  const std::uint64_t start_count = process.starts;
  for (const PlatformRead& read : reads) {
    const auto answered = std::make_shared<bool>(false);
    const auto answer = [this, node, start_count,
                         answered](const PlatformResult& result) {
      if (!std::exchange(*answered, true)) {
        this->AnswerRead(node, start_count, result);
      }
    };
    PlatformResult failure;
    failure.kind = read.kind;
    this->link.Schedule(read.wait + kReadTimeout,
                        [answer, failure] { answer(failure); });
    this->link.Send(
        LinkEndOf(node), kPlatformLinkEnd, Transport::kStream,
        [this, node, read, answer] {
          this->platform.Read(
              read, [this, node, answer](const PlatformResult& result) {
                this->link.Send(kPlatformLinkEnd, LinkEndOf(node),
                                Transport::kStream,
                                [answer, result] { answer(result); });
              });
        });
  }
}

Process* Cluster::FindRunning(NodeId node, std::uint64_t start_count) {
  Process& process = this->processes.at(ToNumber(node));
  if (process.state == ProcessState::kDown || process.starts != start_count) {
    return nullptr;
  }
  return &process;
}

void Cluster::AnswerRead(NodeId node,
                         std::uint64_t start_count,
                         const PlatformResult& result) {
  Process* process = this->FindRunning(node, start_count);
  if (process == nullptr) {
    return;
  }
  auto& inbox = process->balancer ? process->balancer_inbox.platform_results
                                  : process->agent_inbox.platform_results;
  inbox.push_back(result);
}

void Cluster::CallServer(const Process& process, const ServerCall& call) {
  if (this->on_server_call) {
    this->on_server_call(process, call);
  }
  const NodeId node = process.address.node;
  const std::uint64_t start_count = process.starts;
  this->servers.at(ToNumber(node))
      ->HandleCall(call, [this, node, start_count](const ServerResult& result) {
        if (Process* running = this->FindRunning(node, start_count)) {
          running->agent_inbox.server_results.push_back(result);
        }
      });
}

void Cluster::CheckHealth(const Process& process) {
  const NodeId node = process.address.node;
  const std::uint64_t start_count = process.starts;
  const ServerHealth health = this->servers.at(ToNumber(node))->Health();
  this->link.Schedule(kStep, [this, node, start_count, health] {
    if (Process* running = this->FindRunning(node, start_count)) {
      running->agent_inbox.server_health.push_back(health);
    }
  });
}

void Cluster::Spray(const CallerDatagram& datagram) {
  if (this->spray_targets.empty()) {
    return;
  }
  const auto chosen =
      std::next(this->spray_targets.begin(),
                static_cast<std::ptrdiff_t>(
                    this->link.GetRandom().Below(this->spray_targets.size())));
  const std::uint32_t node = *chosen;
  this->link.Send(LinkEndOf(datagram.caller), LinkEndOf(NodeId{node}),
                  Transport::kDatagram, [this, node, datagram] {
                    Process& process = this->processes.at(node);
                    if (process.state == ProcessState::kDown) {
                      return;
                    }
                    auto& inbox = process.balancer_inbox.caller_datagrams;
                    if (process.state == ProcessState::kRunning ||
                        inbox.size() < kSocketBufferDatagrams) {
                      inbox.push_back(datagram);
                    }
                  });
}

void Cluster::ReplyToCaller(const Process& process,
                            const CallerDatagram& datagram) {
  this->link.Send(LinkEndOf(process.address.node), LinkEndOf(datagram.caller),
                  Transport::kDatagram, [this, datagram] {
                    // Caller addresses are numbered from 1.
                    const std::size_t number =
                        datagram.caller.address - kCallerNetwork;
                    if (number >= 1 && number <= this->callers.size() &&
                        datagram.caller.port == kCallerPort) {
                      this->callers[number - 1]->Receive(datagram);
                    }
                  });
}

void StartFleet(Cluster& cluster, const FleetConfig& config) {
  ContractService service;
  service.name = config.service;
  service.full_name = config.customer + "/" + config.service;
  service.id = MakeServiceId(service.full_name);
  service.addresses = {config.address};
  service.limits = config.limits;
  for (std::uint32_t i = 0; i < config.balancers; ++i) {
    cluster.AddBalancer(i + 1, config.zone);
  }
  for (std::uint32_t i = 0; i < config.agents; ++i) {
    const std::uint32_t node = config.first_agent + i;
    cluster.AddAgent(node, config.zone, service.full_name);
    if (config.slots > 0) {
      cluster.GetServer(node).slots = config.slots;
    }
    service.servers.push_back(cluster.ServerEntry(node));
  }
  Contract contract;
  contract.customer = config.customer;
  contract.services = {service};
  cluster.GetPlatform().Publish(contract);
  cluster.PublishHostList();
  cluster.RunFor(std::chrono::seconds(5));
}

}  // namespace cactuscross::testing
