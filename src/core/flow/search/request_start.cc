#include "src/core/flow/search/request_start.h"

#include <array>

namespace cactuscross {
namespace {

// Times after the start of a request at which its client sends it. Later
// transmissions are left out: few requests have time left then.
constexpr std::array<Duration, 3> kTransmitTimes = {
    Duration{0}, Duration{200000}, Duration{600000}};

}  // namespace

TimePoint EstimateRequestStart(TimePoint arrived_at,
                               TimePoint receiving_since) {
  // The packet can only be a retransmission if the transmission before it was
  // sent too early to arrive here.
  const Duration receiving = arrived_at - receiving_since;
  Duration age{0};
  for (std::size_t i = 1; i < kTransmitTimes.size(); ++i) {
    if (kTransmitTimes.at(i) - kTransmitTimes.at(i - 1) > receiving) {
      age = kTransmitTimes.at(i);
    }
  }
  return arrived_at - age;
}

}  // namespace cactuscross
