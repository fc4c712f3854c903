#ifndef CACTUSCROSS_SRC_CORE_FLOW_FORWARDING_FLOW_CACHE_H_
#define CACTUSCROSS_SRC_CORE_FLOW_FORWARDING_FLOW_CACHE_H_

// LRU cache that maps flows to the servers that hold them. Has a maximum size;
// eviction prefers flows whose client has closed its side. A lookup that misses
// costs a search. Of the flows of one key, only the last one is known.

#include <cstdint>
#include <optional>
#include <unordered_map>

#include <boost/intrusive/list.hpp>

#include "cactuscross/flow_types.h"
#include "cactuscross/flow_view.h"

namespace cactuscross {

class FlowCache {
 public:
  // Records that `server` holds `flow`. `sequence`: sequence number of the
  // client in it; nullopt if unknown.
  void Put(TimePoint now,
           const FlowKey& flow,
           ServerKey server,
           std::optional<std::uint32_t> sequence);

  // Returns the server of the flow that `packet` of a client belongs to, and
  // marks the entry as recently used; returns kNoServer if unknown.
  ServerKey Lookup(TimePoint now, const FlowPacket& packet);

  // Server of the last known flow with the key `flow`; kNoServer if unknown.
  ServerKey ServerOf(const FlowKey& flow) const;
  // Last sequence number of the client in that flow; nullopt if unknown.
  std::optional<std::uint32_t> SequenceOf(const FlowKey& flow) const;

  void Erase(const FlowKey& flow);
  void Expire(TimePoint now);
  std::size_t Size() const { return this->entries.size(); }

 private:
  struct Entry : boost::intrusive::list_base_hook<> {
    FlowKey flow;
    ServerKey server = kNoServer;
    TimePoint used_at;
    std::optional<std::uint32_t> sequence;  // last one of the client
    bool closing = false;                   // the client has closed its side
  };
  using Entries = std::unordered_map<FlowKey, Entry, FlowKeyHash>;
  // Ordered by last use, least recently used first.
  using LruList = boost::intrusive::list<Entry>;

  void Touch(TimePoint now, Entry& entry, bool closing);
  void EraseEntry(Entry& entry);

  Entries entries;
  LruList open;
  LruList closing;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_FORWARDING_FLOW_CACHE_H_
