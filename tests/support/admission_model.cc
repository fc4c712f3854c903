#include "tests/support/admission_model.h"

#include <algorithm>
#include <utility>

namespace cactuscross::testing {
namespace {

constexpr TimePoint kStart{std::chrono::seconds(100)};
constexpr Duration kTick{5000};
constexpr ServiceId kService{1};
// As a server's limit and reserve in placement.cc.
constexpr std::uint32_t kMaxLoadPerSlot = 2;
constexpr std::uint32_t kReserveDivisor = 4;
// A client repeats a refused request at once, twice at most.
constexpr int kMaxAttempts = 3;
constexpr std::uint32_t kAllTransmissions = 7;

}  // namespace

double AdmissionTotals::InTimeShare() const {
  return this->sent == 0 ? 1.0
                         : static_cast<double>(this->in_time) /
                               static_cast<double>(this->sent);
}

AdmissionModel::AdmissionModel(bool by_priority,
                               std::uint32_t slots,
                               std::uint64_t seed)
    : random(seed),
      policy(MakeAdmissionPolicy(by_priority, openings, metrics)),
      slots(slots),
      now(kStart) {
  for (std::uint32_t i = 0; i < slots; ++i) {
    this->slot_free_at.insert(kStart);
  }
}

AdmissionModel::~AdmissionModel() = default;

std::vector<AdmissionTotals> AdmissionModel::Run(
    const std::vector<AdmissionLoad>& loads,
    Duration time) {
  this->totals.assign(loads.size(), {});
  this->due.assign(loads.size(), 0);
  this->run_started_at = this->now;
  const TimePoint end = this->now + time;
  while (this->now < end || !this->requests.empty()) {
    this->now += kTick;
    this->finishing_at.erase(this->finishing_at.begin(),
                             this->finishing_at.upper_bound(this->now));
    this->SendDue(loads);
    this->policy->Tick(this->now, *this);
    for (const Request& request : std::exchange(this->refused, {})) {
      this->Open(request);
    }
  }
  return this->totals;
}

void AdmissionModel::SendDue(const std::vector<AdmissionLoad>& loads) {
  const Duration elapsed = this->now - this->run_started_at;
  for (std::size_t kind = 0; kind < loads.size(); ++kind) {
    const AdmissionLoad& load = loads[kind];
    if (elapsed <= load.begin || elapsed > load.end) {
      continue;
    }
    this->due[kind] +=
        load.per_second * std::chrono::duration<double>(kTick).count();
    if (elapsed == load.begin + kTick) {
      this->due[kind] += load.at_once;
    }
    for (; this->due[kind] >= 1; this->due[kind] -= 1) {
      this->Send(load, kind);
    }
  }
}

void AdmissionModel::Send(const AdmissionLoad& load, std::size_t kind) {
  Request request;
  request.load = &load;
  request.kind = kind;
  request.caller = load.first_caller +
                   static_cast<std::uint32_t>(this->random.Below(load.callers));
  request.started_at = this->now;
  ++this->totals[kind].sent;
  ++this->by_caller[request.caller].sent;
  this->Open(request);
}

void AdmissionModel::Open(Request request) {
  ++request.attempts;
  const std::uint32_t number = this->next_flow++;
  const FlowKey flow = {{request.caller, static_cast<std::uint16_t>(number)},
                        {static_cast<std::uint32_t>(request.kind), 443}};
  Opening* opening = this->openings.Add(flow);
  if (opening == nullptr) {
    this->Finish(request, true, this->now);
    return;
  }
  opening->service = kService;
  opening->priority = request.load->priority;
  opening->max_wait = MaxWait(request.load->time_limit);
  opening->started_at = this->now;
  opening->seen_transmissions = kAllTransmissions;
  opening->request_started_at =
      this->policy->RepeatedRequestStart(this->now, flow).value_or(this->now);
  SetPlacementTimes(*opening, request.load->latency_target,
                    request.load->time_limit, Duration{0});
  this->requests[flow] = request;
  if (this->policy->Admit(this->now, *opening)) {
    this->Place(*opening, this->policy->MustKeepReserve(this->now, *opening));
  }
}

std::uint32_t AdmissionModel::Running() const {
  return static_cast<std::uint32_t>(this->finishing_at.size());
}

OfferResult AdmissionModel::Place(Opening& opening, bool keep_reserve) {
  const std::uint32_t reserve =
      keep_reserve ? std::max(this->slots / kReserveDivisor, 1U) : 0;
  if (this->Running() + reserve >= kMaxLoadPerSlot * this->slots) {
    if (!std::exchange(opening.waiting, true)) {
      this->policy->Enqueue(this->now, opening);
    }
    return OfferResult::kSaturated;
  }
  const FlowKey flow = opening.flow;
  const Request request = this->requests[flow];
  const Duration mean = request.load->mean_service_time;
  const TimePoint begin = std::max(this->now, *this->slot_free_at.begin());
  const TimePoint end = begin + this->random.Between(mean / 2, mean * 3 / 2);
  this->slot_free_at.erase(this->slot_free_at.begin());
  this->slot_free_at.insert(end);
  this->finishing_at.insert(end);
  this->policy->NotePlaced(this->now, opening);
  opening.waiting = false;
  opening.sent_at = this->now;
  this->policy->NoteAccepted(this->now, opening);
  this->Finish(request, false, end);
  this->requests.erase(flow);
  this->openings.Erase(flow);
  return OfferResult::kPlaced;
}

void AdmissionModel::Refuse(Opening& opening, const AdmissionRefusal& refusal) {
  const FlowKey flow = opening.flow;
  Request request = this->requests[flow];
  this->reasons.insert(std::string(refusal.reason));
  this->policy->NoteReset(this->now, flow, opening.request_started_at);
  this->requests.erase(flow);
  this->openings.Erase(flow);
  const bool has_time =
      this->now - request.started_at < request.load->time_limit;
  if (has_time && request.attempts < kMaxAttempts) {
    this->refused.push_back(request);
  } else {
    this->Finish(request, true, this->now);
  }
}

void AdmissionModel::ReportWaiting(const Opening& /*opening*/) {}

void AdmissionModel::Finish(const Request& request,
                            bool was_refused,
                            TimePoint at) {
  const Duration elapsed = at - request.started_at;
  for (AdmissionTotals* totals :
       {&this->totals[request.kind], &this->by_caller[request.caller]}) {
    if (was_refused) {
      ++totals->refused;
      totals->refused_after += elapsed;
    } else if (elapsed <= request.load->latency_target) {
      ++totals->in_time;
    } else if (elapsed <= request.load->time_limit) {
      ++totals->late;
    } else {
      ++totals->lost;
    }
  }
}

}  // namespace cactuscross::testing
