#ifndef CACTUSCROSS_TESTS_SUPPORT_LOADED_BALANCER_H_
#define CACTUSCROSS_TESTS_SUPPORT_LOADED_BALANCER_H_

// A FlowBalancer that has loaded its view from a modelled store: two routes, of
// the priorities 1 and 2, to one service whose agents report what the test
// says.

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "cactuscross/flow_balancer.h"

namespace cactuscross::testing {

inline constexpr Endpoint kQueryAddress{0xC6120001, 443};  // priority 1
inline constexpr Endpoint kFeedAddress{0xC6120001, 80};    // priority 2
inline constexpr std::uint32_t kServerSlots = 3;

class LoadedBalancer {
 public:
  // Runs until the balancer is ready and all of its `servers` agents have
  // reported.
  LoadedBalancer(bool priority_admission, std::uint32_t servers);

  // Sends one opening of `client`.
  void Open(const Endpoint& address,
            std::uint32_t client,
            std::uint32_t retransmit_count = 0);
  // The store has a newer version of the routes, with the priorities 1 and 2 or
  // without any.
  void PublishRoutes(bool with_priorities);
  // All agents report this number of running requests.
  void ReportLoad(std::uint32_t running);
  static FlowNotice MakeLoad(std::uint32_t host, std::uint32_t running);
  // Advances the time while all servers report `running` requests.
  void Wait(Duration time, std::uint32_t running);
  // Advances the time by 1 ms.
  void Tick(FlowBalancerInbox inbox);

  // Last event of `kind`; null if there is none.
  const FlowEvent* Last(FlowEventKind kind) const;
  // Value of a metric; 0 if there is none.
  double Metric(const std::string& name, const std::string& labels) const;

  std::vector<FlowEvent> events;
  std::vector<Endpoint> forwarded_to;
  std::size_t resets = 0;

 private:
  void Answer(const StoreCall& call);

  const std::uint32_t servers;
  FlowBalancer balancer;
  TimePoint now{std::chrono::seconds(100)};
  bool ready = false;
  std::uint64_t revision;                 // of the routes
  std::optional<StoreCall> routes_watch;  // not answered yet
  std::vector<StoreAnswer> answers;
};

}  // namespace cactuscross::testing

#endif  // CACTUSCROSS_TESTS_SUPPORT_LOADED_BALANCER_H_
