#ifndef CACTUSCROSS_SRC_CORE_FLOW_FORWARDING_FLOW_CACHE_H_
#define CACTUSCROSS_SRC_CORE_FLOW_FORWARDING_FLOW_CACHE_H_

// LRU cache that maps flows to the servers that hold them. Has a maximum size;
// eviction prefers flows whose client has closed its side. A lookup that misses
// costs a search.

#include <unordered_map>

#include <boost/intrusive/list.hpp>

#include "cactuscross/flow_types.h"
#include "cactuscross/flow_view.h"

namespace cactuscross {

class FlowCache {
 public:
  // Records that `server` holds `flow`.
  void Put(TimePoint now, const FlowKey& flow, ServerKey server);

  // Returns the server of `flow` and marks the entry as recently used; returns
  // kNoServer if unknown. `closing`: the client has closed its side.
  ServerKey Lookup(TimePoint now, const FlowKey& flow, bool closing);

  void Erase(const FlowKey& flow);
  void Expire(TimePoint now);
  std::size_t Size() const { return this->entries.size(); }

 private:
  struct Entry : boost::intrusive::list_base_hook<> {
    FlowKey flow;
    ServerKey server = kNoServer;
    TimePoint used_at;
    bool closing = false;
  };
  using Entries = std::unordered_map<FlowKey, Entry, FlowKeyHash>;
  // Ordered by last use, least recently used first.
  using LruList = boost::intrusive::list<Entry>;

  void EraseEntry(Entry& entry);

  Entries entries;
  LruList open;
  LruList closing;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_FORWARDING_FLOW_CACHE_H_
