#ifndef CACTUSCROSS_POLICY_H_
#define CACTUSCROSS_POLICY_H_

// The table of routing policies. Operators run the default; the others are
// baselines for comparison (docs/DESIGN.md, "Routing").

#include <cstdint>
#include <string_view>
#include <vector>

#include <boost/random/mersenne_twister.hpp>
#include <gsl/span>

#include "cactuscross/peer_message.h"
#include "cactuscross/types.h"

namespace cactuscross {

// An agent that a balancer may route to.
struct RouteChoice {
  NodeId node = kNoNode;
  LoadReport load;  // most recent report
  bool load_known = false;
  bool takes_new_work = true;  // false: serves its existing sessions only
};

struct RouteInput {
  Endpoint caller;
  ServiceId service = kNoService;
  gsl::span<const RouteChoice> choices;  // in contract order
  boost::random::mt19937_64* random = nullptr;
};

// Returns the indices of all of `input.choices`, best first.
using RouteOrder = std::vector<std::size_t> (*)(const RouteInput& input);

struct RoutingPolicy {
  std::string_view name;
  RouteOrder order;              // applied by the balancer
  std::uint8_t request_samples;  // agents sampled before a request is placed
  std::uint8_t session_samples;  // agents sampled before a session is placed
  std::string_view description;
};

inline constexpr std::string_view kDefaultPolicy = "walk";

gsl::span<const RoutingPolicy> RoutingPolicies();

// Returns the policy called `name`, or the default policy if `name` is empty
// or unknown.
const RoutingPolicy& FindRoutingPolicy(std::string_view name);

}  // namespace cactuscross

#endif  // CACTUSCROSS_POLICY_H_
