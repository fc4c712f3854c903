#ifndef CACTUSCROSS_TESTS_SUPPORT_FLOW_SIMULATION_IMPL_H_
#define CACTUSCROSS_TESTS_SUPPORT_FLOW_SIMULATION_IMPL_H_

// Implementation class of FlowSimulation.

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "tests/support/flow_simulation.h"
#include "tests/support/flow_simulation_packets.h"

namespace cactuscross::testing {

// Durations in microseconds.
inline constexpr Duration kTickInterval{20000};
// Between an agent and the server on its host.
inline constexpr Duration kLoopbackDelay{50};
// A server is slower for this time after its start.
inline constexpr Duration kWarmupTime{2000000};
inline constexpr std::uint32_t kClientNetwork = 0x64400000;  // 100.64.0.0
inline constexpr std::uint32_t kRouteAddress = 0xC6120001;   // 198.18.0.1

enum class LinkDirection : std::uint8_t { kOutbound = 0, kInbound = 1 };

class FlowSimulation::Impl {
 public:
  Impl(FlowSimulation& simulation, const FlowSimulationConfig& config);

  // A backend server and the agent on its host.
  struct Server {
    std::string name;
    std::size_t service = 0;  // index into config.services
    std::uint32_t host = 0;
    bool up = true;
    bool silent = false;   // when down: drops connections without refusing them
    bool leaving = false;  // as its store entry reports
    double slowdown = 1.0;  // factor of the service times
    TimePoint started_at;
    TimePoint warm_at;
    std::uint64_t incarnation = 0;
    struct Flow {
      std::uint32_t sequence = 0;
      bool open = false;
      std::uint32_t last_request = 0;  // sequence of the last request
      std::optional<PacketHeader> answer;
    };
    std::map<std::uint64_t, Flow> flows;  // by PackFlow()
    std::deque<std::function<void()>> queue;
    std::uint32_t running = 0;
    std::vector<TimePoint> openings;  // when opening packets were received
    std::uint64_t report_number = 0;  // of the last store entry
    bool removed = false;             // the host has failed and does not return

    std::unique_ptr<FlowAgent> agent;
    std::uint64_t agent_start_count = 0;
  };

  struct Balancer {
    std::unique_ptr<FlowBalancer> core;
    std::uint32_t host = 0;
    std::uint32_t zone = 0;
    bool ready = false;
    int consecutive_failures = 0;  // of readiness checks
    bool in_rotation = false;      // routers send packets to it
    bool stopping = false;
    bool isolated = false;  // from the store and the other balancers
    std::uint64_t start_count = 0;
    double bytes_per_second = 0;  // of the link, each direction; 0: unlimited
    std::array<TimePoint, 2> link_free_at{};  // by LinkDirection
  };

  struct StoreEntry {
    bool is_server = false;
    bool removed = false;
    std::uint64_t revision = 0;
    TimePoint written_at;
    FlowServer server;
  };

  // Routes as the operator wrote them.
  using Routes = std::map<std::uint16_t, FlowRouteShares>;  // by port
  struct RoutesEntry {
    std::uint64_t version = 0;
    TimePoint written_at;
    Routes routes;
    std::uint64_t revision = 0;
  };

  // An order of the operator for a zone.
  struct ZoneEntry {
    ZoneOrder order;
    TimePoint written_at;
  };

  // A request of a client with all its attempts.
  struct Request {
    const FlowRequestConfig* config = nullptr;
    TimePoint started_at;
    int retries = 0;
    bool finished = false;
    std::optional<Duration> answered_after;
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
    std::uint64_t request = 0;  // in progress, or 0
    std::size_t kind = 0;       // index into config.requests
    std::size_t user = 0;
    TimePoint disturbed_at;
  };

  void Start();
  void StartBalancer(std::size_t index);
  void StartAgent(std::size_t index);
  void StartServer(std::size_t index, std::string name);
  void CheckReadiness();
  void TickAll();

  // Sends over the link of a balancer, whose rate may be limited.
  void SendOverLink(std::size_t balancer,
                    LinkDirection direction,
                    std::size_t bytes,
                    LinkEnd peer,
                    const Link::Action& deliver);
  // Counts a datagram of a search and returns its size.
  std::size_t CountSearchBytes(std::size_t bytes);
  // Size of a notice; counts it if it belongs to a search.
  std::size_t NoticeBytes(const FlowNotice& notice);
  bool IsLost(const FlowNotice& notice) const;
  void TickBalancer(std::size_t index, FlowBalancerInbox inbox);
  void TickAgent(std::size_t index, const FlowAgentInbox& inbox);
  // Delivers a notice of an agent to the agent on `host`, if there is one.
  void NotifyAgents(std::uint32_t host, const FlowNotice& notice);
  // Delivers a packet that the agent of server `index` relays.
  void RelayToAgent(std::size_t index, const FlowForward& forward);
  void DeliverToClient(const Bytes& bytes);
  void DeliverResetToClient(const FlowReset& reset);
  void DeliverToServer(std::size_t index, const Bytes& bytes, RouteMark mark);
  void RunRequest(std::size_t index,
                  std::uint64_t flow,
                  const PacketHeader& header);
  void SendFromServer(std::size_t index, const PacketHeader& header);
  void ReturnToAgent(std::size_t index, const Bytes& bytes, RouteMark mark);

  void RecordEvents(const std::string& process,
                    const std::vector<FlowEvent>& reported);

  void CallStore(std::size_t balancer, const StoreCall& call);
  using StoreReply = std::function<void(StoreAnswer)>;
  // Replies to a call, or waits for a change if it is a watch.
  void AnswerOrWait(const StoreCall& call,
                    TimePoint call_started_at,
                    const StoreReply& reply);
  StoreAnswer MakeStoreAnswer(const StoreCall& call) const;
  void AddOperatorEntries(const StoreCall& call, StoreAnswer& answer) const;
  RouteSet MakeRoutes() const;
  // Orders in the store, the newest of each zone.
  std::map<std::string, ZoneOrder> CurrentOrders() const;
  void PutZoneOrder(const std::string& zone, bool evacuated);
  // Port of the route that the requests use.
  std::uint16_t PortOf(const FlowRequestConfig& request) const;
  void DescribeRequests(std::uint16_t port, FlowRoute& route) const;
  void PutEntry(std::size_t index, bool removed);
  void PutRoutes();
  // Returns whether an opening for `port` may reach `service`: the route names
  // it, or did so until shortly before now.
  bool MayOpenAt(std::uint16_t port, const std::string& service) const;
  void RestoreStore(Duration copy_age);
  // The store is down, or will have the newest routes after `time`.
  void NoteStoreUnsettled(Duration time);

  void StartRequest(std::size_t kind, std::size_t user);
  void ScheduleRequests(std::size_t kind);
  void StartAttempt(std::uint64_t request);
  void OpenFlow(std::uint64_t request);
  void SendOpening(std::uint64_t flow, std::uint32_t retransmit_count);
  void SendRequest(std::uint64_t flow, Duration retransmission_timeout);
  void SendFromClient(const PacketHeader& header);
  void HandleFailedAttempt(std::uint64_t flow, bool not_run);
  void Finish(std::uint64_t request, bool served);

  static std::uint64_t PackFlow(const FlowKey& key) {
    return (std::uint64_t{key.client.address} << 16U) | key.client.port;
  }

  FlowSimulation& simulation;
  FlowSimulationConfig config;
  std::vector<Balancer> balancers;
  std::vector<Server> servers;
  Routes routes;
  std::uint64_t routes_version = 0;  // in the store
  std::uint64_t written_version =
      0;                            // the highest that the operator has written
  std::vector<StoreEntry> history;  // server entries in order of revision
  std::uint64_t revision = 1;
  std::uint64_t history_start_revision = 0;
  std::uint64_t store_era = 1;
  std::vector<RoutesEntry> routes_history;  // in order of version
  std::vector<ZoneEntry> zone_history;      // in order of revision
  std::vector<RoutesEntry> written_routes;  // all that the operator has written
  bool store_down = false;
  bool store_silent = false;
  // The last period in which the store was down or lacked the newest routes,
  // possibly for several reasons.
  TimePoint store_unsettled_since;
  TimePoint store_settled_at;
  std::uint64_t store_calls = 0;
  std::map<std::uint64_t, ClientFlow> flows;
  std::map<std::uint64_t, Request> requests;
  std::map<std::pair<std::size_t, std::size_t>, std::uint64_t> long_flows;
  std::uint64_t next_request = 1;
  std::uint32_t next_client = 1;
  std::array<std::uint64_t, kFlowEventKinds> events{};
  FlowTotals totals;
  LookupFault lookup_fault = LookupFault::kNone;
  std::uint64_t search_bytes = 0;
  TimePoint last_lost_at;
  std::uint64_t lost_in_use = 0;
  std::vector<Duration> lost_ages;
};

}  // namespace cactuscross::testing

#endif  // CACTUSCROSS_TESTS_SUPPORT_FLOW_SIMULATION_IMPL_H_
