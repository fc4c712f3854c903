#include "src/core/flow/forwarding/flow_cache.h"

namespace cactuscross {
namespace {

// The capacity plan expects 6,270 open flows per balancer.
constexpr std::size_t kMaxEntries = 16384;

// The platform may discard a flow that was idle for 15 s, and a client's
// retransmissions are at most 1.6 s apart.
constexpr Duration kIdleLifetime{20000000};

// Both ends retransmit their last packets for a few seconds.
constexpr Duration kClosingLifetime{3000000};

}  // namespace

void FlowCache::Put(TimePoint now, const FlowKey& flow, ServerKey server) {
  const auto [position, inserted] = this->entries.try_emplace(flow);
  Entry& entry = position->second;
  if (inserted) {
    entry.flow = flow;
  } else {
    LruList& list = entry.closing ? this->closing : this->open;
    list.erase(LruList::s_iterator_to(entry));
  }
  entry.server = server;
  entry.used_at = now;
  (entry.closing ? this->closing : this->open).push_back(entry);
  if (this->entries.size() > kMaxEntries) {
    this->EraseEntry(this->closing.empty() ? this->open.front()
                                           : this->closing.front());
  }
}

ServerKey FlowCache::Lookup(TimePoint now, const FlowKey& flow, bool closing) {
  const auto found = this->entries.find(flow);
  if (found == this->entries.end()) {
    return kNoServer;
  }
  Entry& entry = found->second;
  LruList& previous_list = entry.closing ? this->closing : this->open;
  previous_list.erase(LruList::s_iterator_to(entry));
  entry.closing = entry.closing || closing;
  entry.used_at = now;
  (entry.closing ? this->closing : this->open).push_back(entry);
  return entry.server;
}

void FlowCache::Erase(const FlowKey& flow) {
  const auto found = this->entries.find(flow);
  if (found != this->entries.end()) {
    this->EraseEntry(found->second);
  }
}

void FlowCache::Expire(TimePoint now) {
  while (!this->open.empty() &&
         now - this->open.front().used_at > kIdleLifetime) {
    this->EraseEntry(this->open.front());
  }
  while (!this->closing.empty() &&
         now - this->closing.front().used_at > kClosingLifetime) {
    this->EraseEntry(this->closing.front());
  }
}

void FlowCache::EraseEntry(Entry& entry) {
  LruList& list = entry.closing ? this->closing : this->open;
  list.erase(LruList::s_iterator_to(entry));
  const FlowKey flow = entry.flow;
  this->entries.erase(flow);
}

}  // namespace cactuscross
