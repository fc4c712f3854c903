#ifndef CACTUSCROSS_SRC_CORE_CONTROL_NEIGHBOUR_SET_H_
#define CACTUSCROSS_SRC_CORE_CONTROL_NEIGHBOUR_SET_H_

// The few balancers with which one process exchanges contracts. They are chosen
// at random, most of them in the own zone, and kept for long because each needs
// a connection.

#include <map>
#include <string>
#include <vector>

#include "cactuscross/types.h"
#include "src/core/control/control_random.h"
#include "src/core/control/member_table.h"

namespace cactuscross {

class NeighbourSet {
 public:
  NeighbourSet(std::string zone, MemberTable& members, ControlRandom& random)
      : zone(std::move(zone)), members(members), random(random) {}

  // Removes neighbours that are not alive, adds new ones up to the limits and
  // replaces one at each rotation. Redraws all when many more balancers are
  // known, so that the first balancers of a growing fleet do not remain
  // neighbours of all others.
  void Tick(TimePoint now);

  // Excludes `node` for kNeighbourExclusion because it did not answer.
  void Exclude(TimePoint now, NodeId node);

  // Ends all exclusions.
  void ClearExclusions() { this->excluded.clear(); }

  const std::vector<PeerAddress>& All() const { return this->neighbours; }

  // Returns up to `count` random neighbours, or the result of PickFromAll() if
  // there are none.
  std::vector<PeerAddress> Pick(std::size_t count);
  // Returns up to `count` random balancers among all that are recorded as
  // alive. A neighbour may be a seed that has been replaced since.
  std::vector<PeerAddress> PickFromAll(std::size_t count);

 private:
  void EndExclusions(TimePoint now);
  void DropUnusable();
  void Fill(bool same_zone, std::size_t target_count);

  std::string zone;
  MemberTable& members;
  ControlRandom& random;
  std::vector<PeerAddress> neighbours;
  std::map<NodeId, TimePoint> excluded;  // end of exclusion
  TimePoint next_exclusion_end = TimePoint::max();
  std::uint64_t seen_generation = 0;  // of `members` at the last update
  bool changed = true;                // the next Tick() must update the set
  std::size_t live_at_redraw = 0;     // alive balancers at the last redraw
  TimePoint next_rotation{};
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_CONTROL_NEIGHBOUR_SET_H_
