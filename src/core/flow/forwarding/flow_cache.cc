#include "src/core/flow/forwarding/flow_cache.h"

#include "src/core/flow/common/flow_sequence.h"

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

void FlowCache::Put(TimePoint now,
                    const FlowKey& flow,
                    ServerKey server,
                    std::optional<std::uint32_t> sequence) {
  const auto [position, inserted] = this->entries.try_emplace(flow);
  Entry& entry = position->second;
  const bool same_flow =
      !inserted && (!sequence || IsOfSameFlow(entry.sequence, *sequence));
  if (inserted) {
    entry.flow = flow;
    this->open.push_back(entry);
  }
  entry.server = server;
  entry.sequence = sequence ? sequence : entry.sequence;
  this->Touch(now, entry, same_flow && entry.closing);
  if (this->entries.size() > kMaxEntries) {
    this->EraseEntry(this->closing.empty() ? this->open.front()
                                           : this->closing.front());
  }
}

ServerKey FlowCache::Lookup(TimePoint now, const FlowPacket& packet) {
  const auto found = this->entries.find(packet.flow);
  if (found == this->entries.end() ||
      !IsOfSameFlow(found->second.sequence, packet.sequence)) {
    return kNoServer;
  }
  Entry& entry = found->second;
  entry.sequence = packet.sequence;
  this->Touch(now, entry, entry.closing || packet.closing || packet.reset);
  return entry.server;
}

ServerKey FlowCache::ServerOf(const FlowKey& flow) const {
  const auto found = this->entries.find(flow);
  return found == this->entries.end() ? kNoServer : found->second.server;
}

std::optional<std::uint32_t> FlowCache::SequenceOf(const FlowKey& flow) const {
  const auto found = this->entries.find(flow);
  return found == this->entries.end() ? std::nullopt : found->second.sequence;
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

void FlowCache::Touch(TimePoint now, Entry& entry, bool closing) {
  LruList& previous_list = entry.closing ? this->closing : this->open;
  previous_list.erase(LruList::s_iterator_to(entry));
  entry.closing = closing;
  entry.used_at = now;
  (closing ? this->closing : this->open).push_back(entry);
}

void FlowCache::EraseEntry(Entry& entry) {
  LruList& list = entry.closing ? this->closing : this->open;
  list.erase(LruList::s_iterator_to(entry));
  const FlowKey flow = entry.flow;
  this->entries.erase(flow);
}

}  // namespace cactuscross
