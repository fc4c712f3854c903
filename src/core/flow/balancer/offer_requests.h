#ifndef CACTUSCROSS_SRC_CORE_FLOW_BALANCER_OFFER_REQUESTS_H_
#define CACTUSCROSS_SRC_CORE_FLOW_BALANCER_OFFER_REQUESTS_H_

// Selects the agents that a balancer asks for offers of free places while
// openings wait (agent/capacity_offers). Each balancer asks a few servers of
// the service, which differ from balancer to balancer, so that the number of
// messages does not grow with the fleet.

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "cactuscross/flow_message.h"
#include "src/core/flow/view/server_table.h"

namespace cactuscross {

// Interval at which a balancer repeats its request while openings wait.
inline constexpr Duration kOfferRequestInterval{100000};

class OfferRequests {
 public:
  // `balancer`: IPv4 address of this balancer.
  explicit OfferRequests(std::uint32_t balancer) : balancer(balancer) {}

  // Servers whose agents are to be asked now, for `waiting` openings; none
  // until the interval is over or the rank has become more urgent.
  std::vector<ServerKey> TakeDue(TimePoint now,
                                 const ServerTable& servers,
                                 ServiceId service,
                                 const WaitingOpenings& waiting);

 private:
  struct Request {
    TimePoint sent_at;
    std::uint32_t rank = 0;
  };

  const std::uint32_t balancer;
  std::unordered_map<std::uint64_t, Request> requests;  // by service
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_BALANCER_OFFER_REQUESTS_H_
