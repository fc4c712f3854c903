#ifndef CACTUSCROSS_SRC_CORE_CONTROL_MEMBER_TABLE_H_
#define CACTUSCROSS_SRC_CORE_CONTROL_MEMBER_TABLE_H_

// What one process knows of the others: states with incarnations as in SWIM,
// and the news about them that wait to be passed on.

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include <boost/intrusive/list.hpp>

#include "cactuscross/peer_message.h"
#include "cactuscross/types.h"

namespace cactuscross {

using UpdateHook = boost::intrusive::list_member_hook<
    boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

// One known process.
struct Member {
  PeerAddress peer;
  Incarnation incarnation{0};  // highest heard of
  MemberState state = MemberState::kAlive;
  TimePoint state_since{};
  TimePoint added{};
  std::optional<TimePoint> last_received;  // last message that came from it
  // The platform's list says leaving, of the incarnation known then.
  std::optional<Incarnation> leaving_hint;
  bool listed = false;  // in the host list, a contract or the settings
  std::optional<LoadReport> load;
  TimePoint load_time{};
  UpdateHook update_hook;
  std::size_t update_sends = 0;
  bool notice_pending = false;  // not yet sent by a notice
};

struct MemberCounts {
  std::uint64_t suspicions = 0;  // own judgements
  std::uint64_t deaths = 0;
  std::uint64_t refutations = 0;  // of news about this process
  std::uint64_t updates_applied = 0;
};

class MemberTable {
 public:
  MemberTable(const PeerAddress& self, Incarnation incarnation);

  // Adds a process that someone says exists; it says nothing of its liveness.
  void AddMember(TimePoint now, const PeerAddress& peer);

  // Notes what the platform's list says. It never kills.
  void HintState(TimePoint now, const PeerAddress& peer, bool leaving);

  // A message of `from` arrived. Returns true if others believe, or this
  // process believes, that `from` is down, so that it should be told.
  bool NoteReceived(TimePoint now,
                    const PeerAddress& from,
                    Incarnation incarnation);

  // Takes what another process says. Returns the member to be told of a false
  // report about it, if any.
  std::optional<NodeId> Apply(TimePoint now, const MemberUpdate& update);

  // Records the result of own probes.
  void RecordProbeResult(TimePoint now, NodeId node, MemberState state);

  void NoteLoad(TimePoint now, NodeId node, const LoadReport& load);

  // This process leaves.
  void Leave(TimePoint now);

  // Drops members that are dead and that no list names.
  void EvictDead(TimePoint now);

  const Member* Find(NodeId node) const;
  MemberState StateOf(NodeId node) const;

  // News of this process about itself.
  MemberUpdate SelfUpdate() const;
  bool Leaving() const { return this->self_state == MemberState::kLeaving; }

  // Alive balancers without this process, ordered by node.
  const std::vector<const Member*>& LiveBalancers() const;
  // Suspect and dead members, ordered by node.
  const std::vector<const Member*>& Down() const;
  // All known balancers without this process, ordered by node.
  std::vector<const Member*> Balancers() const;
  // All members, ordered by node.
  std::vector<const Member*> All() const;

  // Takes up to `max_count` news to pass on, least often sent first.
  std::vector<MemberUpdate> TakeUpdates(std::size_t max_count);
  // Takes up to `max_count` news that no notice has carried yet.
  std::vector<MemberUpdate> TakeNoticeUpdates(std::size_t max_count);
  bool HasNoticeUpdates() const {
    return this->self_notice_pending || this->pending_notices > 0;
  }

  const MemberCounts& Counts() const { return this->counts; }
  // Rises when the set of live balancers changes.
  std::uint64_t Generation() const { return this->generation; }
  std::size_t Size() const { return this->members.size(); }

 private:
  using UpdateQueue = boost::intrusive::list<
      Member,
      boost::intrusive::member_hook<Member, UpdateHook, &Member::update_hook>,
      boost::intrusive::constant_time_size<false>>;

  Member& Emplace(TimePoint now, const PeerAddress& peer);
  void SetState(TimePoint now, Member& member, MemberState state);
  void QueueUpdate(Member& member);
  void QueueSelfUpdate();
  void ClearNoticePending(Member& member);
  void ApplyToSelf(const MemberUpdate& update);

  PeerAddress self;
  Incarnation self_incarnation;
  MemberState self_state = MemberState::kAlive;
  std::size_t self_update_sends = 0;  // still to be sent
  bool self_notice_pending = false;
  std::size_t pending_notices = 0;  // members with notice_pending
  std::unordered_map<NodeId, Member> members;
  UpdateQueue updates;
  std::uint64_t generation = 1;
  mutable std::uint64_t live_generation = 0;
  mutable std::vector<const Member*> live_balancers;
  mutable std::uint64_t down_generation = 0;
  mutable std::vector<const Member*> down;
  MemberCounts counts;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_CONTROL_MEMBER_TABLE_H_
