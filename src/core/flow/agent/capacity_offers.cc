#include "src/core/flow/agent/capacity_offers.h"

#include <algorithm>
#include <tuple>

namespace cactuscross {
namespace {

// Balancers repeat their report every kOfferRequestInterval (0.1 s) while
// openings wait.
constexpr Duration kReportLifetime{150000};

// As many balancers as get load notices; 8 KB.
constexpr std::size_t kMaxWaiting = 256;

}  // namespace

void CapacityOffers::NoteWaiting(TimePoint now,
                                 std::uint32_t balancer,
                                 const WaitingOpenings& openings) {
  const auto found = std::find_if(
      this->waiting.begin(), this->waiting.end(),
      [balancer](const Waiting& entry) { return entry.balancer == balancer; });
  if (found != this->waiting.end()) {
    found->openings = openings;
    found->noted_at = now;
  } else if (openings.count > 0 && this->waiting.size() < kMaxWaiting) {
    this->waiting.push_back({balancer, openings, now, TimePoint()});
  }
}

bool CapacityOffers::TakeOffered(TimePoint now, std::uint32_t balancer) {
  const auto found = std::find_if(
      this->reservations.begin(), this->reservations.end(),
      [now, balancer](const Reservation& reservation) {
        return reservation.balancer == balancer && reservation.expires_at > now;
      });
  if (found == this->reservations.end()) {
    return false;
  }
  this->reservations.erase(found);
  return true;
}

std::vector<std::uint32_t> CapacityOffers::Offer(TimePoint now,
                                                 std::uint32_t free) {
  this->ExpireReservations(now);
  this->waiting.erase(std::remove_if(this->waiting.begin(), this->waiting.end(),
                                     [now](const Waiting& entry) {
                                       return entry.openings.count == 0 ||
                                              now - entry.noted_at >
                                                  kReportLifetime;
                                     }),
                      this->waiting.end());
  std::vector<std::uint32_t> balancers;
  for (; free > 0; --free) {
    const auto next = std::min_element(
        this->waiting.begin(), this->waiting.end(),
        [](const Waiting& a, const Waiting& b) {
          return std::make_tuple(a.openings.count == 0, a.openings.rank,
                                 a.offered_at) <
                 std::make_tuple(b.openings.count == 0, b.openings.rank,
                                 b.offered_at);
        });
    if (next == this->waiting.end() || next->openings.count == 0) {
      break;
    }
    --next->openings.count;
    next->offered_at = now;
    this->reservations.push_back({next->balancer, now + kOfferLifetime});
    balancers.push_back(next->balancer);
  }
  return balancers;
}

std::uint32_t CapacityOffers::Reserved(TimePoint now) {
  this->ExpireReservations(now);
  return static_cast<std::uint32_t>(this->reservations.size());
}

void CapacityOffers::ExpireReservations(TimePoint now) {
  const auto expired = std::stable_partition(
      this->reservations.begin(), this->reservations.end(),
      [now](const Reservation& reservation) {
        return reservation.expires_at > now;
      });
  for (auto unused = expired; unused != this->reservations.end(); ++unused) {
    for (Waiting& entry : this->waiting) {
      if (entry.balancer == unused->balancer) {
        entry.openings.count = 0;
      }
    }
  }
  this->reservations.erase(expired, this->reservations.end());
}

}  // namespace cactuscross
