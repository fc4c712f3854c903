#ifndef CACTUSCROSS_TESTS_CONTROL_CONTROL_FLEET_H_
#define CACTUSCROSS_TESTS_CONTROL_CONTROL_FLEET_H_

// Several control planes on one in-memory link with logical time, and a
// stand-in for the configuration service. Equal seeds give equal runs.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "src/core/control/control_limits.h"
#include "src/core/control/control_plane.h"
#include "src/core/control/control_random.h"

namespace cactuscross {

// Stand-in for the configuration service of the platform. It serves contracts
// and the host list; processes only read from it.
class FakeConfigService {
 public:
  // Writes a contract with these agents; returns its version.
  ContractVersion Put(const std::string& customer,
                      const std::vector<PeerAddress>& agents = {},
                      std::size_t text_bytes = 0);
  // Writes a text that the parser rejects.
  ContractVersion PutInvalid(const std::string& customer);
  ContractVersion Delete(const std::string& customer);

  PlatformResult Read(ContractVersion since) const;
  ContractParser Parser() const;

  std::map<std::string, ContractValue> values;
  ContractVersion revision = 0;
  bool down = false;
  std::optional<ContractVersion>
      stale_revision;  // if set, that state is served
  std::vector<HostEntry> hosts;
  std::uint64_t calls = 0;  // reads of contracts and of the host list

 private:
  ContractVersion Write(const std::string& customer, ContractValue value);

  std::vector<ContractValue> history;
  std::shared_ptr<std::map<std::string, Contract>> contracts =
      std::make_shared<std::map<std::string, Contract>>();
  std::uint64_t texts = 0;
};

// Faults of the link and of reads from the configuration service.
struct LinkFaults {
  unsigned loss_percent = 0;  // of messages; streams retransmit lost ones
  // True: messages from the first to the second process are dropped, also those
  // of streams.
  std::function<bool(const PeerAddress&, const PeerAddress&)> cut;
  // True: this message is dropped, also on a stream.
  std::function<bool(const PeerEnvelope&)> drop;
  std::function<bool(NodeId)> service_cut;  // true: reads of this process fail
};

class ControlFleet {
 public:
  struct Process {
    NodeSettings settings;
    std::string customer;  // of an agent
    std::unique_ptr<ControlPlane> control;
    std::uint64_t starts = 0;
    std::optional<TimePoint> paused_until;
    std::vector<PeerEnvelope> inbox;
    std::vector<PlatformResult> results;
    std::vector<NodeId> renewed_paths;
    std::uint64_t ticks = 0;
  };

  explicit ControlFleet(std::uint64_t seed) : random(seed), seed(seed) {}

  // Adds a process; it starts at once unless `start` is false.
  NodeId AddBalancer(const std::string& zone, bool start = true);
  NodeId AddAgent(const std::string& zone,
                  const std::string& customer,
                  bool start = true);

  // Starts or restarts a process without any state.
  void Start(NodeId node);
  void Kill(NodeId node);
  void Pause(NodeId node, Duration length);

  // Runs for `length` of logical time.
  void Run(Duration length);
  // Runs until `done` returns true, for at most `max_duration`. Returns the
  // final result of `done`.
  bool RunUntil(const std::function<bool()>& done, Duration max_duration);

  ControlPlane& At(NodeId node) { return *this->processes.at(node).control; }
  bool Alive(NodeId node) const {
    return this->processes.at(node).control != nullptr;
  }
  PeerAddress AddressOf(NodeId node) const;
  bool Ready(NodeId node) const {
    return this->processes.at(node).control->ReadyForNewWork();
  }
  // Balancers that read the configuration service now.
  std::vector<NodeId> Readers() const;
  // Running balancers, except `node` and paused ones, that have recorded
  // another state than `state` for `node`.
  std::vector<NodeId> Disagreeing(NodeId node, MemberState state) const;
  // Version in force of `customer` at `node`; 0 if none.
  ContractVersion VersionAt(NodeId node, const std::string& customer) const;
  // True if all running processes in `nodes` have at least `version`.
  bool AllHave(const std::vector<NodeId>& nodes,
               const std::string& customer,
               ContractVersion version) const;

  FakeConfigService service;
  LinkFaults faults;
  Duration delay{1000};  // one way
  Duration tick{10000};  // between ticks
  std::map<NodeId, Process> processes;
  std::vector<NodeId> balancers;
  std::vector<NodeId> agents;
  TimePoint now{seconds(1000)};
  // Called for each message that is sent.
  std::function<void(const PeerEnvelope&)> observer;
  // CPU time in seconds. If set, the time of the control planes is summed up
  // in the two members below.
  std::function<double()> cpu_clock;
  double balancer_seconds = 0;
  double agent_seconds = 0;

 private:
  struct InFlight {
    TimePoint arrival;
    std::uint64_t order;
    PeerEnvelope envelope;
    bool operator<(const InFlight& other) const {
      return std::pair(this->arrival, this->order) >
             std::pair(other.arrival, other.order);
    }
  };
  struct PendingRead {
    NodeId node;
    std::uint64_t start;  // `starts` of the process when it sent the read
    PlatformRead read;
    TimePoint deadline;
  };

  NodeId Add(NodeSettings settings, std::string customer, bool start);
  void Step();
  void Deliver();
  void TickRole(Role role, double& seconds);
  void TickProcess(NodeId node, Process& process);
  void Transmit(PeerEnvelope envelope);
  void AnswerReads();
  bool Paused(const Process& process) const {
    return process.paused_until && this->now < *process.paused_until;
  }

  ControlRandom random;
  std::uint64_t seed;
  std::uint64_t order = 0;
  std::priority_queue<InFlight> in_flight;
  std::vector<PendingRead> pending_reads;
  std::vector<PeerEnvelope> outgoing;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_TESTS_CONTROL_CONTROL_FLEET_H_
