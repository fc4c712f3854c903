#include "src/core/flow/admission/priority_admission.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace cactuscross {
namespace {

// One of this many placements goes to a lower priority while one waits.
constexpr std::uint32_t kLowerPriorityInterval = 8;

// The reserve is kept for this time after the arrival of an opening of a higher
// priority that had to wait.
constexpr Duration kReserveTime{1000000};

// Time between two reviews of a queue. A review of 4,000 openings takes a part
// of a millisecond, and a tick may follow each packet.
constexpr Duration kReviewInterval{20000};

// Time between two computations of the fair share, which visit all callers.
constexpr Duration kShareInterval{100000};

// Weight of a new answer time in the moving average, as in TCP's (RFC 6298).
constexpr int kAnswerTimeWeightDivisor = 8;

// Openings that were sent to a server before exclude it, so that they may find
// all others saturated although it is not. A tick offers at most this many of
// them for each service.
constexpr std::size_t kMaxInconclusive = 32;

bool WasQueued(const Opening& opening) {
  return opening.queued_at != TimePoint{};
}

std::string LevelName(const Opening& opening) {
  return std::to_string(PriorityLevel(opening));
}

// Sets `Opening::ahead` to the largest number of placements before that of each
// opening. The lower priorities get one placement of kLowerPriorityInterval,
// however many others are ahead of them.
void BoundByMinimumShare(ServiceQueue& queue,
                         std::uint32_t placed_since_lower) {
  const std::uint32_t before_turn =
      kLowerPriorityInterval - 1 -
      std::min(placed_since_lower, kLowerPriorityInterval - 1);
  const std::size_t highest = queue.HighestLevel();
  for (std::size_t level = highest; level < kPriorityLevels; ++level) {
    std::uint32_t turns = 0;
    queue.VisitByArrival(level, [&](Opening& opening) {
      opening.ahead = level == highest
                          ? std::numeric_limits<std::uint32_t>::max()
                          : before_turn + turns * kLowerPriorityInterval;
      ++turns;
    });
  }
}

std::string FormatMs(Duration time) {
  return std::to_string(time.count() / 1000) + " ms";
}

}  // namespace

bool PriorityAdmission::Admit(TimePoint now, Opening& opening) {
  Service& service = this->services[opening.service];
  service.levels[PriorityLevel(opening)].last_arrival_at = now;
  if (service.queue.IsEmpty()) {
    return true;
  }
  opening.waiting = true;
  this->Enqueue(now, opening);
  return false;
}

bool PriorityAdmission::Enqueue(TimePoint now, Opening& opening) {
  Service& service = this->services[opening.service];
  service.rate.Advance(now, !service.queue.IsEmpty());
  ServiceQueue::Remove(opening);  // of the service that its route named before
  service.queue.Add(now, opening);
  // The next review includes the new opening.
  opening.wait_reported = false;
  return false;
}

bool PriorityAdmission::MustKeepReserve(TimePoint now,
                                        const Opening& opening) const {
  const auto found = this->services.find(opening.service);
  if (found == this->services.end()) {
    return false;
  }
  const auto& levels = found->second.levels;
  const std::size_t level = PriorityLevel(opening);
  const auto arrived = [now](const LevelTimes& times) {
    return now - times.last_arrival_at <= kReserveTime;
  };
  const auto waited = [now](const LevelTimes& times) {
    return now - times.last_waited_at <= kReserveTime;
  };
  const auto own = levels.begin() + static_cast<std::ptrdiff_t>(level);
  if (now > opening.place_by_for_target) {
    // A late opening must not take what the openings in time leave free.
    return std::any_of(levels.begin(), own, waited) ||
           std::any_of(own + 1, levels.end(), waited);
  }
  return std::none_of(own + 1, levels.end(), arrived) &&
         std::any_of(levels.begin(), own, waited);
}

Duration PriorityAdmission::AnswerTime(ServiceId service) const {
  const auto found = this->services.find(service);
  return found == this->services.end() ? Duration{0}
                                       : found->second.answer_time;
}

void PriorityAdmission::NotePlaced(TimePoint now, Opening& opening) {
  Service& service = this->services[opening.service];
  if (opening.answer_time != Duration{0}) {
    service.answer_time =
        service.answer_time == Duration{0}
            ? opening.answer_time
            : service.answer_time +
                  (opening.answer_time - service.answer_time) /
                      kAnswerTimeWeightDivisor;
  }
  // Another attempt of the same opening does not count again.
  if (opening.attempted_servers.empty()) {
    this->shares.NotePlaced(now, opening.service, opening.flow.client.address);
  }
  this->metrics.Count("flow_openings_sent", "priority", LevelName(opening));
  if (WasQueued(opening)) {
    service.rate.NotePlaced();
  }
  if (!opening.waiting) {
    return;
  }
  const bool is_lower = PriorityLevel(opening) > service.queue.HighestLevel();
  service.placed_since_lower = is_lower ? 0 : service.placed_since_lower + 1;
  ServiceQueue::Remove(opening);
  this->metrics.Observe(
      "flow_opening_wait_ms_priority_" + LevelName(opening),
      static_cast<double>((now - opening.queued_at).count()) / 1000.0);
}

void PriorityAdmission::NoteReturned(TimePoint /*now*/,
                                     const Opening& opening) {
  if (opening.attempted_servers.empty()) {
    this->shares.NoteReturned(opening.service, opening.flow.client.address);
  }
  if (WasQueued(opening)) {
    this->services[opening.service].rate.NoteReturned();
  }
}

void PriorityAdmission::NoteAccepted(TimePoint now, const Opening& opening) {
  this->services[opening.service].rate.NoteAccepted(now - opening.sent_at);
}

void PriorityAdmission::NoteReset(TimePoint now,
                                  const FlowKey& flow,
                                  TimePoint request_started_at) {
  this->repeated_requests.NoteReset(now, flow, request_started_at);
}

std::optional<TimePoint> PriorityAdmission::RepeatedRequestStart(
    TimePoint now,
    const FlowKey& flow) {
  return this->repeated_requests.Take(now, flow);
}

std::vector<std::pair<ServiceId, WaitingOpenings>> PriorityAdmission::Waiting()
    const {
  std::vector<std::pair<ServiceId, WaitingOpenings>> all;
  for (const auto& [id, service] : this->services) {
    const WaitingOpenings waiting = service.queue.Summary();
    if (waiting.count > 0) {
      all.emplace_back(id, waiting);
    }
  }
  return all;
}

void PriorityAdmission::Tick(TimePoint now, AdmissionActions& actions) {
  for (auto& [id, service] : this->services) {
    if (service.queue.IsEmpty()) {
      this->shares.RemoveShare(id);
      service.rate.Advance(now, false);
      continue;
    }
    service.rate.Advance(now, true);
    service.queue.MoveLate(now);
    while (this->PlaceRound(now, service, actions)) {
    }
    NoteWaiting(now, service);
    if (now - service.reviewed_at >= kReviewInterval) {
      this->Review(now, id, service, actions);
    }
  }
}

void PriorityAdmission::NoteWaiting(TimePoint now, Service& service) {
  for (std::size_t level = 0; level < kPriorityLevels; ++level) {
    if (const auto last = service.queue.LastQueuedInTime(now, level)) {
      service.levels[level].last_waited_at = *last;
    }
  }
}

bool PriorityAdmission::PlaceRound(TimePoint now,
                                   Service& service,
                                   AdmissionActions& actions) {
  const auto is_lower_due = [&service] {
    return service.placed_since_lower + 1 >= kLowerPriorityInterval &&
           service.queue.HasLowerLevels();
  };
  if (is_lower_due()) {
    Opening* opening = service.queue.NextBelowHighest(now);
    // The reserve does not apply, as it would end the minimum share.
    if (opening != nullptr &&
        actions.Place(*opening, false) == OfferResult::kSaturated &&
        opening->attempted_servers.empty()) {
      return false;
    }
    service.placed_since_lower = 0;
  }
  bool lower_due = false;
  bool reserve_reached = false;
  std::size_t inconclusive = 0;
  service.queue.VisitInOrder(
      [this](const Opening& opening) { return this->HasReachedShare(opening); },
      [&](Opening& opening) {
        const bool keep_reserve = this->MustKeepReserve(now, opening);
        const bool is_new = opening.attempted_servers.empty();
        if (now > opening.place_by_for_limit ||
            (keep_reserve && reserve_reached) ||
            (!is_new && inconclusive >= kMaxInconclusive)) {
          return true;
        }
        const OfferResult result = actions.Place(opening, keep_reserve);
        if (result == OfferResult::kSaturated) {
          reserve_reached = reserve_reached || (is_new && keep_reserve);
          inconclusive += is_new ? 0 : 1;
          return !is_new || keep_reserve;
        }
        lower_due = is_lower_due();
        return !lower_due;
      });
  return lower_due;
}

bool PriorityAdmission::HasReachedShare(const Opening& opening) const {
  return this->shares.HasReachedShare(opening.service,
                                      opening.flow.client.address);
}

void PriorityAdmission::UpdateShare(TimePoint now,
                                    ServiceId id,
                                    Service& service) {
  CallerShares::Waiting waiting;
  for (std::size_t level = 0; level < kPriorityLevels; ++level) {
    service.queue.VisitByArrival(level, [&waiting](const Opening& opening) {
      ++waiting[opening.flow.client.address];
    });
  }
  this->shares.UpdateShare(now, id, waiting);
  service.share_updated_at = now;
}

std::optional<AdmissionRefusal> PriorityAdmission::FindRefusal(
    TimePoint now,
    const Service& service,
    const Opening& opening) const {
  AdmissionRefusal refusal;
  refusal.ahead = opening.ahead;
  if (now - opening.started_at >= kMaxWait) {
    refusal.reason = "saturated";
    return refusal;
  }
  const Duration left = opening.place_by_for_limit - now;
  const auto wait = service.rate.ExpectedWait(opening.ahead);
  // An opening that can't be reset yet stays in the queue while it may still be
  // served: to drop it would leave its client without an answer.
  const bool is_hopeless =
      wait.has_value() && *wait > left && HasAllTransmissions(now, opening);
  if (left >= Duration{0} && !is_hopeless) {
    return std::nullopt;
  }
  refusal.reason = this->HasReachedShare(opening) ? "fair_share" : "deadline";
  refusal.detail = "left to place it: " + FormatMs(left);
  if (wait.has_value()) {
    refusal.detail += ", expected wait: " + FormatMs(*wait);
  }
  return refusal;
}

void PriorityAdmission::Review(TimePoint now,
                               ServiceId id,
                               Service& service,
                               AdmissionActions& actions) {
  service.reviewed_at = now;
  if (now - service.share_updated_at >= kShareInterval) {
    this->UpdateShare(now, id, service);
  }
  BoundByMinimumShare(service.queue, service.placed_since_lower);
  std::vector<std::pair<Opening*, AdmissionRefusal>> refused;
  std::uint32_t ahead = 0;
  service.queue.VisitInOrder(
      [this](const Opening& opening) { return this->HasReachedShare(opening); },
      [&](Opening& opening) {
        opening.ahead = std::min(opening.ahead, ahead);
        if (auto refusal = this->FindRefusal(now, service, opening)) {
          refused.emplace_back(&opening, std::move(*refusal));
          return true;
        }
        ++ahead;
        this->ReportOnce(opening, actions);
        return true;
      });
  for (auto& [opening, refusal] : refused) {
    this->metrics.Count("flow_openings_refused", "priority",
                        LevelName(*opening));
    this->metrics.Count("flow_openings_refused_by_reason", "reason",
                        refusal.reason);
    actions.Refuse(*opening, refusal);
  }
}

void PriorityAdmission::ReportOnce(Opening& opening,
                                   AdmissionActions& actions) {
  if (opening.wait_reported) {
    return;
  }
  opening.wait_reported = true;
  this->metrics.Count("flow_openings_waited", "priority", LevelName(opening));
  actions.ReportWaiting(opening);
}

}  // namespace cactuscross
