#include "cactuscross/policy.h"

#include <algorithm>
#include <array>
#include <numeric>

#include <boost/random/uniform_int_distribution.hpp>

#include "src/core/routing/rendezvous.h"

namespace cactuscross {
namespace {

std::vector<std::size_t> AllIndices(const RouteInput& input) {
  std::vector<std::size_t> order(input.choices.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  return order;
}

std::vector<std::size_t> RandomOrder(const RouteInput& input) {
  std::vector<std::size_t> order = AllIndices(input);
  for (std::size_t i = order.size(); i > 1; --i) {
    boost::random::uniform_int_distribution<std::size_t> pick(0, i - 1);
    std::swap(order[i - 1], order[pick(*input.random)]);
  }
  return order;
}

std::vector<std::size_t> ModuloOrder(const RouteInput& input) {
  std::vector<std::size_t> order = AllIndices(input);
  if (!order.empty()) {
    const std::size_t first = HashCaller(input.caller) % order.size();
    std::rotate(order.begin(),
                order.begin() + static_cast<std::ptrdiff_t>(first),
                order.end());
  }
  return order;
}

std::vector<std::size_t> RendezvousOrder(const RouteInput& input) {
  std::vector<std::pair<std::uint64_t, std::size_t>> weights;
  weights.reserve(input.choices.size());
  for (std::size_t i = 0; i < input.choices.size(); ++i) {
    weights.emplace_back(RendezvousWeight(input.caller, input.choices[i].node),
                         i);
  }
  std::sort(weights.rbegin(), weights.rend());
  std::vector<std::size_t> order;
  order.reserve(weights.size());
  for (const auto& [weight, index] : weights) {
    order.push_back(index);
  }
  return order;
}

// Returns the expected completion time of a new request, in arbitrary units.
double ReportedCost(const RouteChoice& choice) {
  if (!choice.load_known || choice.load.slots == 0) {
    return 0;
  }
  const double waiting =
      choice.load.in_flight + choice.load.queued + std::uint32_t{1};
  return waiting * std::max<std::uint32_t>(choice.load.service_time_us, 1) /
         choice.load.slots;
}

std::vector<std::size_t> BalancerTwoChoicesOrder(const RouteInput& input) {
  std::vector<std::size_t> order = RendezvousOrder(input);
  if (order.size() >= 2 && ReportedCost(input.choices[order[1]]) <
                               ReportedCost(input.choices[order[0]])) {
    std::swap(order[0], order[1]);
  }
  return order;
}

constexpr std::array kPolicies = {
    RoutingPolicy{
        "random", &RandomOrder, 1, 1,
        "Each packet to a random agent; existing sessions are not found."},
    RoutingPolicy{"modulo", &ModuloOrder, 1, 1,
                  "Hash of the caller modulo the number of agents."},
    RoutingPolicy{"rendezvous", &RendezvousOrder, 1, 1,
                  "Rendezvous hash of the caller; the first agent serves."},
    RoutingPolicy{
        "balancer2", &BalancerTwoChoicesOrder, 1, 2,
        "The balancer picks the less loaded of two by reported load."},
    RoutingPolicy{"walk2", &RendezvousOrder, 2, 2,
                  "Two agents are sampled; the less loaded one serves."},
    RoutingPolicy{"walk", &RendezvousOrder, 2, 3,
                  "Requests sample two agents, new sessions three."},
    RoutingPolicy{"walk3", &RendezvousOrder, 3, 3,
                  "Three agents are sampled; the least loaded one serves."},
};

}  // namespace

gsl::span<const RoutingPolicy> RoutingPolicies() {
  return kPolicies;
}

const RoutingPolicy& FindRoutingPolicy(std::string_view name) {
  const auto find = [](std::string_view requested) {
    return std::find_if(kPolicies.begin(), kPolicies.end(),
                        [requested](const RoutingPolicy& row) {
                          return row.name == requested;
                        });
  };
  const auto* found = find(name);
  return found == kPolicies.end() ? *find(kDefaultPolicy) : *found;
}

}  // namespace cactuscross
