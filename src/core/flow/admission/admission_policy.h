#ifndef CACTUSCROSS_SRC_CORE_FLOW_ADMISSION_ADMISSION_POLICY_H_
#define CACTUSCROSS_SRC_CORE_FLOW_ADMISSION_ADMISSION_POLICY_H_

// Decides which of the openings that wait for free capacity is placed next, and
// which are refused. Load: more openings than free slots for seconds at a time,
// and up to 4,096 of them at once after an outage.

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cactuscross/flow_message.h"
#include "cactuscross/flow_types.h"
#include "src/core/common/metric_set.h"
#include "src/core/flow/admission/opening_table.h"

namespace cactuscross {

enum class OfferResult : std::uint8_t {
  kPlaced,
  kSaturated,  // all eligible servers are saturated; the opening still waits
  kErased,     // no server is eligible; the opening was refused and erased
};

// Why an opening is refused, for the event.
struct AdmissionRefusal {
  std::string_view reason;  // "saturated", "deadline" or "fair_share"
  std::optional<std::uint32_t>
      ahead;  // openings that would be placed before it
  std::string detail;
};

// What a policy has done with waiting openings; implemented by the balancer.
class AdmissionActions {
 public:
  virtual ~AdmissionActions() = default;

  // Sends a waiting opening to a server that has free capacity. With
  // `keep_reserve`, a part of each server's capacity does not count as free.
  virtual OfferResult Place(Opening& opening, bool keep_reserve) = 0;
  // Refuses a waiting opening and erases it.
  virtual void Refuse(Opening& opening, const AdmissionRefusal& refusal) = 0;
  // Reports that the opening waits behind `Opening::ahead` others.
  virtual void ReportWaiting(const Opening& opening) = 0;
};

class AdmissionPolicy {
 public:
  virtual ~AdmissionPolicy() = default;

  // Name for logs.
  virtual std::string_view Name() const = 0;

  // Records a new opening. Returns whether it may be sent to a server at once;
  // otherwise it was queued.
  virtual bool Admit(TimePoint now, Opening& opening) = 0;
  // Queues an opening that found all servers saturated, or that waits for
  // another service than before. Returns whether this has to be reported now;
  // otherwise Tick() does.
  virtual bool Enqueue(TimePoint now, Opening& opening) = 0;
  // True if the opening must leave a part of the servers' capacity free.
  virtual bool MustKeepReserve(TimePoint now, const Opening& opening) const = 0;

  // Usual time from placement to answer at the service; 0: unknown.
  virtual Duration AnswerTime(ServiceId service) const = 0;

  // The opening is sent to a server, which is not in `attempted_servers` yet;
  // `answer_time` is set.
  virtual void NotePlaced(TimePoint now, Opening& opening) = 0;
  // The agent sent the opening back, because its server is saturated. The
  // server is no longer in `attempted_servers`.
  virtual void NoteReturned(TimePoint now, const Opening& opening) = 0;
  virtual void NoteAccepted(TimePoint now, const Opening& opening) = 0;
  // The client of `flow` is reset, and will repeat its request, which started
  // at `request_started_at`.
  virtual void NoteReset(TimePoint now,
                         const FlowKey& flow,
                         TimePoint request_started_at) = 0;
  // Start of the request that a client repeats in the new flow `flow` after a
  // reset; nullopt if it repeats none.
  virtual std::optional<TimePoint> RepeatedRequestStart(
      TimePoint now,
      const FlowKey& flow) = 0;

  // Openings that wait for a place at each service. Empty if the policy does
  // not use offers of agents.
  virtual std::vector<std::pair<ServiceId, WaitingOpenings>> Waiting()
      const = 0;

  // Refuses and places waiting openings.
  virtual void Tick(TimePoint now, AdmissionActions& actions) = 0;
};

// Returns the policy that places by priority and deadline, or the one that
// places the newest request first. The arguments must outlive it.
std::unique_ptr<AdmissionPolicy> MakeAdmissionPolicy(bool by_priority,
                                                     OpeningTable& openings,
                                                     MetricSet& metrics);

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_ADMISSION_ADMISSION_POLICY_H_
