#ifndef CACTUSCROSS_SRC_CORE_FLOW_COMMON_FLOW_TABLE_H_
#define CACTUSCROSS_SRC_CORE_FLOW_COMMON_FLOW_TABLE_H_

// Flows about which a balancer queries servers, at most `kMaxEntries` at once.
// `Entry` has the members `flow`, `sent_at` (time of the last queries) and
// `waiting` (true while the entry waits before its next query).

#include <cstddef>
#include <unordered_map>
#include <vector>

#include "cactuscross/flow_types.h"

namespace cactuscross {

template <typename Entry, std::size_t kMaxEntries>
class FlowTable {
 public:
  Entry* Find(const FlowKey& flow) {
    const auto found = this->entries.find(flow);
    return found == this->entries.end() ? nullptr : &found->second;
  }

  // Returns null if the table is full.
  Entry* Add(const FlowKey& flow) {
    if (this->entries.size() >= kMaxEntries) {
      return nullptr;
    }
    Entry& entry = this->entries[flow];
    entry.flow = flow;
    return &entry;
  }

  void Erase(const FlowKey& flow) { this->entries.erase(flow); }
  std::size_t Size() const { return this->entries.size(); }

  // Flows whose last queries were sent at least `response_timeout` ago and have
  // not all been answered.
  std::vector<FlowKey> TimedOut(TimePoint now,
                                Duration response_timeout) const {
    std::vector<FlowKey> timed_out;
    for (const auto& [flow, entry] : this->entries) {
      if (!entry.waiting && now - entry.sent_at >= response_timeout) {
        timed_out.push_back(flow);
      }
    }
    return timed_out;
  }

 protected:
  std::unordered_map<FlowKey, Entry, FlowKeyHash> entries;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_COMMON_FLOW_TABLE_H_
