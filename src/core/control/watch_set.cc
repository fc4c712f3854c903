#include "src/core/control/watch_set.h"

#include <algorithm>

#include "src/core/control/rendezvous_rank.h"

namespace cactuscross {

namespace {

// Counts the nodes with a higher weight than `self` for `target`, up to
// `limit`.
class RankCounter {
 public:
  RankCounter(NodeId self, NodeId target, std::size_t limit)
      : target(target),
        subject(ToNumber(target)),
        own(RendezvousWeight(this->subject, self)),
        limit(limit) {}

  // Returns false when the limit is reached.
  bool Add(NodeId node) {
    const bool above = node != this->target &&
                       RendezvousWeight(this->subject, node) > this->own;
    this->above += above ? 1 : 0;
    return this->above < this->limit;
  }

 private:
  NodeId target;
  std::uint64_t subject;
  std::uint64_t own;
  std::size_t limit;
  std::size_t above = 0;
};

}  // namespace

void WatcherPool::Add(NodeId node, std::string_view zone) {
  Zone& group = this->zones[zone];
  group.push_back(node);
  this->all.emplace_back(node, &group);
}

bool WatcherPool::IsWatcher(const PeerAddress& self,
                            const PeerAddress& target,
                            std::size_t count) const {
  const auto found = this->zones.find(target.zone);
  const Zone* zone = found == this->zones.end() ? nullptr : &found->second;
  std::size_t inside = 0;
  if (zone != nullptr) {
    const bool holds_target =
        std::find(zone->begin(), zone->end(), target.node) != zone->end();
    inside = zone->size() - (holds_target ? 1 : 0);
  }
  const std::size_t outside =
      this->all.size() - (zone == nullptr ? 0 : zone->size());
  // If one side has too few watchers, the other side supplies more.
  const std::size_t half = (count + 1) / 2;
  const std::size_t from_outside =
      std::min(outside, count - std::min(half, inside));
  const std::size_t from_inside = std::min(inside, count - from_outside);
  const bool self_inside = self.zone == target.zone;
  const std::size_t limit = self_inside ? from_inside : from_outside;
  if (limit == 0) {
    return false;
  }
  RankCounter rank(self.node, target.node, limit);
  if (self_inside) {
    return std::all_of(zone->begin(), zone->end(),
                       [&rank](NodeId node) { return rank.Add(node); });
  }
  return std::all_of(this->all.begin(), this->all.end(),
                     [&rank, zone](const auto& watcher) {
                       return watcher.second == zone || rank.Add(watcher.first);
                     });
}

std::size_t WatcherCount(std::size_t watchers,
                         std::size_t targets,
                         std::size_t per_watcher,
                         std::size_t min_watchers) {
  if (targets == 0) {
    return min_watchers;
  }
  const std::size_t spread = per_watcher * watchers / targets;
  return std::max(min_watchers, std::min(watchers, spread));
}

}  // namespace cactuscross
