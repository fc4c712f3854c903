#ifndef CACTUSCROSS_SRC_CORE_FLOW_ADMISSION_PLACEMENT_RATE_H_
#define CACTUSCROSS_SRC_CORE_FLOW_ADMISSION_PLACEMENT_RATE_H_

// Rate at which a balancer places the openings of a service, and the time that
// agents take to accept them. The rate counts only the time in which openings
// wait: while none does, it shows the demand and not the capacity.

#include <optional>

#include "cactuscross/types.h"

namespace cactuscross {

class PlacementRate {
 public:
  // Advances to `now`; `has_waiting`: whether openings wait since the last
  // call.
  void Advance(TimePoint now, bool has_waiting);
  void NotePlaced() { this->placed += 1; }
  // A placement that did not take place after all.
  void NoteReturned();
  void NoteAccepted(Duration latency);

  // Time until `ahead` more openings are placed, and the next one accepted.
  // Rather too short than too long, as openings are refused by it; nullopt
  // until openings have waited for long enough to tell.
  std::optional<Duration> ExpectedWait(std::size_t ahead) const;
  Duration Latency() const { return this->latency; }

 private:
  TimePoint advanced_to{};
  // Both decay with time (kHalfLife).
  double placed = 0;        // openings
  double busy_seconds = 0;  // time in which openings waited
  Duration latency{0};      // moving average
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_ADMISSION_PLACEMENT_RATE_H_
