#ifndef CACTUSCROSS_SRC_CORE_CONTROL_MEMBER_TABLE_H_
#define CACTUSCROSS_SRC_CORE_CONTROL_MEMBER_TABLE_H_

// Membership view of one process: states and incarnations of the other
// processes as in SWIM, and the queue of updates to be gossiped.

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
  Incarnation incarnation{0};  // highest known
  MemberState state = MemberState::kAlive;
  TimePoint state_since{};
  TimePoint added{};
  std::optional<TimePoint> last_received;  // arrival of its last message
  // Set while the platform's host list marks the process as leaving; holds the
  // incarnation known when it was first marked, or the first one known later.
  std::optional<Incarnation> leaving_hint;
  bool listed = false;  // added by AddMember(), e.g. from the host list
  std::optional<LoadReport> load;
  TimePoint load_time{};
  UpdateHook update_hook;
  std::size_t update_sends = 0;  // of the queued update, so far
  bool notice_pending = false;   // not yet sent in a notice
};

struct MemberCounts {
  std::uint64_t suspicions = 0;   // raised by this process
  std::uint64_t deaths = 0;       // processes marked dead by this process
  std::uint64_t refutations = 0;  // of updates about this process
  std::uint64_t updates_applied = 0;
};

class MemberTable {
 public:
  MemberTable(const PeerAddress& self, Incarnation incarnation);

  // Adds a process that is known to exist, for example from the host list. This
  // is no evidence that it is alive.
  void AddMember(TimePoint now, const PeerAddress& peer);

  // Records the entry of `peer` in the platform's host list. Never marks a
  // process suspect or dead.
  void RecordHostListEntry(TimePoint now,
                           const PeerAddress& peer,
                           bool leaving);

  // Records a message from `from`. Returns true if `from` is still recorded as
  // suspect or dead. The caller must then send it that state for refutation.
  bool NoteReceived(TimePoint now,
                    const PeerAddress& from,
                    Incarnation incarnation);

  // Applies an update sent by another process. If the update reports a process
  // as down from which a message arrived recently, ignores the update and
  // returns that process. The caller must then send it the update for
  // refutation.
  std::optional<NodeId> Apply(TimePoint now, const MemberUpdate& update);

  // Sets the state of `node` found by own probes.
  void RecordProbeResult(TimePoint now, NodeId node, MemberState state);

  // Records the load reported by `node`.
  void NoteLoad(TimePoint now, NodeId node, const LoadReport& load);

  // Sets the state of this process to leaving.
  void Leave(TimePoint now);

  // Removes members that have been dead for kDeadMemberRetention and were never
  // added by AddMember().
  void EvictDead(TimePoint now);

  const Member* Find(NodeId node) const;
  // Returns kAlive for an unknown process, and kLeaving for an alive one that
  // the host list marks as leaving.
  MemberState StateOf(NodeId node) const;

  // Returns the update of this process about itself.
  MemberUpdate SelfUpdate() const;
  bool Leaving() const { return this->self_state == MemberState::kLeaving; }

  // Alive balancers except this process, ordered by node.
  const std::vector<const Member*>& LiveBalancers() const;
  // Suspect and dead members, ordered by node.
  const std::vector<const Member*>& Down() const;
  // All known balancers except this process, ordered by node.
  std::vector<const Member*> Balancers() const;
  // All members, ordered by node.
  std::vector<const Member*> All() const;

  // Takes up to `max_count` updates for a probe, newest or least often sent
  // first.
  std::vector<MemberUpdate> TakeUpdates(std::size_t max_count);
  // Takes up to `max_count` updates that have not been sent in a notice.
  std::vector<MemberUpdate> TakeNoticeUpdates(std::size_t max_count);
  bool HasNoticeUpdates() const {
    return this->self_notice_pending || this->pending_notices > 0;
  }

  const MemberCounts& Counts() const { return this->counts; }
  // Increases with each change of members or of their states.
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
  std::size_t self_update_sends = 0;  // remaining sends
  bool self_notice_pending = false;
  std::size_t pending_notices = 0;  // members with notice_pending set
  std::unordered_map<NodeId, Member> members;
  UpdateQueue updates;
  std::uint64_t generation = 1;
  // Results of LiveBalancers() and Down(), each with the generation for which
  // it was computed.
  mutable std::uint64_t live_generation = 0;
  mutable std::vector<const Member*> live_balancers;
  mutable std::uint64_t down_generation = 0;
  mutable std::vector<const Member*> down;
  MemberCounts counts;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_CONTROL_MEMBER_TABLE_H_
