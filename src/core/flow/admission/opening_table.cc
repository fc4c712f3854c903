#include "src/core/flow/admission/opening_table.h"

#include <algorithm>

namespace cactuscross {
namespace {

// A client abandons an opening after 1.4 s. It is reset earlier so that it can
// try again.
constexpr Duration kMaxWait{1200000};
// Part of a request's time limit that its opening may wait.
constexpr int kWaitDivisor = 2;

// A transmission may arrive this long after the expected time.
constexpr Duration kMaxTransitDelay{50000};

bool WasReceived(const Opening& opening, std::size_t transmission) {
  return (opening.seen_transmissions >> transmission & 1U) != 0;
}

}  // namespace

void NoteTransmission(Opening& opening, std::uint32_t transmission) {
  opening.seen_transmissions |=
      1U << std::min<std::size_t>(transmission,
                                  kOpeningTransmitTimes.size() - 1);
}

bool HasAllTransmissions(TimePoint now, const Opening& opening) {
  // The send times of the others are relative to the first transmission.
  if (!WasReceived(opening, 0)) {
    return false;
  }
  for (std::size_t transmission = 1;
       transmission < kOpeningTransmitTimes.size(); ++transmission) {
    const bool sent = now - opening.started_at >=
                      kOpeningTransmitTimes[transmission] + kMaxTransitDelay;
    if (sent && !WasReceived(opening, transmission)) {
      return false;
    }
  }
  return true;
}

Duration MaxWait(Duration time_limit) {
  return time_limit == Duration{0}
             ? kMaxWait
             : std::min(kMaxWait, time_limit / kWaitDivisor);
}

std::vector<FlowKey> OpeningTable::WaitingFlows() const {
  std::vector<const Opening*> waiting;
  for (const auto& [flow, opening] : this->entries) {
    if (opening.waiting) {
      waiting.push_back(&opening);
    }
  }
  std::sort(waiting.begin(), waiting.end(),
            [](const Opening* a, const Opening* b) {
              return a->request_started_at > b->request_started_at;
            });
  std::vector<FlowKey> flows;
  flows.reserve(waiting.size());
  for (const Opening* opening : waiting) {
    flows.push_back(opening->flow);
  }
  return flows;
}

std::vector<FlowKey> OpeningTable::WaitTimedOut(TimePoint now) const {
  std::vector<FlowKey> flows;
  for (const auto& [flow, opening] : this->entries) {
    if (opening.waiting && now - opening.started_at >= opening.max_wait) {
      flows.push_back(flow);
    }
  }
  return flows;
}

}  // namespace cactuscross
