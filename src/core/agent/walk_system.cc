#include "src/core/agent/walk_system.h"

#include <algorithm>
#include <utility>

#include "src/core/agent/request_system.h"
#include "src/core/balancer/route_table.h"

namespace cactuscross {
namespace {

bool HasRoom(const SamplingCandidate& candidate, const WalkPlan& plan) {
  return !plan.needs_room || candidate.load.has_capacity;
}

bool IsBetter(const SamplingCandidate& a,
              const SamplingCandidate& b,
              const WalkPlan& plan) {
  if (HasRoom(a, plan) != HasRoom(b, plan)) {
    return HasRoom(a, plan);
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

// An agent that was visited has at least one slot in its load.
void WalkSystem::NoteVisit(ForwardedRequest& request,
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

NodeId WalkSystem::NextUnvisited(const ForwardedRequest& request) const {
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

bool WalkSystem::SendTo(NodeId node,
                        ForwardedRequest& request,
                        ForwardKind kind) {
  const ContractServer* server = this->context.FindServer(node);
  if (server == nullptr || request.hops >= kMostHops) {
    return false;
  }
  request.kind = kind;
  ++request.hops;
  this->context.Send(AgentAddress(*server), std::move(request));
  return true;
}

bool WalkSystem::PassOn(ForwardedRequest& request, const LoadReport& own_load) {
  this->NoteVisit(request, own_load);
  const NodeId next = this->NextUnvisited(request);
  return next != kNoNode && this->SendTo(next, request, ForwardKind::kSampling);
}

WalkStep WalkSystem::Place(ForwardedRequest& request,
                           const LoadReport& own_load,
                           const WalkPlan& plan) {
  this->NoteVisit(request, own_load);
  std::size_t visits = 0;
  const SamplingCandidate* best = nullptr;
  for (const SamplingCandidate& candidate : request.candidates) {
    if (candidate.load.slots == 0 || !candidate.load.accepts_work) {
      continue;
    }
    visits += HasRoom(candidate, plan) ? 1U : 0U;
    if (best == nullptr || IsBetter(candidate, *best, plan)) {
      best = &candidate;
    }
  }
  if (plan.visit_all || visits < plan.least_visits) {
    const NodeId next = this->NextUnvisited(request);
    if (next != kNoNode &&
        this->SendTo(next, request, ForwardKind::kSampling)) {
      return WalkStep::kForwarded;
    }
  }
  if (best == nullptr) {
    return WalkStep::kNoAgent;
  }
  if (best->node == this->context.Self()) {
    return WalkStep::kServeHere;
  }
  this->context.Record(request.caller, request.service_address,
                       request.message.token, "placed", ResultCode::kOk,
                       best->node, "least loaded of the agents visited");
  return this->SendTo(best->node, request, ForwardKind::kPlaced)
             ? WalkStep::kForwarded
             : WalkStep::kServeHere;
}

}  // namespace cactuscross
