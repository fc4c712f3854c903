#ifndef CACTUSCROSS_SRC_CORE_FLOW_AGENT_CAPACITY_OFFERS_H_
#define CACTUSCROSS_SRC_CORE_FLOW_AGENT_CAPACITY_OFFERS_H_

// Offers free places of a server to balancers whose openings wait, one place to
// one balancer (as in Join-Idle-Queue). Load: servers with few slots near or
// above their capacity. Between two load notices such a server completes all
// that it has and is idle, and after a notice all balancers send to it at once.

#include <cstdint>
#include <vector>

#include "cactuscross/flow_message.h"

namespace cactuscross {

class CapacityOffers {
 public:
  // A balancer reports its waiting openings; a count of 0 ends the offers to
  // it.
  void NoteWaiting(TimePoint now,
                   std::uint32_t balancer,
                   const WaitingOpenings& waiting);

  // An opening of `balancer` arrived. Returns true if it takes a place that was
  // offered to it.
  bool TakeOffered(TimePoint now, std::uint32_t balancer);

  // Balancers to which a place is offered now, if the server has `free` places
  // without the reserved ones: the lowest rank first, in turn among equals. A
  // balancer that left an offer unused gets no other before its next report: it
  // has no openings left, or is too far away to use a place in time.
  std::vector<std::uint32_t> Offer(TimePoint now, std::uint32_t free);

  // Number of places that are reserved for offers.
  std::uint32_t Reserved(TimePoint now);

 private:
  struct Waiting {
    std::uint32_t balancer = 0;
    WaitingOpenings openings;
    TimePoint noted_at;
    TimePoint offered_at;
  };
  struct Reservation {
    std::uint32_t balancer = 0;
    TimePoint expires_at;
  };

  void ExpireReservations(TimePoint now);

  std::vector<Waiting> waiting;
  std::vector<Reservation> reservations;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_AGENT_CAPACITY_OFFERS_H_
