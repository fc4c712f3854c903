#include "tests/control/control_fleet.h"

#include <algorithm>
#include <iterator>

namespace cactuscross {

namespace {

constexpr std::uint32_t kLoopback = 0x7F000001;
constexpr std::uint16_t kFirstPort = 7000;
constexpr std::size_t kMaxSeedPeers = 3;
constexpr Duration kReadDelay = milliseconds(5);
constexpr Duration kRetransmissionDelay = milliseconds(250);  // of a stream

bool IsStream(const PeerMessage& body) {
  return std::holds_alternative<ContractDigest>(body) ||
         std::holds_alternative<ContractPull>(body) ||
         std::holds_alternative<ContractPush>(body);
}

}  // namespace

ContractVersion FakeConfigService::Put(const std::string& customer,
                                       const std::vector<PeerAddress>& agents,
                                       std::size_t text_bytes) {
  std::string text = "text " + std::to_string(++this->texts);
  text.resize(std::max(text.size(), text_bytes), '.');
  Contract contract;
  contract.customer = customer;
  ContractService service;
  service.name = "claims";
  service.full_name = customer + "/claims";
  service.id = MakeServiceId(service.full_name);
  for (const PeerAddress& agent : agents) {
    ContractServer server;
    server.node = agent.node;
    server.zone = agent.zone;
    server.agent = agent.endpoint;
    service.servers.push_back(std::move(server));
  }
  contract.services.push_back(std::move(service));
  (*this->contracts)[text] = std::move(contract);
  return this->Write(customer, {customer, 0, false, std::move(text)});
}

ContractVersion FakeConfigService::PutInvalid(const std::string& customer) {
  return this->Write(customer, {customer, 0, false, "bad"});
}

ContractVersion FakeConfigService::Delete(const std::string& customer) {
  return this->Write(customer, {customer, 0, true, ""});
}

ContractVersion FakeConfigService::Write(const std::string& customer,
                                         ContractValue value) {
  value.version = ++this->revision;
  this->values[customer] = value;
  this->history.push_back(std::move(value));
  return this->revision;
}

PlatformResult FakeConfigService::Read(ContractVersion since) const {
  PlatformResult result;
  result.kind = PlatformReadKind::kWatchContracts;
  result.ok = !this->down;
  if (this->down) {
    return result;
  }
  result.revision = this->stale_revision.value_or(this->revision);
  if (!this->stale_revision) {
    for (const auto& [customer, value] : this->values) {
      if (value.version > since) {
        result.values.push_back(value);
      }
    }
    return result;
  }
  std::map<std::string, ContractValue> seen;
  for (const ContractValue& value : this->history) {
    if (value.version <= result.revision) {
      seen[value.customer] = value;
    }
  }
  for (auto& [customer, value] : seen) {
    if (value.version > since) {
      result.values.push_back(std::move(value));
    }
  }
  return result;
}

ContractParser FakeConfigService::Parser() const {
  return [contracts_by_text = this->contracts](
             std::string_view /*key*/,
             std::string_view text) -> tl::expected<Contract, Error> {
    const auto found = contracts_by_text->find(std::string(text));
    if (found == contracts_by_text->end()) {
      return tl::make_unexpected(
          Error{ResultCode::kYamlSyntax, "invalid text", "", 0});
    }
    return found->second;
  };
}

NodeId ControlFleet::Add(NodeSettings settings,
                         std::string customer,
                         bool start) {
  const auto number = static_cast<std::uint32_t>(this->processes.size() + 1);
  settings.node = NodeId{number};
  // Each process has its own IP address, since the port numbers of a single
  // address do not suffice for thousands of processes.
  settings.listen = {kLoopback + number, kFirstPort};
  const std::size_t seeds = std::min(kMaxSeedPeers, this->balancers.size());
  for (std::size_t i = 0; i < seeds; ++i) {
    const std::size_t index = (number + i * 7) % this->balancers.size();
    settings.seeds.push_back(this->AddressOf(this->balancers[index]));
  }
  Process process;
  process.settings = std::move(settings);
  process.customer = std::move(customer);
  const NodeId node = process.settings.node;
  this->processes.emplace(node, std::move(process));
  if (start) {
    this->Start(node);
  }
  return node;
}

NodeId ControlFleet::AddBalancer(const std::string& zone, bool start) {
  NodeSettings settings;
  settings.role = Role::kBalancer;
  settings.zone = zone;
  const NodeId node = this->Add(std::move(settings), "", start);
  this->balancers.push_back(node);
  return node;
}

NodeId ControlFleet::AddAgent(const std::string& zone,
                              const std::string& customer,
                              bool start) {
  NodeSettings settings;
  settings.role = Role::kAgent;
  settings.zone = zone;
  const NodeId node = this->Add(std::move(settings), customer, start);
  this->agents.push_back(node);
  return node;
}

void ControlFleet::Start(NodeId node) {
  Process& process = this->processes.at(node);
  ++process.starts;
  process.inbox.clear();
  process.results.clear();
  process.paused_until.reset();
  CoreDependencies dependencies;
  dependencies.parse_contract = this->service.Parser();
  // Increases with each start of a process.
  dependencies.incarnation = Incarnation{
      static_cast<std::uint64_t>(this->now.time_since_epoch().count()) * 1000 +
      ToNumber(node)};
  dependencies.seed = this->seed * 1000003 +
                      std::uint64_t{ToNumber(node)} * 31 + process.starts;
  process.control =
      std::make_unique<ControlPlane>(process.settings, dependencies);
  if (!process.customer.empty()) {
    process.control->SubscribeTo(process.customer);
  }
}

void ControlFleet::Kill(NodeId node) {
  this->processes.at(node).control.reset();
}

void ControlFleet::Pause(NodeId node, Duration length) {
  this->processes.at(node).paused_until = this->now + length;
}

PeerAddress ControlFleet::AddressOf(NodeId node) const {
  const NodeSettings& settings = this->processes.at(node).settings;
  return {node, settings.role, settings.zone, settings.listen};
}

std::vector<NodeId> ControlFleet::Readers() const {
  std::vector<NodeId> readers;
  for (const NodeId node : this->balancers) {
    if (this->Alive(node) &&
        this->processes.at(node).control->Dump()["reads_service"]) {
      readers.push_back(node);
    }
  }
  return readers;
}

std::vector<NodeId> ControlFleet::Disagreeing(NodeId node,
                                              MemberState state) const {
  std::vector<NodeId> disagreeing;
  for (const NodeId balancer : this->balancers) {
    const Process& process = this->processes.at(balancer);
    const bool is_checked = process.control != nullptr && balancer != node &&
                            !this->Paused(process);
    if (is_checked && process.control->StateOf(node) != state) {
      disagreeing.push_back(balancer);
    }
  }
  return disagreeing;
}

ContractVersion ControlFleet::VersionAt(NodeId node,
                                        const std::string& customer) const {
  const Process& process = this->processes.at(node);
  const ServiceId id = MakeServiceId(customer + "/claims");
  const ServiceView view = process.control->FindById(id);
  return view ? view.active->version : 0;
}

bool ControlFleet::AllHave(const std::vector<NodeId>& nodes,
                           const std::string& customer,
                           ContractVersion version) const {
  return std::all_of(nodes.begin(), nodes.end(), [&](NodeId node) {
    return !this->Alive(node) || this->VersionAt(node, customer) >= version;
  });
}

void ControlFleet::Run(Duration length) {
  const TimePoint end = this->now + length;
  while (this->now < end) {
    this->Step();
  }
}

bool ControlFleet::RunUntil(const std::function<bool()>& done,
                            Duration max_duration) {
  const TimePoint end = this->now + max_duration;
  while (this->now < end && !done()) {
    this->Step();
  }
  return done();
}

void ControlFleet::Step() {
  this->now += this->tick;
  this->Deliver();
  this->AnswerReads();
  this->TickRole(Role::kBalancer, this->balancer_seconds);
  this->TickRole(Role::kAgent, this->agent_seconds);
  for (PeerEnvelope& envelope : std::exchange(this->outgoing, {})) {
    this->Transmit(std::move(envelope));
  }
}

void ControlFleet::TickRole(Role role, double& seconds) {
  const double before = this->cpu_clock ? this->cpu_clock() : 0;
  const auto& nodes = role == Role::kBalancer ? this->balancers : this->agents;
  for (const NodeId node : nodes) {
    Process& process = this->processes.at(node);
    if (process.control != nullptr && !this->Paused(process)) {
      this->TickProcess(node, process);
    }
  }
  seconds += this->cpu_clock ? this->cpu_clock() - before : 0;
}

void ControlFleet::Deliver() {
  while (!this->in_flight.empty() &&
         this->in_flight.top().arrival <= this->now) {
    PeerEnvelope envelope = this->in_flight.top().envelope;
    this->in_flight.pop();
    const auto receiver = this->processes.find(envelope.to.node);
    if (receiver != this->processes.end() && receiver->second.control) {
      receiver->second.inbox.push_back(std::move(envelope));
    }
  }
}

void ControlFleet::TickProcess(NodeId node, Process& process) {
  ++process.ticks;
  ControlPlane& control = *process.control;
  for (const PlatformResult& result : std::exchange(process.results, {})) {
    control.HandlePlatform(this->now, result);
  }
  const std::optional<LoadReport> load =
      process.settings.role == Role::kAgent
          ? std::optional<LoadReport>(LoadReport{})
          : std::nullopt;
  for (const PeerEnvelope& envelope : std::exchange(process.inbox, {})) {
    control.Handle(this->now, envelope, load);
  }
  ControlOutbox outbox;
  control.Tick(this->now, outbox);
  this->outgoing.insert(this->outgoing.end(),
                        std::make_move_iterator(outbox.peer_envelopes.begin()),
                        std::make_move_iterator(outbox.peer_envelopes.end()));
  for (const PlatformRead& read : outbox.platform_reads) {
    ++this->service.calls;
    this->pending_reads.push_back(
        {node, process.starts, read,
         this->now + std::max<Duration>(kReadDelay, read.wait)});
  }
  process.renewed_paths.insert(process.renewed_paths.end(),
                               outbox.renewed_paths.begin(),
                               outbox.renewed_paths.end());
}

void ControlFleet::Transmit(PeerEnvelope envelope) {
  if (this->observer) {
    this->observer(envelope);
  }
  const bool cut =
      (this->faults.cut && this->faults.cut(envelope.from, envelope.to)) ||
      (this->faults.drop && this->faults.drop(envelope));
  const bool lost = this->faults.loss_percent > 0 &&
                    this->random.Below(100) < this->faults.loss_percent;
  // A stream retransmits lost messages.
  const bool arrives = !lost || IsStream(envelope.body);
  if (!cut && arrives) {
    const Duration retransmission_delay =
        lost ? kRetransmissionDelay : Duration(0);
    const TimePoint arrival = this->now + this->delay + retransmission_delay +
                              this->random.UpTo(this->delay / 2);
    this->in_flight.push({arrival, ++this->order, std::move(envelope)});
  }
}

void ControlFleet::AnswerReads() {
  std::vector<PendingRead> still_pending;
  for (PendingRead& pending_read : std::exchange(this->pending_reads, {})) {
    Process& process = this->processes.at(pending_read.node);
    if (process.starts != pending_read.start || process.control == nullptr) {
      continue;
    }
    PlatformResult result;
    const bool cut =
        this->faults.service_cut && this->faults.service_cut(pending_read.node);
    if (cut) {
      result.kind = pending_read.read.kind;
    } else if (pending_read.read.kind == PlatformReadKind::kReadHosts) {
      result.kind = PlatformReadKind::kReadHosts;
      result.ok = !this->service.down;
      result.hosts = result.ok ? this->service.hosts : std::vector<HostEntry>();
    } else if (this->now >= pending_read.deadline || this->service.down ||
               this->service.stale_revision.value_or(this->service.revision) >
                   pending_read.read.since) {
      result = this->service.Read(pending_read.read.since);
    } else {
      still_pending.push_back(pending_read);
      continue;
    }
    process.results.push_back(std::move(result));
  }
  this->pending_reads.insert(this->pending_reads.end(), still_pending.begin(),
                             still_pending.end());
}

}  // namespace cactuscross
