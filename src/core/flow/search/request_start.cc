#include "src/core/flow/search/request_start.h"

#include <array>

namespace cactuscross {
namespace {

// Times after its start at which a client sends a request again: after 200 ms,
// and then at intervals that double. Later ones are beyond the usual time
// limits.
constexpr std::array<Duration, 4> kTransmitTimes = {
    Duration{0}, Duration{200000}, Duration{600000}, Duration{1400000}};

}  // namespace

TimePoint EstimateRequestStart(TimePoint arrived_at,
                               TimePoint receiving_since) {
  // The previous transmission would have arrived here if it had been sent after
  // `receiving_since`. Of the transmissions for which it was not, the second
  // last is taken: the last one is rarely within the time limit.
  const Duration receiving = arrived_at - receiving_since;
  Duration age{0};
  for (std::size_t i = 1; i + 1 < kTransmitTimes.size(); ++i) {
    if (kTransmitTimes.at(i) - kTransmitTimes.at(i - 1) > receiving) {
      age = kTransmitTimes.at(i);
    }
  }
  return arrived_at - age;
}

}  // namespace cactuscross
