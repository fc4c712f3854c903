#include "src/core/flow/admission/opening_table.h"

#include <algorithm>

namespace cactuscross {
namespace {

// Part of a request's time limit that its opening may wait.
constexpr int kWaitDivisor = 2;

// Part of the latency target that the answer is assumed to take once a loaded
// server has the request. A server gets up to two requests per slot, so a
// request takes about two service times; the deployments' targets are 6 to 20
// service times.
constexpr int kAnswerTimeDivisor = 2;

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

void SetPlacementTimes(Opening& opening,
                       Duration latency_target,
                       Duration time_limit,
                       Duration answer_time) {
  const Duration limit = time_limit == Duration{0} ? kMaxWait : time_limit;
  const Duration target =
      latency_target == Duration{0} ? limit / kWaitDivisor : latency_target;
  if (answer_time == Duration{0}) {
    answer_time = target / kAnswerTimeDivisor;
  }
  // Above that the figure rather shows a stalled server.
  answer_time = std::min(answer_time, limit / kWaitDivisor);
  opening.place_by_for_target =
      opening.request_started_at + target - answer_time;
  opening.place_by_for_limit = opening.request_started_at + limit - answer_time;
}

Duration MaxWait(Duration time_limit) {
  return time_limit == Duration{0}
             ? kMaxWait
             : std::min(kMaxWait, time_limit / kWaitDivisor);
}

std::vector<FlowKey> OpeningTable::Flows() const {
  std::vector<FlowKey> flows;
  flows.reserve(this->entries.size());
  for (const auto& [flow, opening] : this->entries) {
    flows.push_back(flow);
  }
  return flows;
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
