#include "src/core/control/neighbour_set.h"

#include <algorithm>
#include <utility>

#include "src/core/control/control_limits.h"

namespace cactuscross {

namespace {

// All neighbours are drawn anew from so many times as many balancers, if there
// are more than so many: a smaller fleet is covered by any draw.
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
    this->next_rotation = now + this->random.Around(kNeighbourRotation);
    this->changed = true;
  }
  const bool unchanged = !this->changed && now < this->next_rest_end &&
                         this->seen_generation == this->members.Generation();
  if (unchanged) {
    return;
  }
  this->changed = false;
  this->seen_generation = this->members.Generation();
  const std::size_t live = this->members.LiveBalancers().size();
  if (live > kRedrawAbove && live > this->drawn_from * kRedrawGrowth) {
    this->neighbours.clear();
    this->drawn_from = live;
  }
  this->EndRests(now);
  this->DropLost();
  this->Fill(true, kZoneNeighbours);
  this->Fill(false, kOtherNeighbours);
}

void NeighbourSet::Rest(TimePoint now, NodeId node) {
  this->resting[node] = now + kNeighbourRest;
  this->changed = true;
}

std::vector<PeerAddress> NeighbourSet::Pick(std::size_t count) {
  // A rest is a preference: with nobody else left, whoever rests is asked, or
  // a process that was cut off would not notice that it no longer is.
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

void NeighbourSet::EndRests(TimePoint now) {
  this->next_rest_end = TimePoint::max();
  for (auto entry = this->resting.begin(); entry != this->resting.end();) {
    if (entry->second <= now) {
      entry = this->resting.erase(entry);
      continue;
    }
    this->next_rest_end = std::min(this->next_rest_end, entry->second);
    ++entry;
  }
}

void NeighbourSet::DropLost() {
  const auto lost = [this](const PeerAddress& peer) {
    return this->resting.count(peer.node) > 0 ||
           this->members.StateOf(peer.node) != MemberState::kAlive ||
           this->members.Find(peer.node) == nullptr;
  };
  this->neighbours.erase(
      std::remove_if(this->neighbours.begin(), this->neighbours.end(), lost),
      this->neighbours.end());
}

void NeighbourSet::Fill(bool inside, std::size_t wanted) {
  const auto on_side = [this, inside](const PeerAddress& peer) {
    return (peer.zone == this->zone) == inside;
  };
  const auto have = static_cast<std::size_t>(
      std::count_if(this->neighbours.begin(), this->neighbours.end(), on_side));
  if (have >= wanted) {
    return;
  }
  std::vector<const Member*> candidates;
  for (const Member* member : this->members.LiveBalancers()) {
    const NodeId node = member->peer.node;
    const bool taken = std::any_of(
        this->neighbours.begin(), this->neighbours.end(),
        [node](const PeerAddress& peer) { return peer.node == node; });
    if (on_side(member->peer) && !taken && this->resting.count(node) == 0) {
      candidates.push_back(member);
    }
  }
  this->random.Sample(candidates, wanted - have);
  for (const Member* member : candidates) {
    this->neighbours.push_back(member->peer);
  }
}

}  // namespace cactuscross
