#ifndef CACTUSCROSS_SRC_CORE_FLOW_SEARCH_LOOKUP_BATCHER_H_
#define CACTUSCROSS_SRC_CORE_FLOW_SEARCH_LOOKUP_BATCHER_H_

// Batches the lookups of searches: at most one lookup datagram to an agent is
// in flight, and flows that have to be looked up meanwhile go into the next one
// (as in Nagle's algorithm). Load: all clients hold flows that were lost, so
// that each flow has to be looked up at each server. The cost of a flow falls
// from a datagram to kLookupFlowBytes per server, and the traffic is clocked by
// the answers and by a minimum interval.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <unordered_map>
#include <vector>

#include "cactuscross/flow_message.h"
#include "src/core/flow/search/search_congestion_window.h"

namespace cactuscross {

// A lookup of a flow for a search. A later search for the same flow has another
// number, so that an answer can't be taken for one to a later lookup.
struct LookupTarget {
  FlowKey flow;
  std::uint64_t search = 0;
};

struct LookupDatagram {
  ServerKey server = kNoServer;
  std::vector<LookupTarget> targets;
  TimePoint sent_at;

  // Size on the wire.
  std::size_t Bytes() const;
};

struct LookupAnswer {
  LookupTarget target;
  LookupResult result = LookupResult::kUnknown;
};

class LookupBatcher {
 public:
  using IsWanted = std::function<bool(ServerKey, const LookupTarget&)>;

  // Queues a lookup of a flow at `server`.
  void Add(ServerKey server, const LookupTarget& target);

  // Datagrams to send now, as far as `congestion_window` allows. Lookups that
  // are no longer wanted are dropped.
  std::vector<LookupDatagram> TakeReady(
      TimePoint now,
      SearchCongestionWindow& congestion_window,
      const IsWanted& is_wanted);

  // The agent of `server` sent a reply. Returns its answers to the datagram in
  // flight or to the last one that timed out; none if it belongs to neither.
  std::vector<LookupAnswer> NoteReply(
      ServerKey server,
      const std::vector<FlowLookup>& lookups,
      SearchCongestionWindow& congestion_window);

  // Datagrams that were sent `response_timeout` ago without an answer.
  std::vector<LookupDatagram> TakeTimedOut(
      TimePoint now,
      Duration response_timeout,
      SearchCongestionWindow& congestion_window);

  // A datagram to the agent timed out although the agent is alive. Agents of
  // the previous version do not answer lookups.
  void NoteIgnored(TimePoint now, ServerKey server);
  // True if the agent of `server` is assumed not to answer lookups, so that it
  // has to be queried by packet.
  bool IgnoresLookups(TimePoint now, ServerKey server) const;

  // True if the agent of `server` has answered a lookup and is not assumed to
  // ignore them now.
  bool HasReplied(ServerKey server) const;

  // Drops the state of servers that no longer exist.
  void Prune(const std::function<bool(ServerKey)>& exists);

  // Bytes of a flow in a lookup: its addresses and the result.
  static constexpr std::size_t kLookupFlowBytes = 13;

 private:
  struct Agent {
    std::deque<LookupTarget> queue;
    LookupDatagram in_flight;  // without targets: none
    LookupDatagram timed_out;  // the last one whose answer may still arrive
    TimePoint last_sent_at;
    bool ready = false;  // listed in `ready`
    bool has_replied = false;
    int ignored = 0;  // consecutive datagrams that the agent ignored
    TimePoint ignores_until;
  };

  void AddToReady(ServerKey server, Agent& agent);

  std::unordered_map<ServerKey, Agent> agents;
  // Agents with queued lookups and no datagram in flight, FIFO.
  std::deque<ServerKey> ready;
  // Datagrams in the order in which they were sent; they leave the list after
  // the response timeout, answered or not.
  struct Sent {
    ServerKey server = kNoServer;
    TimePoint sent_at;
  };
  std::deque<Sent> sent;
  // Datagrams answered since the last ones that timed out.
  std::size_t answered = 0;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_SEARCH_LOOKUP_BATCHER_H_
