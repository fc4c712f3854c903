#ifndef CACTUSCROSS_TESTS_SUPPORT_LINK_H_
#define CACTUSCROSS_TESTS_SUPPORT_LINK_H_

// A seeded in-memory network in logical time. It runs scheduled actions in
// order of time, and can lose, duplicate, delay or partition the messages sent.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <utility>

#include "cactuscross/types.h"

namespace cactuscross::testing {

// The only source of randomness of a test, so that a seed repeats a run.
class Random {
 public:
  explicit Random(std::uint64_t seed) : engine(seed) {}

  std::uint64_t Next() { return this->engine(); }
  // Returns a number from 0 to `bound` - 1; 0 if `bound` is 0.
  std::uint64_t Below(std::uint64_t bound) {
    return bound == 0 ? 0 : this->engine() % bound;
  }
  bool Chance(double probability);
  Duration Between(Duration min, Duration max);

 private:
  std::mt19937_64 engine;
};

// One end of a network path: a process, a caller, a server or the platform.
enum class LinkEnd : std::uint64_t {};

inline constexpr LinkEnd kPlatformLinkEnd{1ULL << 62U};

inline LinkEnd LinkEndOf(NodeId node) {
  return LinkEnd{ToNumber(node)};
}

// Returns the link end of a caller or server.
inline LinkEnd LinkEndOf(const Endpoint& endpoint) {
  return LinkEnd{(1ULL << 63U) | (std::uint64_t{endpoint.address} << 16U) |
                 endpoint.port};
}

enum class Transport : std::uint8_t {
  kDatagram,         // may be lost, duplicated or reordered
  kNewPathDatagram,  // a datagram from a new source port: passes a blackhole
  kStream,           // reliable and in order, unless its path is cut
};

// Faults of datagrams, and the delay of all messages.
struct LinkFaults {
  double loss = 0;         // probability
  double duplication = 0;  // probability
  double extra_delay = 0;  // probability of a delay up to max_extra_delay more
  Duration max_extra_delay{0};
  Duration delay{500};
  Duration jitter{0};  // random addition to each delay; reorders datagrams
};

class Link {
 public:
  using Action = std::function<void()>;

  explicit Link(std::uint64_t seed);

  TimePoint Now() const { return this->now; }
  Random& GetRandom() { return this->random; }

  // Runs `action` after `delay`.
  void Schedule(Duration delay, Action action);

  // Runs `deliver` at the receiver. Depending on the faults it runs never, once
  // or twice.
  void Send(LinkEnd from,
            LinkEnd to,
            Transport transport,
            const Action& deliver);

  void SetFaults(const LinkFaults& faults) { this->faults = faults; }

  // Drops messages in both directions that are sent until Heal().
  void Cut(LinkEnd a, LinkEnd b);
  void Heal(LinkEnd a, LinkEnd b);
  void HealAll();
  bool Connected(LinkEnd a, LinkEnd b) const;

  // Drops datagrams from `from` to `to` until RenewPath(). A stream on the path
  // recovers after its heartbeat timeout.
  void Blackhole(LinkEnd from, LinkEnd to);
  void RenewPath(LinkEnd from, LinkEnd to);

  std::optional<TimePoint> NextAction() const;
  // Advances the time to `time` and runs the actions that are due, in order.
  void AdvanceTo(TimePoint time);

 private:
  using Pair = std::pair<LinkEnd, LinkEnd>;

  bool IsLost(LinkEnd from, LinkEnd to, Transport transport);
  Duration DrawDelay(Transport transport);

  Random random;
  TimePoint now{std::chrono::seconds(1)};
  LinkFaults faults;
  std::multimap<TimePoint, Action> actions;
  std::set<Pair> cuts;
  std::map<Pair, TimePoint> blackholed;
  std::map<Pair, TimePoint> last_stream_delivery;
};

}  // namespace cactuscross::testing

#endif  // CACTUSCROSS_TESTS_SUPPORT_LINK_H_
