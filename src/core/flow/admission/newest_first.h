#ifndef CACTUSCROSS_SRC_CORE_FLOW_ADMISSION_NEWEST_FIRST_H_
#define CACTUSCROSS_SRC_CORE_FLOW_ADMISSION_NEWEST_FIRST_H_

// Places the newest request first, and refuses an opening after half of its
// time limit (MaxWait()). Every waiting opening is offered in each tick.

#include "src/core/flow/admission/admission_policy.h"

namespace cactuscross {

class NewestFirst : public AdmissionPolicy {
 public:
  explicit NewestFirst(OpeningTable& openings) : openings(openings) {}

  std::string_view Name() const override { return "newest_first"; }
  bool Admit(TimePoint /*now*/, Opening& /*opening*/) override { return true; }
  bool Enqueue(TimePoint /*now*/, Opening& /*opening*/) override {
    return true;
  }
  bool MustKeepReserve(TimePoint /*now*/,
                       const Opening& /*opening*/) const override {
    return false;
  }
  Duration AnswerTime(ServiceId /*service*/) const override {
    return Duration{0};
  }
  void NotePlaced(TimePoint /*now*/, Opening& /*opening*/) override {}
  void NoteReturned(TimePoint /*now*/, const Opening& /*opening*/) override {}
  void NoteAccepted(TimePoint /*now*/, const Opening& /*opening*/) override {}
  // The balancer uses the time of the last reset (FlowSender::LastResetAt()).
  void NoteReset(TimePoint /*now*/,
                 const FlowKey& /*flow*/,
                 TimePoint /*request_started_at*/) override {}
  std::optional<TimePoint> RepeatedRequestStart(
      TimePoint /*now*/,
      const FlowKey& /*flow*/) override {
    return std::nullopt;
  }
  std::vector<std::pair<ServiceId, WaitingOpenings>> Waiting() const override {
    return {};
  }
  void Tick(TimePoint now, AdmissionActions& actions) override;

 private:
  OpeningTable& openings;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_ADMISSION_NEWEST_FIRST_H_
