#ifndef CACTUSCROSS_TESTS_SUPPORT_FLOW_WORLD_IMPL_H_
#define CACTUSCROSS_TESTS_SUPPORT_FLOW_WORLD_IMPL_H_

// Inside of the model, for its own sources.

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

#include "tests/support/flow_world.h"
#include "tests/support/flow_world_packets.h"

namespace cactuscross::testing {

inline constexpr Duration kTick{20000};
inline constexpr Duration kOnHost{50};
inline constexpr Duration kColdFor{2000000};
inline constexpr std::uint32_t kClientNet = 0x64400000;
inline constexpr std::uint32_t kRouteAddress = 0xC6120001;

enum class LinkSide : std::uint8_t { kOut = 0, kIn = 1 };

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

}  // namespace cactuscross::testing

#endif  // CACTUSCROSS_TESTS_SUPPORT_FLOW_WORLD_IMPL_H_
