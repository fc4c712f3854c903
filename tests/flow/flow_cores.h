#ifndef CACTUSCROSS_TESTS_FLOW_FLOW_CORES_H_
#define CACTUSCROSS_TESTS_FLOW_FLOW_CORES_H_

// The cores of one agent and of one balancer, driven tick by tick, and packets
// of one flow. The balancer reads a modelled store through the decoder of the
// deployment platform.

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "cactuscross/flow_agent.h"
#include "cactuscross/flow_balancer.h"

namespace cactuscross::testing {

inline constexpr FlowKey kFlow = {{0x64400007, 40001}, {0xC6120001, 443}};
inline constexpr std::uint32_t kBalancer = 77;
inline constexpr std::uint32_t kHostA = 0x0A000001;
inline constexpr std::uint32_t kHostB = 0x0A000002;
inline const std::uint32_t kDeskTag = ServiceTag(MakeServiceId("desk"));

// Initial sequence numbers of a client and a server in the first flow of a
// client's port and in the next one.
inline constexpr std::uint32_t kFirstClient = 100;
inline constexpr std::uint32_t kFirstServer = 500;
inline constexpr std::uint32_t kNextClient = 70000000;
inline constexpr std::uint32_t kNextServer = 90000000;

// A packet of the client, sent on by a balancer whose cache knows the flow.
FlowPacket MakePacket(std::uint32_t sequence, std::uint32_t acknowledgement);
FlowPacket MakeOpening(std::uint32_t sequence);

std::size_t CountNotices(const FlowAgentOutbox& outbox, NoticeKind kind);

// An agent that knows all flows of its server.
class AgentOfServer {
 public:
  AgentOfServer();

  FlowAgentOutbox Tick(const FlowAgentInbox& inbox = FlowAgentInbox());
  FlowAgentOutbox FromClient(const FlowPacket& packet);
  FlowAgentOutbox FromServer(FlowPacket packet);
  // Opens the flow; returns what the agent does when the server accepts it.
  FlowAgentOutbox Open(std::uint32_t client, std::uint32_t server);
  // Opens the flow, closes it, and opens it again.
  FlowAgentOutbox OpenTwice();
  // Flows that the agent resets when its server dies.
  std::size_t OpenFlows();
  // Value of a metric, whatever its labels; 0 if there is none.
  double Metric(const std::string& name) const;

  TimePoint now;

 private:
  FlowAgent agent;
};

// Value of the store's entry of a server; `rest`: further fields.
std::string MakeEntry(const std::string& address,
                      const std::string& state,
                      const std::string& rest,
                      const std::string& service = "desk");

// A balancer at a store with one route to "desk" and the servers a and b.
class BalancerAtStore {
 public:
  explicit BalancerAtStore(Duration max_stop_time = std::chrono::seconds(6));

  void Put(const std::string& key, const std::string& value);
  // Puts the next version of the configuration: the route leads to `service`,
  // or does not exist if that is empty.
  void PutRoute(const std::string& service, int priority = 0);

  // Ticks once, with the store's answers to the calls of earlier ticks.
  FlowBalancerOutbox Tick(FlowBalancerInbox inbox = FlowBalancerInbox());
  void Run(Duration time);
  FlowBalancerOutbox Send(const FlowPacket& packet);
  // The agent on `host` reports `running` requests with a notice on kFlow.
  FlowBalancerOutbox Notify(NoticeKind kind,
                            std::uint32_t host,
                            std::uint32_t running);
  // Hosts that get one of the new flows of 40 clients.
  std::vector<std::uint32_t> HostsOfNewFlows();

  TimePoint now;
  bool store_answers = true;  // else calls wait until it does

 private:
  StoreAnswer Answer(const StoreCall& call) const;

  FlowBalancer balancer;
  std::map<std::string, std::pair<std::string, std::uint64_t>> items;
  int version = 0;  // of the configuration
  std::uint64_t revision = 0;
  std::vector<StoreCall> calls;
  std::uint16_t next_port = 1000;
};

}  // namespace cactuscross::testing

#endif  // CACTUSCROSS_TESTS_FLOW_FLOW_CORES_H_
