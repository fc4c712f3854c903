#include "src/core/control/member_table.h"

#include <algorithm>

#include "src/core/control/control_limits.h"

namespace cactuscross {

namespace {

// Of two updates with the same incarnation, the state with the higher
// precedence wins.
int Precedence(MemberState state) {
  return static_cast<int>(state);
}

bool IsDown(MemberState state) {
  return state == MemberState::kSuspect || state == MemberState::kDead;
}

Incarnation NextIncarnation(Incarnation incarnation) {
  return Incarnation{ToNumber(incarnation) + 1};
}

bool ByNode(const Member* a, const Member* b) {
  return ToNumber(a->peer.node) < ToNumber(b->peer.node);
}

// Returns the number of sends per update: a multiple of the number of gossip
// rounds that reach all members.
std::size_t UpdateRepeats(std::size_t members) {
  std::size_t rounds = 1;
  while ((std::size_t{1} << rounds) < members + 2) {
    ++rounds;
  }
  return rounds * kUpdateRepeatFactor;
}

}  // namespace

MemberTable::MemberTable(const PeerAddress& self, Incarnation incarnation)
    : self(self), self_incarnation(incarnation) {}

Member& MemberTable::Emplace(TimePoint now, const PeerAddress& peer) {
  const auto [entry, added] = this->members.try_emplace(peer.node);
  Member& member = entry->second;
  if (added) {
    member.added = now;
    member.state_since = now;
    ++this->generation;
  }
  if (added || peer.zone != member.peer.zone ||
      peer.endpoint != member.peer.endpoint) {
    member.peer = peer;
    ++this->generation;
  }
  return member;
}

void MemberTable::AddMember(TimePoint now, const PeerAddress& peer) {
  if (peer.node == this->self.node || peer.node == kNoNode) {
    return;
  }
  const auto known = this->members.find(peer.node);
  if (known != this->members.end()) {
    known->second.listed = true;
    return;
  }
  this->Emplace(now, peer).listed = true;
}

void MemberTable::RecordHostListEntry(TimePoint now,
                                      const PeerAddress& peer,
                                      bool leaving) {
  this->AddMember(now, peer);
  const auto known = this->members.find(peer.node);
  if (known == this->members.end()) {
    return;
  }
  Member& member = known->second;
  if (!leaving) {
    this->generation += member.leaving_hint ? 1 : 0;
    member.leaving_hint.reset();
  } else if (!member.leaving_hint) {
    member.leaving_hint = member.incarnation;
    ++this->generation;
  }
}

bool MemberTable::NoteReceived(TimePoint now,
                               const PeerAddress& from,
                               Incarnation incarnation) {
  if (from.node == this->self.node || from.node == kNoNode) {
    return false;
  }
  const bool unknown = this->members.count(from.node) == 0;
  Member& member = this->Emplace(now, from);
  member.last_received = now;
  if (incarnation <= member.incarnation) {
    return IsDown(member.state);
  }
  if (member.leaving_hint == Incarnation{0}) {
    member.leaving_hint = incarnation;
  }
  const bool was_not_alive = member.state != MemberState::kAlive;
  const bool new_balancer = unknown && from.role == Role::kBalancer;
  member.incarnation = incarnation;
  this->SetState(now, member, MemberState::kAlive);
  if (was_not_alive || new_balancer) {
    this->QueueUpdate(member);
  }
  return false;
}

std::optional<NodeId> MemberTable::Apply(TimePoint now,
                                         const MemberUpdate& update) {
  const NodeId node = update.peer.node;
  if (node == this->self.node) {
    this->ApplyToSelf(update);
    return std::nullopt;
  }
  const auto known = this->members.find(node);
  if (known == this->members.end()) {
    if (node == kNoNode || update.state == MemberState::kDead) {
      return std::nullopt;
    }
    Member& member = this->Emplace(now, update.peer);
    member.incarnation = update.incarnation;
    this->SetState(now, member, update.state);
    this->QueueUpdate(member);
    ++this->counts.updates_applied;
    return std::nullopt;
  }
  Member& member = known->second;
  const bool newer = update.incarnation > member.incarnation ||
                     (update.incarnation == member.incarnation &&
                      Precedence(update.state) > Precedence(member.state));
  if (!newer) {
    return std::nullopt;
  }
  const bool recent_contact =
      member.last_received && now - *member.last_received < kRecentContactTime;
  if (IsDown(update.state) && recent_contact) {
    return node;
  }
  member.incarnation = update.incarnation;
  if (update.state == MemberState::kAlive) {
    this->Emplace(now, update.peer);
  }
  this->SetState(now, member, update.state);
  this->QueueUpdate(member);
  ++this->counts.updates_applied;
  return std::nullopt;
}

void MemberTable::ApplyToSelf(const MemberUpdate& update) {
  const bool higher = update.incarnation > this->self_incarnation;
  const bool overrides =
      update.incarnation == this->self_incarnation &&
      Precedence(update.state) > Precedence(this->self_state);
  if (!higher && !overrides) {
    return;
  }
  this->self_incarnation = NextIncarnation(update.incarnation);
  this->QueueSelfUpdate();
  ++this->counts.refutations;
}

void MemberTable::RecordProbeResult(TimePoint now,
                                    NodeId node,
                                    MemberState state) {
  const auto known = this->members.find(node);
  if (known == this->members.end() || known->second.state == state) {
    return;
  }
  this->counts.suspicions += state == MemberState::kSuspect ? 1 : 0;
  this->counts.deaths += state == MemberState::kDead ? 1 : 0;
  this->SetState(now, known->second, state);
  this->QueueUpdate(known->second);
}

void MemberTable::NoteLoad(TimePoint now, NodeId node, const LoadReport& load) {
  const auto known = this->members.find(node);
  if (known != this->members.end()) {
    known->second.load = load;
    known->second.load_time = now;
  }
}

void MemberTable::Leave(TimePoint /*now*/) {
  this->self_state = MemberState::kLeaving;
  this->QueueSelfUpdate();
}

void MemberTable::EvictDead(TimePoint now) {
  for (auto entry = this->members.begin(); entry != this->members.end();) {
    Member& member = entry->second;
    const bool expired = member.state == MemberState::kDead && !member.listed &&
                         now - member.state_since > kDeadMemberRetention;
    if (expired) {
      this->ClearNoticePending(member);
      entry = this->members.erase(entry);
      ++this->generation;
    } else {
      ++entry;
    }
  }
}

const Member* MemberTable::Find(NodeId node) const {
  const auto known = this->members.find(node);
  return known == this->members.end() ? nullptr : &known->second;
}

MemberState MemberTable::StateOf(NodeId node) const {
  if (node == this->self.node) {
    return this->self_state;
  }
  const Member* member = this->Find(node);
  if (member == nullptr) {
    return MemberState::kAlive;
  }
  const bool hinted = member->leaving_hint == member->incarnation;
  if (member->state == MemberState::kAlive && hinted) {
    return MemberState::kLeaving;
  }
  return member->state;
}

MemberUpdate MemberTable::SelfUpdate() const {
  return {this->self, this->self_incarnation, this->self_state};
}

const std::vector<const Member*>& MemberTable::LiveBalancers() const {
  if (this->live_generation == this->generation) {
    return this->live_balancers;
  }
  this->live_balancers.clear();
  for (const Member* member : this->Balancers()) {
    if (this->StateOf(member->peer.node) == MemberState::kAlive) {
      this->live_balancers.push_back(member);
    }
  }
  this->live_generation = this->generation;
  return this->live_balancers;
}

const std::vector<const Member*>& MemberTable::Down() const {
  if (this->down_generation != this->generation) {
    this->down_generation = this->generation;
    this->down.clear();
    for (const auto& [node, member] : this->members) {
      if (IsDown(member.state)) {
        this->down.push_back(&member);
      }
    }
    std::sort(this->down.begin(), this->down.end(), ByNode);
  }
  return this->down;
}

std::vector<const Member*> MemberTable::Balancers() const {
  std::vector<const Member*> balancers;
  for (const auto& [node, member] : this->members) {
    if (member.peer.role == Role::kBalancer) {
      balancers.push_back(&member);
    }
  }
  std::sort(balancers.begin(), balancers.end(), ByNode);
  return balancers;
}

std::vector<const Member*> MemberTable::All() const {
  std::vector<const Member*> all;
  all.reserve(this->members.size());
  for (const auto& [node, member] : this->members) {
    all.push_back(&member);
  }
  std::sort(all.begin(), all.end(), ByNode);
  return all;
}

std::vector<MemberUpdate> MemberTable::TakeUpdates(std::size_t max_count) {
  std::vector<MemberUpdate> taken;
  if (this->self_update_sends > 0) {
    --this->self_update_sends;
    taken.push_back(this->SelfUpdate());
  }
  const std::size_t limit = UpdateRepeats(this->LiveBalancers().size());
  std::vector<Member*> sent;
  while (taken.size() < max_count && !this->updates.empty()) {
    Member& member = this->updates.front();
    this->updates.pop_front();
    taken.push_back({member.peer, member.incarnation, member.state});
    ++member.update_sends;
    sent.push_back(&member);
  }
  for (Member* member : sent) {
    if (member->update_sends < limit) {
      this->updates.push_back(*member);
    } else {
      this->ClearNoticePending(*member);
    }
  }
  return taken;
}

std::vector<MemberUpdate> MemberTable::TakeNoticeUpdates(
    std::size_t max_count) {
  std::vector<MemberUpdate> taken;
  if (this->self_notice_pending) {
    this->self_notice_pending = false;
    taken.push_back(this->SelfUpdate());
  }
  for (Member& member : this->updates) {
    if (taken.size() >= max_count || this->pending_notices == 0) {
      break;
    }
    if (member.notice_pending) {
      this->ClearNoticePending(member);
      taken.push_back({member.peer, member.incarnation, member.state});
    }
  }
  return taken;
}

void MemberTable::SetState(TimePoint now, Member& member, MemberState state) {
  if (member.state == state) {
    return;
  }
  member.state = state;
  member.state_since = now;
  ++this->generation;
}

void MemberTable::QueueUpdate(Member& member) {
  // Balancers watch each other, so agents do not gossip updates about them.
  if (this->self.role == Role::kAgent && member.peer.role == Role::kBalancer) {
    return;
  }
  if (member.update_hook.is_linked()) {
    member.update_hook.unlink();
  }
  member.update_sends = 0;
  this->pending_notices += member.notice_pending ? 0 : 1;
  member.notice_pending = true;
  this->updates.push_front(member);
}

void MemberTable::QueueSelfUpdate() {
  this->self_update_sends = UpdateRepeats(this->members.size());
  this->self_notice_pending = true;
}

void MemberTable::ClearNoticePending(Member& member) {
  this->pending_notices -= member.notice_pending ? 1 : 0;
  member.notice_pending = false;
}

}  // namespace cactuscross
