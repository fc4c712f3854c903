#ifndef CACTUSCROSS_SRC_CORE_CONTROL_NEIGHBOUR_SET_H_
#define CACTUSCROSS_SRC_CORE_CONTROL_NEIGHBOUR_SET_H_

// The few balancers that one process exchanges contracts with: random, mostly
// of its own zone, kept for long because each costs a connection.

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

  // Drops neighbours that are not alive, fills up, and now and then exchanges
  // one for another. Draws all anew when far more balancers are known, so that
  // the first ones of a young fleet do not stay neighbours of all.
  void Tick(TimePoint now);

  // Leaves out `node` for some time, because it did not answer.
  void Exclude(TimePoint now, NodeId node);

  // Forgets who was left out.
  void ClearExclusions() { this->excluded.clear(); }

  const std::vector<PeerAddress>& All() const { return this->neighbours; }

  // Up to `count` random neighbours; without any, as PickFromAll().
  std::vector<PeerAddress> Pick(std::size_t count);
  // The same among all balancers that are thought to be alive: a neighbour may
  // be a seed that was replaced long ago.
  std::vector<PeerAddress> PickFromAll(std::size_t count);

 private:
  void EndExclusions(TimePoint now);
  void DropUnusable();
  void Fill(bool same_zone, std::size_t target_count);

  std::string zone;
  MemberTable& members;
  ControlRandom& random;
  std::vector<PeerAddress> neighbours;
  std::map<NodeId, TimePoint> excluded;  // until when
  TimePoint next_exclusion_end = TimePoint::max();
  std::uint64_t seen_generation = 0;
  bool changed = true;
  std::size_t live_at_redraw = 0;  // live balancers when all were drawn
  TimePoint next_rotation{};
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_CONTROL_NEIGHBOUR_SET_H_
