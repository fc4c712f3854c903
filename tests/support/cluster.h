#ifndef CACTUSCROSS_TESTS_SUPPORT_CLUSTER_H_
#define CACTUSCROSS_TESTS_SUPPORT_CLUSTER_H_

// Real balancers and agents on the in-memory network, with fake callers,
// backend servers and platform. Calls their Tick() in logical time.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cactuscross/agent.h"
#include "cactuscross/balancer.h"
#include "tests/support/fake_caller.h"
#include "tests/support/fake_platform.h"
#include "tests/support/fake_server.h"
#include "tests/support/link.h"

namespace cactuscross::testing {

enum class ProcessState : std::uint8_t { kRunning, kPaused, kDown };

// A balancer or agent. Exactly one of the two cores is set while it is up.
struct Process {
  PeerAddress address;
  BalancerSettings balancer_settings;
  AgentSettings agent_settings;
  ProcessState state = ProcessState::kDown;
  std::unique_ptr<Balancer> balancer;
  std::unique_ptr<Agent> agent;
  BalancerInbox balancer_inbox;
  AgentInbox agent_inbox;
  std::uint64_t starts = 0;  // number of starts so far
  Duration clock_offset{0};  // of the clock of this process
  TimePoint next_tick;
  TimePoint running_since;  // time of the last start or resume
  bool stop_requested = false;
  bool exited = false;  // exited by itself after a requested stop
};

class Cluster {
 public:
  explicit Cluster(std::uint64_t seed);

  Link& GetLink() { return this->link; }
  FakePlatform& GetPlatform() { return this->platform; }
  ServerLedger& GetLedger() { return this->ledger; }
  TimePoint Now() const { return this->link.Now(); }

  // These add a process and start it. An agent gets its own server.
  Process& AddBalancer(std::uint32_t node, const std::string& zone);
  Process& AddAgent(std::uint32_t node,
                    const std::string& zone,
                    const std::string& service);
  FakeCaller& AddCaller();

  // Returns the contract entry of this agent's server.
  ContractServer ServerEntry(std::uint32_t node) const;

  Process& GetProcess(std::uint32_t node);
  FakeServer& GetServer(std::uint32_t agent_node);
  FakeCaller& GetCaller(std::size_t index) { return *this->callers[index]; }
  const FakeCaller& GetCaller(std::size_t index) const {
    return *this->callers[index];
  }
  std::size_t CallerCount() const { return this->callers.size(); }
  const std::map<std::uint32_t, Process>& Processes() const {
    return this->processes;
  }

  void Kill(std::uint32_t node);   // all memory is lost
  void Start(std::uint32_t node);  // with a new incarnation
  void Pause(std::uint32_t node);
  void Resume(std::uint32_t node);
  void RequestStop(std::uint32_t node);  // graceful shutdown
  // Cuts all paths between the processes of `a` and those of `b`.
  void Partition(const std::vector<std::uint32_t>& a,
                 const std::vector<std::uint32_t>& b);
  void CutPlatform(std::uint32_t node);
  // Drops the datagrams between two processes, in both directions, until the
  // path is renewed.
  void BlackholePath(std::uint32_t a, std::uint32_t b);
  // Sets whether the network sprays callers' datagrams to this balancer, which
  // it does by default. Each datagram goes to a random one of these balancers.
  void SetSprayTarget(std::uint32_t node, bool is_target);
  // Publishes the processes that are up as the host list of the platform.
  void PublishHostList();

  // Runs for `time` in steps of whole milliseconds, skipping those without an
  // event. Calls `check`, if set, after each step.
  void RunFor(Duration time);

  std::function<void()> check;
  // Routing policy of processes started from now on; empty for the default.
  std::string policy;
  // May change a message between processes; used for false load reports.
  std::function<void(PeerEnvelope&)> on_peer_envelope;
  // Called with each call to a server, before the server handles it.
  std::function<void(const Process&, const ServerCall&)> on_server_call;

 private:
  Incarnation MakeIncarnation(const Process& process) const;
  void CreateCore(Process& process);
  void TickProcess(Process& process);
  void TickBalancer(Process& process, TimePoint now);
  void TickAgent(Process& process, TimePoint now);
  void SendPeers(const Process& process,
                 const std::vector<PeerEnvelope>& envelopes);
  void Deliver(const PeerEnvelope& envelope);
  void SendReads(const Process& process,
                 const std::vector<PlatformRead>& reads);
  void AnswerRead(NodeId node,
                  std::uint64_t start_count,
                  const PlatformResult& result);
  void CallServer(const Process& process, const ServerCall& call);
  void CheckHealth(const Process& process);
  void Spray(const CallerDatagram& datagram);
  void ReplyToCaller(const Process& process, const CallerDatagram& datagram);
  Process* FindRunning(NodeId node, std::uint64_t start_count);
  TimePoint NextTime(TimePoint end) const;

  Link link;
  FakePlatform platform;
  ServerLedger ledger;
  std::map<std::uint32_t, Process> processes;
  std::map<std::uint32_t, std::unique_ptr<FakeServer>> servers;
  std::vector<std::unique_ptr<FakeCaller>> callers;
  std::set<std::uint32_t> spray_targets;
};

// A service of one customer and its processes, all in one zone.
struct FleetConfig {
  std::string customer = "workshops";
  std::string service = "claims";
  Endpoint address;
  std::string zone = "north-1";
  std::uint32_t balancers = 3;  // nodes from 1
  std::uint32_t first_agent = 11;
  std::uint32_t agents = 4;
  std::uint32_t slots = 0;  // of each server; 0 for the default
  ServiceLimits limits;
};

// Starts the processes of `config`, publishes the contract, and runs long
// enough for all processes to receive it.
void StartFleet(Cluster& cluster, const FleetConfig& config);

}  // namespace cactuscross::testing

#endif  // CACTUSCROSS_TESTS_SUPPORT_CLUSTER_H_
