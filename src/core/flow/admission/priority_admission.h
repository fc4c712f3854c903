#ifndef CACTUSCROSS_SRC_CORE_FLOW_ADMISSION_PRIORITY_ADMISSION_H_
#define CACTUSCROSS_SRC_CORE_FLOW_ADMISSION_PRIORITY_ADMISSION_H_

// Places waiting openings by priority and deadline (ServiceQueue), and refuses
// at once those that cannot be answered within their time limit. One of eight
// placements goes to a lower priority. While higher priorities have to wait,
// the lowest one leaves a reserve of each server's capacity to them. Callers
// that have got their fair share of the placements wait behind the others.
// Nothing of this applies while no opening waits. The state is lost with the
// balancer and rebuilt within 2 s.

#include <array>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/core/flow/admission/admission_policy.h"
#include "src/core/flow/admission/caller_shares.h"
#include "src/core/flow/admission/placement_rate.h"
#include "src/core/flow/admission/repeated_requests.h"
#include "src/core/flow/admission/service_queue.h"

namespace cactuscross {

class PriorityAdmission : public AdmissionPolicy {
 public:
  explicit PriorityAdmission(MetricSet& metrics) : metrics(metrics) {}

  std::string_view Name() const override { return "priority"; }
  bool Admit(TimePoint now, Opening& opening) override;
  bool Enqueue(TimePoint now, Opening& opening) override;
  bool MustKeepReserve(TimePoint now, const Opening& opening) const override;
  Duration AnswerTime(ServiceId service) const override;
  void NotePlaced(TimePoint now, Opening& opening) override;
  void NoteReturned(TimePoint now, const Opening& opening) override;
  void NoteAccepted(TimePoint now, const Opening& opening) override;
  void NoteReset(TimePoint now,
                 const FlowKey& flow,
                 TimePoint request_started_at) override;
  std::optional<TimePoint> RepeatedRequestStart(TimePoint now,
                                                const FlowKey& flow) override;
  std::vector<std::pair<ServiceId, WaitingOpenings>> Waiting() const override;
  void Tick(TimePoint now, AdmissionActions& actions) override;

 private:
  // Before any time that is looked at.
  static constexpr TimePoint kNever{-std::chrono::hours(1)};

  struct LevelTimes {
    TimePoint last_arrival_at = kNever;
    TimePoint last_waited_at = kNever;  // arrival of the last one that waited
  };

  struct Service {
    ServiceQueue queue;
    PlacementRate rate;
    Duration answer_time{0};  // moving average; 0: unknown
    std::array<LevelTimes, kPriorityLevels> levels;
    // Placements since the last one of a lower priority.
    std::uint32_t placed_since_lower = 0;
    TimePoint reviewed_at{};
    TimePoint share_updated_at{};
  };

  // Places openings until it is the turn of a lower priority or no server has
  // free capacity. Returns whether there may be more to place.
  bool PlaceRound(TimePoint now, Service& service, AdmissionActions& actions);

  // Counts the openings ahead of each one, refuses those that cannot be
  // answered within their limit, and reports new ones.
  void Review(TimePoint now,
              ServiceId id,
              Service& service,
              AdmissionActions& actions);
  void UpdateShare(TimePoint now, ServiceId id, Service& service);
  // Returns why `opening` has to be refused, or nullopt.
  std::optional<AdmissionRefusal> FindRefusal(TimePoint now,
                                              const Service& service,
                                              const Opening& opening) const;
  // Reports and counts an opening that waits, at its first review.
  void ReportOnce(Opening& opening, AdmissionActions& actions);
  // Records the arrival of the openings that can meet their target and could
  // not be placed.
  static void NoteWaiting(TimePoint now, Service& service);
  bool HasReachedShare(const Opening& opening) const;

  MetricSet& metrics;
  std::unordered_map<ServiceId, Service> services;
  CallerShares shares;
  RepeatedRequests repeated_requests;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_ADMISSION_PRIORITY_ADMISSION_H_
