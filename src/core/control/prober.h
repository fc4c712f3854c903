#ifndef CACTUSCROSS_SRC_CORE_CONTROL_PROBER_H_
#define CACTUSCROSS_SRC_CORE_CONTROL_PROBER_H_

// Failure detector. Probes the watched processes from which no message arrived
// for a while: directly, then from a new source port and indirectly through
// helpers. Marks them suspect and dead, and detects paths that lose all packets
// while a new path to the same process works.

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "cactuscross/peer_message.h"
#include "src/core/control/control_random.h"
#include "src/core/control/member_table.h"
#include "src/core/control/outbound.h"

namespace cactuscross {

enum class WatchPhase : std::uint8_t {
  kIdle,       // no probe outstanding
  kDirect,     // one direct probe outstanding
  kIndirect,   // a second direct, a new-path and indirect probes outstanding
  kSuspected,  // suspect, probed until dead or refuted
  kDead,       // probed at kDeadProbeInterval
};

// One watched process.
struct Watch {
  PeerAddress peer;
  WatchPhase phase = WatchPhase::kIdle;
  TimePoint due{};          // time of the next step
  TimePoint cycle_start{};  // when the first direct probe was sent
  TimePoint last_answer{};  // to a probe on the current path
  TimePoint suspected_at{};
  std::vector<std::uint64_t> current_path_sequences;  // of outstanding probes
  std::vector<std::uint64_t> new_path_sequences;
  bool new_path_answered = false;
  bool helper_answered = false;
  bool on_demand = false;  // not in the watch set; removed when idle
};

struct ProberCounts {
  std::uint64_t probes = 0;
  std::uint64_t renewed_paths = 0;
};

class Prober {
 public:
  Prober(Role role,
         MemberTable& members,
         Outbound& outbound,
         ControlRandom& random)
      : role(role), members(members), outbound(outbound), random(random) {}

  // Replaces the set of watched processes.
  void SetTargets(TimePoint now, const std::vector<PeerAddress>& targets);

  // Records that a message that is usually answered was sent to `peer`.
  void NoteForwarded(TimePoint now, const PeerAddress& peer);
  // Records that a message arrived from `node`.
  void NoteReceived(NodeId node);

  // Requests a probe of `node`, which is recorded as down and needed for new
  // work.
  void RequestProbe(NodeId node);

  // Sends a process the state recorded for it, so that the process can refute
  // that state.
  void ProbeForRefutation(TimePoint now, const MemberUpdate& recorded);

  void HandleProbe(const PeerEnvelope& envelope,
                   const Probe& probe,
                   const std::optional<LoadReport>& own_load);
  void HandleReply(TimePoint now,
                   const PeerEnvelope& envelope,
                   const ProbeReply& reply);
  void HandleIndirect(TimePoint now,
                      const PeerEnvelope& envelope,
                      const IndirectProbe& probe);
  void HandleIndirectReply(const IndirectProbeReply& reply);

  // Discards outstanding probes and restarts suspicion timeouts after a pause
  // of this process.
  void Reset(TimePoint now);

  void Tick(TimePoint now, std::vector<NodeId>& renewed_paths);

  std::size_t Watched() const { return this->watches.size(); }
  const std::map<NodeId, Watch>& Watches() const { return this->watches; }
  const ProberCounts& Counts() const { return this->counts; }

 private:
  // A probe sent on behalf of another process.
  struct RelayedProbe {
    std::uint64_t sequence = 0;  // of the relayed probe
    PeerAddress requester;
    std::uint64_t requester_sequence = 0;
    NodeId target = kNoNode;
    TimePoint sent{};
  };

  void ProbeUnansweredForwards(TimePoint now);
  void ProbeOnDemand(TimePoint now, NodeId node);
  // Removes on-demand watches whose probe cycle has ended.
  void DropIdleOnDemand();
  void ProbeOneDown(TimePoint now);
  void ProbeOneRequested(TimePoint now);
  // Adopts a state that the member table received from another process.
  void SyncWithTable(TimePoint now, Watch& watch);
  void Step(TimePoint now, Watch& watch, std::vector<NodeId>& renewed_paths);
  bool CycleDue(TimePoint now, const Watch& watch) const;
  void StartCycle(TimePoint now, Watch& watch);
  void StartIndirectProbes(TimePoint now, Watch& watch);
  // Ends a probe cycle: renews the path if the process is alive, and marks the
  // process suspect otherwise.
  void Conclude(TimePoint now,
                Watch& watch,
                std::vector<NodeId>& renewed_paths);
  // Probes a suspect or dead process, and marks it dead when its suspicion
  // timeout has passed.
  void ProbeSuspect(TimePoint now, Watch& watch);
  void SendProbe(Watch& watch, bool new_path);
  std::vector<MemberUpdate> UpdatesFor(const PeerAddress& to,
                                       std::size_t max_count);
  Duration ProbeIdleTime() const;

  Role role;
  MemberTable& members;
  Outbound& outbound;
  ControlRandom& random;
  std::map<NodeId, Watch> watches;
  // When the oldest unanswered message was sent, for each peer.
  std::unordered_map<NodeId, TimePoint> awaiting_answer;
  // The same by time; may hold peers that have answered since.
  std::deque<std::pair<NodeId, TimePoint>> awaiting_order;
  std::deque<RelayedProbe> relayed;
  std::map<NodeId, TimePoint> next_refutation_probe;
  TimePoint next_cycle{};  // earliest start of the next periodic probe cycle
  TimePoint next_on_demand{};
  TimePoint next_down_probe{};
  std::deque<NodeId> requested;  // by RequestProbe()
  TimePoint next_requested{};
  std::uint64_t last_sequence = 0;
  ProberCounts counts;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_CONTROL_PROBER_H_
