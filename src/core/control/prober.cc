#include "src/core/control/prober.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "src/core/control/control_limits.h"

namespace cactuscross {

namespace {

bool Contains(const std::vector<std::uint64_t>& sequences,
              std::uint64_t sequence) {
  return std::find(sequences.begin(), sequences.end(), sequence) !=
         sequences.end();
}

bool IsDown(MemberState state) {
  return state == MemberState::kSuspect || state == MemberState::kDead;
}

void EndCycle(Watch& watch) {
  watch.phase = WatchPhase::kIdle;
  watch.current_path_sequences.clear();
  watch.new_path_sequences.clear();
  watch.new_path_answered = false;
  watch.helper_answered = false;
}

}  // namespace

void Prober::SetTargets(TimePoint now,
                        const std::vector<PeerAddress>& targets) {
  std::map<NodeId, Watch> kept;
  for (const PeerAddress& target : targets) {
    const auto known = this->watches.find(target.node);
    Watch watch;
    if (known != this->watches.end()) {
      watch = std::move(known->second);
      this->watches.erase(known);
    } else {
      watch.last_answer = now;
    }
    watch.peer = target;
    watch.on_demand = false;
    kept.emplace(target.node, std::move(watch));
  }
  for (auto& [node, watch] : this->watches) {
    // Probe cycles in progress are completed: a process that this one recorded
    // as down must be notified of it, or nobody would refute that state.
    if (watch.phase != WatchPhase::kIdle) {
      watch.on_demand = true;
      kept.emplace(node, std::move(watch));
    }
  }
  this->watches = std::move(kept);
}

void Prober::NoteForwarded(TimePoint now, const PeerAddress& peer) {
  if (this->awaiting_answer.size() >= kMaxTrackedPeers) {
    return;
  }
  if (this->awaiting_answer.try_emplace(peer.node, now).second) {
    this->awaiting_order.emplace_back(peer.node, now);
    this->members.AddMember(now, peer);
  }
}

void Prober::NoteReceived(NodeId node) {
  this->awaiting_answer.erase(node);
}

void Prober::ProbeForRefutation(TimePoint now, const MemberUpdate& recorded) {
  if (this->next_refutation_probe.size() > kMaxTrackedPeers) {
    this->next_refutation_probe.clear();
  }
  TimePoint& next = this->next_refutation_probe[recorded.peer.node];
  if (now < next) {
    return;
  }
  next = now + kRefutationProbeInterval;
  Probe probe;
  probe.sequence = ++this->last_sequence;
  probe.updates.push_back(recorded);
  this->outbound.Send(recorded.peer, std::move(probe));
}

void Prober::HandleProbe(const PeerEnvelope& envelope,
                         const Probe& probe,
                         const std::optional<LoadReport>& own_load) {
  if (probe.sequence == 0) {
    return;  // a notice, which requests no reply
  }
  ProbeReply reply;
  reply.sequence = probe.sequence;
  reply.new_path = probe.new_path;
  reply.load = own_load;
  reply.updates = this->UpdatesFor(envelope.from, kUpdatesPerProbe);
  // Each probe that carries an update about this process is answered with its
  // own state, since an earlier refutation may have been lost.
  const MemberUpdate own = this->members.SelfUpdate();
  const auto names_self = [&own](const MemberUpdate& update) {
    return update.peer.node == own.peer.node;
  };
  if (std::any_of(probe.updates.begin(), probe.updates.end(), names_self) &&
      std::none_of(reply.updates.begin(), reply.updates.end(), names_self)) {
    reply.updates.push_back(own);
  }
  this->outbound.Send(envelope.from, std::move(reply));
}

void Prober::HandleReply(TimePoint now,
                         const PeerEnvelope& envelope,
                         const ProbeReply& reply) {
  const NodeId node = envelope.from.node;
  if (reply.load) {
    this->members.NoteLoad(now, node, *reply.load);
  }
  const auto relay = std::find_if(this->relayed.begin(), this->relayed.end(),
                                  [&](const RelayedProbe& probe) {
                                    return probe.sequence == reply.sequence &&
                                           probe.target == node;
                                  });
  if (relay != this->relayed.end()) {
    this->outbound.Send(
        relay->requester,
        IndirectProbeReply{relay->requester_sequence, node, true});
    this->relayed.erase(relay);
    return;
  }
  const auto found = this->watches.find(node);
  if (found == this->watches.end()) {
    return;
  }
  Watch& watch = found->second;
  if (Contains(watch.current_path_sequences, reply.sequence)) {
    watch.last_answer = now;
    EndCycle(watch);
  } else if (Contains(watch.new_path_sequences, reply.sequence)) {
    watch.new_path_answered = true;
  }
}

void Prober::HandleIndirect(TimePoint now,
                            const PeerEnvelope& envelope,
                            const IndirectProbe& probe) {
  if (this->relayed.size() >= kMaxRelayedProbes) {
    this->relayed.pop_front();
  }
  Probe relayed_probe;
  relayed_probe.sequence = ++this->last_sequence;
  this->relayed.push_back({relayed_probe.sequence, envelope.from,
                           probe.sequence, probe.target.node, now});
  this->outbound.Send(probe.target, std::move(relayed_probe));
}

void Prober::HandleIndirectReply(const IndirectProbeReply& reply) {
  const auto found = this->watches.find(reply.target);
  const bool confirms_alive =
      found != this->watches.end() && reply.alive &&
      Contains(found->second.current_path_sequences, reply.sequence);
  if (confirms_alive) {
    found->second.helper_answered = true;
  }
}

void Prober::Reset(TimePoint now) {
  for (auto& [node, watch] : this->watches) {
    if (watch.phase == WatchPhase::kSuspected) {
      watch.suspected_at = now;
      watch.due = now;
    } else if (watch.phase != WatchPhase::kDead) {
      EndCycle(watch);
    }
  }
  this->awaiting_answer.clear();
  this->awaiting_order.clear();
  this->relayed.clear();
  this->next_cycle = now;
  this->next_on_demand = now;
}

void Prober::Tick(TimePoint now, std::vector<NodeId>& renewed_paths) {
  this->ProbeUnansweredForwards(now);
  this->ProbeOneRequested(now);
  this->ProbeOneDown(now);
  for (auto& [node, watch] : this->watches) {
    this->SyncWithTable(now, watch);
    this->Step(now, watch, renewed_paths);
  }
  this->DropIdleOnDemand();
  while (!this->relayed.empty() &&
         now - this->relayed.front().sent > kIndirectTimeout) {
    this->relayed.pop_front();
  }
}

void Prober::ProbeUnansweredForwards(TimePoint now) {
  while (!this->awaiting_order.empty()) {
    const auto [node, since] = this->awaiting_order.front();
    const auto waiting = this->awaiting_answer.find(node);
    const bool answered =
        waiting == this->awaiting_answer.end() || waiting->second != since;
    if (!answered &&
        (now - since < kForwardAnswerTimeout || now < this->next_on_demand)) {
      return;
    }
    this->awaiting_order.pop_front();
    if (answered) {
      continue;
    }
    this->awaiting_answer.erase(waiting);
    this->ProbeOnDemand(now, node);
  }
}

void Prober::ProbeOnDemand(TimePoint now, NodeId node) {
  const Member* member = this->members.Find(node);
  if (member == nullptr) {
    return;
  }
  const auto [entry, added] = this->watches.try_emplace(node);
  Watch& watch = entry->second;
  if (added) {
    watch.peer = member->peer;
    watch.on_demand = true;
    watch.last_answer = now;
  }
  if (watch.phase == WatchPhase::kIdle) {
    this->next_on_demand = now + kOnDemandProbeInterval;
    this->StartCycle(now, watch);
  }
}

void Prober::DropIdleOnDemand() {
  for (auto entry = this->watches.begin(); entry != this->watches.end();) {
    const Watch& watch = entry->second;
    const bool idle = watch.on_demand && watch.phase == WatchPhase::kIdle;
    entry = idle ? this->watches.erase(entry) : std::next(entry);
  }
}

void Prober::RequestProbe(NodeId node) {
  const bool noted = std::find(this->requested.begin(), this->requested.end(),
                               node) != this->requested.end();
  if (!noted && this->requested.size() < kMaxRequestedProbes) {
    this->requested.push_back(node);
  }
}

void Prober::ProbeOneRequested(TimePoint now) {
  if (this->requested.empty() || now < this->next_requested) {
    return;
  }
  this->next_requested = now + kRequestedProbeInterval;
  const Member* member = this->members.Find(this->requested.front());
  this->requested.pop_front();
  if (member != nullptr && IsDown(member->state)) {
    this->ProbeForRefutation(
        now, {member->peer, member->incarnation, member->state});
  }
}

// A down process may have refuted that state without this process receiving the
// refutation, so random down processes are probed periodically.
void Prober::ProbeOneDown(TimePoint now) {
  if (now < this->next_down_probe) {
    return;
  }
  this->next_down_probe = now + this->random.Jittered(kDownProbeInterval);
  const std::vector<const Member*>& down = this->members.Down();
  if (down.empty()) {
    return;
  }
  const Member& member = *down[this->random.Below(down.size())];
  this->ProbeForRefutation(now,
                           {member.peer, member.incarnation, member.state});
}

void Prober::SyncWithTable(TimePoint now, Watch& watch) {
  const Member* member = this->members.Find(watch.peer.node);
  const bool down = member != nullptr && IsDown(member->state);
  const bool watched_as_down =
      watch.phase == WatchPhase::kSuspected || watch.phase == WatchPhase::kDead;
  if (watched_as_down && !down) {
    EndCycle(watch);
  } else if (down && !watched_as_down) {
    EndCycle(watch);
    watch.phase = member->state == MemberState::kDead ? WatchPhase::kDead
                                                      : WatchPhase::kSuspected;
    watch.suspected_at = now;
    watch.due = now + this->random.Jittered(kSuspectProbeInterval);
  }
}

void Prober::Step(TimePoint now,
                  Watch& watch,
                  std::vector<NodeId>& renewed_paths) {
  switch (watch.phase) {
    case WatchPhase::kIdle:
      if (this->CycleDue(now, watch)) {
        this->next_cycle = now + kProbeIdleTimePerWatch / 2 +
                           this->random.UpTo(kProbeIdleTimePerWatch / 2);
        this->StartCycle(now, watch);
      }
      return;
    case WatchPhase::kDirect:
      if (now >= watch.due) {
        this->StartIndirectProbes(now, watch);
      }
      return;
    case WatchPhase::kIndirect:
      if (now >= watch.due) {
        this->Conclude(now, watch, renewed_paths);
      }
      return;
    case WatchPhase::kSuspected:
    case WatchPhase::kDead:
      if (now >= watch.due) {
        this->ProbeSuspect(now, watch);
      }
      return;
  }
}

bool Prober::CycleDue(TimePoint now, const Watch& watch) const {
  if (watch.on_demand || now < this->next_cycle) {
    return false;
  }
  const Member* member = this->members.Find(watch.peer.node);
  TimePoint last_contact = watch.last_answer;
  if (member != nullptr && member->last_received) {
    last_contact = std::max(last_contact, *member->last_received);
  }
  return now - last_contact >= this->ProbeIdleTime() ||
         now - watch.last_answer >= kPathCheckInterval;
}

void Prober::StartCycle(TimePoint now, Watch& watch) {
  EndCycle(watch);
  watch.phase = WatchPhase::kDirect;
  watch.cycle_start = now;
  watch.due = now + kProbeTimeout;
  this->SendProbe(watch, false);
}

void Prober::StartIndirectProbes(TimePoint now, Watch& watch) {
  watch.phase = WatchPhase::kIndirect;
  watch.due = now + kIndirectTimeout;
  this->SendProbe(watch, false);
  this->SendProbe(watch, true);
  std::vector<const Member*> helpers;
  for (const auto& [node, other] : this->watches) {
    const Member* member = this->members.Find(node);
    const bool usable = node != watch.peer.node && member != nullptr &&
                        member->state == MemberState::kAlive;
    if (usable) {
      helpers.push_back(member);
    }
  }
  this->random.Sample(helpers, kIndirectHelpers);
  for (const Member* helper : helpers) {
    this->outbound.Send(
        helper->peer,
        IndirectProbe{watch.current_path_sequences.front(), watch.peer});
  }
}

void Prober::Conclude(TimePoint now,
                      Watch& watch,
                      std::vector<NodeId>& renewed_paths) {
  const Member* member = this->members.Find(watch.peer.node);
  const bool received = member != nullptr && member->last_received &&
                        *member->last_received > watch.cycle_start;
  const bool alive =
      watch.new_path_answered || watch.helper_answered || received;
  EndCycle(watch);
  if (alive) {
    renewed_paths.push_back(watch.peer.node);
    ++this->counts.renewed_paths;
    watch.last_answer = now;
    return;
  }
  this->members.AddMember(now, watch.peer);
  this->members.RecordProbeResult(now, watch.peer.node, MemberState::kSuspect);
  watch.phase = WatchPhase::kSuspected;
  watch.suspected_at = now;
  watch.due = now + kSuspectProbeInterval;
}

void Prober::ProbeSuspect(TimePoint now, Watch& watch) {
  const bool expired = watch.phase == WatchPhase::kSuspected &&
                       now - watch.suspected_at >= kSuspicionTimeout;
  if (expired) {
    this->members.RecordProbeResult(now, watch.peer.node, MemberState::kDead);
    watch.phase = WatchPhase::kDead;
  }
  const bool new_path = !watch.current_path_sequences.empty();
  watch.current_path_sequences.clear();
  watch.new_path_sequences.clear();
  this->SendProbe(watch, false);
  if (new_path) {
    this->SendProbe(watch, true);
  }
  const Duration interval = watch.phase == WatchPhase::kDead
                                ? kDeadProbeInterval
                                : kSuspectProbeInterval;
  watch.due = now + this->random.Jittered(interval);
}

void Prober::SendProbe(Watch& watch, bool new_path) {
  Probe probe;
  probe.sequence = ++this->last_sequence;
  probe.new_path = new_path;
  probe.updates = this->UpdatesFor(watch.peer, kUpdatesPerProbe);
  (new_path ? watch.new_path_sequences : watch.current_path_sequences)
      .push_back(probe.sequence);
  ++this->counts.probes;
  this->outbound.Send(watch.peer, std::move(probe));
}

std::vector<MemberUpdate> Prober::UpdatesFor(const PeerAddress& to,
                                             std::size_t max_count) {
  std::vector<MemberUpdate> updates;
  if (to.role == Role::kBalancer || this->role == Role::kAgent) {
    updates = this->members.TakeUpdates(max_count);
  } else if (this->members.SelfUpdate().state != MemberState::kAlive) {
    updates.push_back(this->members.SelfUpdate());
  }
  const Member* member = this->members.Find(to.node);
  if (member != nullptr && IsDown(member->state)) {
    updates.push_back({member->peer, member->incarnation, member->state});
  }
  return updates;
}

Duration Prober::ProbeIdleTime() const {
  return std::max<Duration>(
      kProbeIdleTime, kProbeIdleTimePerWatch *
                          static_cast<Duration::rep>(this->watches.size()));
}

}  // namespace cactuscross
