#include "src/core/agent/sampling_system.h"

#include <algorithm>
#include <utility>

#include "src/core/agent/request_system.h"
#include "src/core/balancer/route_table.h"

namespace cactuscross {
namespace {

bool HasCapacity(const SamplingCandidate& candidate, const SamplingPlan& plan) {
  return !plan.needs_capacity || candidate.load.has_capacity;
}

bool IsBetter(const SamplingCandidate& a,
              const SamplingCandidate& b,
              const SamplingPlan& plan) {
  if (HasCapacity(a, plan) != HasCapacity(b, plan)) {
    return HasCapacity(a, plan);
  }
  return plan.cost(a.load) < plan.cost(b.load);
}

}  // namespace

double RequestCost(const LoadReport& load) {
  const double waiting = 1.0 + load.in_flight + load.queued;
  return waiting * std::max<std::uint32_t>(load.service_time_us, 1) /
         std::max<std::uint32_t>(load.slots, 1);
}

double SessionCost(const LoadReport& load) {
  return (1.0 + load.sessions) / std::max<std::uint32_t>(load.connections, 1);
}

// A sampled agent is marked by at least one slot in its load.
void SamplingSystem::RecordSample(ForwardedRequest& request,
                                  const LoadReport& own_load) const {
  LoadReport load = own_load;
  load.slots = std::max<std::uint32_t>(load.slots, 1);
  for (SamplingCandidate& candidate : request.candidates) {
    if (candidate.node == this->context.Self()) {
      candidate.load = load;
      return;
    }
  }
  request.candidates.push_back({this->context.Self(), load});
}

NodeId SamplingSystem::NextUnsampled(const ForwardedRequest& request) const {
  for (const SamplingCandidate& candidate : request.candidates) {
    const MemberState state = this->context.control.StateOf(candidate.node);
    const bool reachable =
        state != MemberState::kDead && state != MemberState::kSuspect;
    if (candidate.load.slots == 0 && reachable &&
        this->context.FindServer(candidate.node) != nullptr) {
      return candidate.node;
    }
  }
  return kNoNode;
}

bool SamplingSystem::SendTo(NodeId node,
                            ForwardedRequest& request,
                            ForwardKind kind) {
  const ContractServer* server = this->context.FindServer(node);
  if (server == nullptr || request.hops >= kMaxHops) {
    return false;
  }
  request.kind = kind;
  ++request.hops;
  this->context.Send(AgentAddress(*server), std::move(request));
  return true;
}

bool SamplingSystem::ForwardToNext(ForwardedRequest& request,
                                   const LoadReport& own_load) {
  this->RecordSample(request, own_load);
  const NodeId next = this->NextUnsampled(request);
  return next != kNoNode && this->SendTo(next, request, ForwardKind::kSampling);
}

SamplingStep SamplingSystem::Place(ForwardedRequest& request,
                                   const LoadReport& own_load,
                                   const SamplingPlan& plan) {
  this->RecordSample(request, own_load);
  std::size_t samples = 0;
  const SamplingCandidate* best = nullptr;
  for (const SamplingCandidate& candidate : request.candidates) {
    if (candidate.load.slots == 0 || !candidate.load.accepts_work) {
      continue;
    }
    samples += HasCapacity(candidate, plan) ? 1U : 0U;
    if (best == nullptr || IsBetter(candidate, *best, plan)) {
      best = &candidate;
    }
  }
  if (plan.sample_all || samples < plan.min_samples) {
    const NodeId next = this->NextUnsampled(request);
    if (next != kNoNode &&
        this->SendTo(next, request, ForwardKind::kSampling)) {
      return SamplingStep::kForwarded;
    }
  }
  if (best == nullptr) {
    return SamplingStep::kNoAgent;
  }
  if (best->node == this->context.Self()) {
    return SamplingStep::kServeHere;
  }
  this->context.Record(request.caller, request.service_address,
                       request.message.token, "placed", ResultCode::kOk,
                       best->node, "least loaded of the sampled agents");
  return this->SendTo(best->node, request, ForwardKind::kPlaced)
             ? SamplingStep::kForwarded
             : SamplingStep::kServeHere;
}

}  // namespace cactuscross
