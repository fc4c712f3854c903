#include "src/core/flow/flow_cache.h"

namespace cactuscross {
namespace {

// Flows that a balancer remembers: letter 1 plans 6,270 open ones for each.
constexpr std::size_t kMaxEntries = 16384;

// The platform may discard a flow that was idle for 15 s; a client's
// retransmissions come at most 1.6 s apart.
constexpr Duration kIdleLife{20000000};

// Both ends repeat their last packets for a few seconds.
constexpr Duration kClosingLife{3000000};

}  // namespace

void FlowCache::Put(TimePoint now, const FlowKey& flow, ServerKey server) {
  const auto [place, inserted] = this->entries.try_emplace(flow);
  Entry& entry = place->second;
  if (inserted) {
    entry.flow = flow;
  } else {
    Order& order = entry.closing ? this->closing : this->open;
    order.erase(Order::s_iterator_to(entry));
  }
  entry.server = server;
  entry.used_at = now;
  (entry.closing ? this->closing : this->open).push_back(entry);
  if (this->entries.size() > kMaxEntries) {
    this->EraseEntry(this->closing.empty() ? this->open.front()
                                           : this->closing.front());
  }
}

ServerKey FlowCache::Use(TimePoint now, const FlowKey& flow, bool closing) {
  const auto found = this->entries.find(flow);
  if (found == this->entries.end()) {
    return kNoServer;
  }
  Entry& entry = found->second;
  Order& before = entry.closing ? this->closing : this->open;
  before.erase(Order::s_iterator_to(entry));
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
  while (!this->open.empty() && now - this->open.front().used_at > kIdleLife) {
    this->EraseEntry(this->open.front());
  }
  while (!this->closing.empty() &&
         now - this->closing.front().used_at > kClosingLife) {
    this->EraseEntry(this->closing.front());
  }
}

void FlowCache::EraseEntry(Entry& entry) {
  Order& order = entry.closing ? this->closing : this->open;
  order.erase(Order::s_iterator_to(entry));
  const FlowKey flow = entry.flow;
  this->entries.erase(flow);
}

}  // namespace cactuscross
