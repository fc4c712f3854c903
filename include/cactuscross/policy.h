#ifndef CACTUSCROSS_POLICY_H_
#define CACTUSCROSS_POLICY_H_

// The table of routing policies. Operators run the default; the others are
// the baselines that it is measured against (docs/DESIGN.md, "Routing").

#include <cstdint>
#include <string_view>
#include <vector>

#include <boost/random/mersenne_twister.hpp>
#include <gsl/span>

#include "cactuscross/peer_message.h"
#include "cactuscross/types.h"

namespace cactuscross {

// One agent that a balancer may choose.
struct RouteChoice {
  NodeId node = kNoNode;
  LoadReport load;  // last one reported
  bool load_known = false;
  bool takes_new_work = true;  // false: only for sessions that it owns
};

struct RouteInput {
  Endpoint caller;
  ServiceId service = kNoService;
  gsl::span<const RouteChoice> choices;  // in the order of the contract
  boost::random::mt19937_64* random = nullptr;
};

// Orders all of `input.choices`, best first, as indices.
using RouteOrder = std::vector<std::size_t> (*)(const RouteInput& input);

struct RoutingPolicy {
  std::string_view name;
  RouteOrder order;              // at the balancer
  std::uint8_t request_samples;  // agents visited before a request is placed
  std::uint8_t session_samples;  // agents visited before a session is placed
  std::string_view description;
};

inline constexpr std::string_view kDefaultPolicy = "walk";

gsl::span<const RoutingPolicy> RoutingPolicies();

// Returns the row named `name`, the default for an empty or unknown name.
const RoutingPolicy& FindRoutingPolicy(std::string_view name);

}  // namespace cactuscross

#endif  // CACTUSCROSS_POLICY_H_
