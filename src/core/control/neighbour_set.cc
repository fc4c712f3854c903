#include "src/core/control/neighbour_set.h"

#include <algorithm>
#include <utility>

#include "src/core/control/control_limits.h"

namespace cactuscross {

namespace {

// All neighbours are redrawn when there are more than kRedrawAbove alive
// balancers and more than kRedrawGrowth times as many as at the last redraw. In
// a smaller fleet, any draw covers all balancers.
constexpr std::size_t kRedrawGrowth = 2;
constexpr std::size_t kRedrawAbove = 16;

}  // namespace

void NeighbourSet::Tick(TimePoint now) {
  if (now >= this->next_rotation) {
    if (!this->neighbours.empty()) {
      const std::size_t index = this->random.Below(this->neighbours.size());
      this->neighbours.erase(this->neighbours.begin() +
                             static_cast<std::ptrdiff_t>(index));
    }
    this->next_rotation = now + this->random.Jittered(kNeighbourRotation);
    this->changed = true;
  }
  const bool unchanged = !this->changed && now < this->next_exclusion_end &&
                         this->seen_generation == this->members.Generation();
  if (unchanged) {
    return;
  }
  this->changed = false;
  this->seen_generation = this->members.Generation();
  const std::size_t live = this->members.LiveBalancers().size();
  if (live > kRedrawAbove && live > this->live_at_redraw * kRedrawGrowth) {
    this->neighbours.clear();
    this->live_at_redraw = live;
  }
  this->EndExclusions(now);
  this->DropUnusable();
  this->Fill(true, kZoneNeighbours);
  this->Fill(false, kOtherZoneNeighbours);
}

void NeighbourSet::Exclude(TimePoint now, NodeId node) {
  this->excluded[node] = now + kNeighbourExclusion;
  this->changed = true;
}

std::vector<PeerAddress> NeighbourSet::Pick(std::size_t count) {
  // Exclusion is only a preference. Without other neighbours, excluded ones are
  // picked too; otherwise a process that was partitioned from all balancers
  // would not detect the end of the partition.
  if (this->neighbours.empty()) {
    return this->PickFromAll(count);
  }
  std::vector<PeerAddress> picked = this->neighbours;
  this->random.Sample(picked, count);
  return picked;
}

std::vector<PeerAddress> NeighbourSet::PickFromAll(std::size_t count) {
  std::vector<const Member*> sample = this->members.LiveBalancers();
  this->random.Sample(sample, count);
  std::vector<PeerAddress> picked;
  picked.reserve(sample.size());
  for (const Member* member : sample) {
    picked.push_back(member->peer);
  }
  return picked;
}

void NeighbourSet::EndExclusions(TimePoint now) {
  this->next_exclusion_end = TimePoint::max();
  for (auto entry = this->excluded.begin(); entry != this->excluded.end();) {
    if (entry->second <= now) {
      entry = this->excluded.erase(entry);
      continue;
    }
    this->next_exclusion_end =
        std::min(this->next_exclusion_end, entry->second);
    ++entry;
  }
}

void NeighbourSet::DropUnusable() {
  const auto unusable = [this](const PeerAddress& peer) {
    return this->excluded.count(peer.node) > 0 ||
           this->members.StateOf(peer.node) != MemberState::kAlive ||
           this->members.Find(peer.node) == nullptr;
  };
  this->neighbours.erase(std::remove_if(this->neighbours.begin(),
                                        this->neighbours.end(), unusable),
                         this->neighbours.end());
}

void NeighbourSet::Fill(bool same_zone, std::size_t target_count) {
  const auto matches_zone = [this, same_zone](const PeerAddress& peer) {
    return (peer.zone == this->zone) == same_zone;
  };
  const auto current_count = static_cast<std::size_t>(std::count_if(
      this->neighbours.begin(), this->neighbours.end(), matches_zone));
  if (current_count >= target_count) {
    return;
  }
  std::vector<const Member*> candidates;
  for (const Member* member : this->members.LiveBalancers()) {
    const NodeId node = member->peer.node;
    const bool taken = std::any_of(
        this->neighbours.begin(), this->neighbours.end(),
        [node](const PeerAddress& peer) { return peer.node == node; });
    if (matches_zone(member->peer) && !taken &&
        this->excluded.count(node) == 0) {
      candidates.push_back(member);
    }
  }
  this->random.Sample(candidates, target_count - current_count);
  for (const Member* member : candidates) {
    this->neighbours.push_back(member->peer);
  }
}

}  // namespace cactuscross
