#ifndef CACTUSCROSS_SRC_CORE_CONTROL_WATCH_SET_H_
#define CACTUSCROSS_SRC_CORE_CONTROL_WATCH_SET_H_

// Selects the processes that this one probes by rendezvous hashing, so that
// each process has a few watchers, some in its own zone and some in other
// zones.

#include <cstddef>
#include <map>
#include <string_view>
#include <utility>
#include <vector>

#include "cactuscross/types.h"

namespace cactuscross {

// Processes that may watch others, grouped by zone. The zone names passed to
// Add() must outlive the pool.
class WatcherPool {
 public:
  void Add(NodeId node, std::string_view zone);

  // Returns true if `self`, which is in the pool, is among the `count` watchers
  // of `target`. Half of the watchers, rounded up, are in the zone of `target`
  // if it has that many.
  bool IsWatcher(const PeerAddress& self,
                 const PeerAddress& target,
                 std::size_t count) const;

  std::size_t Size() const { return this->all.size(); }

 private:
  using Zone = std::vector<NodeId>;

  std::map<std::string_view, Zone> zones;
  std::vector<std::pair<NodeId, const Zone*>> all;
};

// Returns the number of watchers for each of `targets` processes, so that each
// of `watchers` processes watches about `per_watcher` targets and each target
// has at least `min_watchers`.
std::size_t WatcherCount(std::size_t watchers,
                         std::size_t targets,
                         std::size_t per_watcher,
                         std::size_t min_watchers);

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_CONTROL_WATCH_SET_H_
