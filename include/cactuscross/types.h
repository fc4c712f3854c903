#ifndef CACTUSCROSS_TYPES_H_
#define CACTUSCROSS_TYPES_H_

// Basic value types of the whole project: time, identifiers, addresses, bytes.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include <gsl/span>

namespace cactuscross {

using Duration = std::chrono::microseconds;

// The clock of the core. The core never reads a clock; the caller of a tick
// passes the current time. The epoch differs per process, so messages carry
// durations, never time points.
struct CoreClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<CoreClock>;
};

using TimePoint = CoreClock::time_point;

using Bytes = std::vector<std::uint8_t>;
using ByteView = gsl::span<const std::uint8_t>;

// Identifies one process (balancer or agent) in the fleet.
enum class NodeId : std::uint32_t {};
inline constexpr NodeId kNoNode{0};

// Identifies one service: a hash of "customer/service", see MakeServiceId().
enum class ServiceId : std::uint64_t {};
inline constexpr ServiceId kNoService{0};

// Identifies one start of a process; a restart gets a higher value. To refute a
// false report about itself, a process raises the value that it sends in
// membership updates, as in SWIM.
enum class Incarnation : std::uint64_t {};

// Revision of a contract in the configuration service; never decreases.
using ContractVersion = std::uint64_t;

// An IPv4 address and a UDP or TCP port, both in host byte order.
struct Endpoint {
  std::uint32_t address = 0;
  std::uint16_t port = 0;

  friend bool operator==(const Endpoint& a, const Endpoint& b) {
    return a.address == b.address && a.port == b.port;
  }
  friend bool operator!=(const Endpoint& a, const Endpoint& b) {
    return !(a == b);
  }
  friend bool operator<(const Endpoint& a, const Endpoint& b) {
    return std::tie(a.address, a.port) < std::tie(b.address, b.port);
  }
};

struct EndpointHash {
  std::size_t operator()(const Endpoint& endpoint) const {
    const std::uint64_t packed =
        (std::uint64_t{endpoint.address} << 16U) | endpoint.port;
    return std::hash<std::uint64_t>()(packed * 0x9E3779B97F4A7C15ULL);
  }
};

// Role of a process.
enum class Role : std::uint8_t { kBalancer, kAgent };

// Address of one process. UDP (data) and ZeroMQ (control) use the same port
// number.
struct PeerAddress {
  NodeId node = kNoNode;
  Role role = Role::kBalancer;
  std::string zone;
  Endpoint endpoint;
};

// Formats "a.b.c.d:port".
std::string ToString(const Endpoint& endpoint);

// Computes the identifier of a service from its full name "customer/service".
ServiceId MakeServiceId(std::string_view full_name);

template <typename Id>
constexpr auto ToNumber(Id id) {
  return static_cast<std::underlying_type_t<Id>>(id);
}

}  // namespace cactuscross

#endif  // CACTUSCROSS_TYPES_H_
