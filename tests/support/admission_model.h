#ifndef CACTUSCROSS_TESTS_SUPPORT_ADMISSION_MODEL_H_
#define CACTUSCROSS_TESTS_SUPPORT_ADMISSION_MODEL_H_

// A model of one balancer's openings for one service: modelled clients and
// server slots around a real AdmissionPolicy, in logical time. The same seed
// gives the same run.

#include <cstdint>
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

#include "src/core/flow/admission/admission_policy.h"
#include "tests/support/link.h"

namespace cactuscross::testing {

// Requests of one kind, each of which opens a flow.
struct AdmissionLoad {
  std::uint32_t priority = 0;
  Duration latency_target{200000};
  Duration time_limit{1200000};
  Duration mean_service_time{30000};
  double per_second = 0;
  Duration begin{0};  // from the start of the run
  Duration end{0};
  std::uint32_t first_caller = 1;  // client address
  std::uint32_t callers = 100;
  std::uint32_t at_once = 0;  // requests that are sent together at `begin`
};

// What became of the requests of one caller or kind.
struct AdmissionTotals {
  std::uint32_t sent = 0;
  std::uint32_t in_time = 0;  // within the latency target
  std::uint32_t late = 0;     // within the time limit
  std::uint32_t refused = 0;  // last attempt refused: not run
  std::uint32_t lost = 0;     // answered after the time limit, or not at all
  Duration refused_after{0};  // sum over the refused requests

  double InTimeShare() const;
};

class AdmissionModel : private AdmissionActions {
 public:
  AdmissionModel(bool by_priority, std::uint32_t slots, std::uint64_t seed);
  ~AdmissionModel() override;

  // Returns the totals of each load, and adds to those of the callers.
  std::vector<AdmissionTotals> Run(const std::vector<AdmissionLoad>& loads,
                                   Duration time);
  const AdmissionTotals& OfCaller(std::uint32_t address) {
    return this->by_caller[address];
  }
  const std::set<std::string>& RefusalReasons() const { return this->reasons; }

 private:
  struct Request {
    const AdmissionLoad* load = nullptr;
    std::size_t kind = 0;
    std::uint32_t caller = 0;
    TimePoint started_at;
    int attempts = 0;
  };

  void SendDue(const std::vector<AdmissionLoad>& loads);
  void Send(const AdmissionLoad& load, std::size_t kind);
  void Open(Request request);
  void Finish(const Request& request, bool refused, TimePoint at);
  std::uint32_t Running() const;

  // AdmissionActions:
  OfferResult Place(Opening& opening, bool keep_reserve) override;
  void Refuse(Opening& opening, const AdmissionRefusal& refusal) override;
  void ReportWaiting(const Opening& opening) override;

  Random random;
  MetricSet metrics;
  OpeningTable openings;
  std::unique_ptr<AdmissionPolicy> policy;
  std::uint32_t slots;
  std::multiset<TimePoint> slot_free_at;  // one for each slot
  std::multiset<TimePoint> finishing_at;  // requests at the servers
  std::unordered_map<FlowKey, Request, FlowKeyHash> requests;
  std::vector<Request> refused;  // in this tick
  std::vector<AdmissionTotals> totals;
  std::vector<double> due;  // requests to send, by load
  std::unordered_map<std::uint32_t, AdmissionTotals> by_caller;
  std::set<std::string> reasons;
  std::uint32_t next_flow = 1;
  TimePoint run_started_at;
  TimePoint now;
};

}  // namespace cactuscross::testing

#endif  // CACTUSCROSS_TESTS_SUPPORT_ADMISSION_MODEL_H_
