#ifndef CACTUSCROSS_SRC_CORE_FLOW_SEARCH_FLOW_SEARCHER_H_
#define CACTUSCROSS_SRC_CORE_FLOW_SEARCH_FLOW_SEARCHER_H_

// Finds the servers that hold flows unknown to this balancer by querying the
// agents, and resets flows that no server holds.

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include <gsl/span>

#include "src/core/common/metric_set.h"
#include "src/core/flow/forwarding/flow_sender.h"
#include "src/core/flow/search/lookup_batcher.h"
#include "src/core/flow/search/search_congestion_window.h"
#include "src/core/flow/search/search_table.h"
#include "src/core/flow/view/store_view.h"
#include "src/core/flow/view/view_gossip.h"

namespace cactuscross {

// A packet of a client whose flow is searched for.
struct SearchedPacket {
  FlowKey flow;
  ByteView bytes;
  std::optional<std::uint32_t> sequence;  // nullopt if unknown
  std::uint32_t acknowledgement = 0;
  TimePoint arrived_at;  // the packet may have been buffered since
};

// A flow whose server was found.
struct FoundFlow {
  FlowKey flow;
  std::optional<std::uint32_t> sequence;  // of the client; nullopt if unknown
};

class FlowSearcher {
 public:
  // `batched_lookup`: queries agents by the keys of flows, many in a datagram,
  // instead of by a packet of each flow.
  FlowSearcher(StoreView& view,
               ViewGossip& gossip,
               FlowSender& sender,
               MetricSet& metrics,
               bool batched_lookup)
      : view(view),
        gossip(gossip),
        sender(sender),
        metrics(metrics),
        batched_lookup(batched_lookup) {}

  // Buffers a packet if a search for its flow is in progress; returns false if
  // none is. A packet of another flow with the same key is not buffered.
  bool BufferPacket(const FlowPacket& packet);
  // True if a search for a flow with this key is in progress.
  bool IsSearching(const FlowKey& flow) {
    return this->searches.Find(flow) != nullptr;
  }

  // Begins a search among the servers of the services that may hold the flow.
  // `holder_denied`: the server that held the flow reported that it no longer
  // holds it.
  void Begin(TimePoint now, const SearchedPacket& packet, bool holder_denied);

  // `server` holds the flow of the notice: forwards the buffered packets to it
  // and ends the search. Returns nullopt if no search is in progress.
  std::optional<FoundFlow> NoteHeld(TimePoint now,
                                    const FlowNotice& notice,
                                    ServerKey server);
  // `server` does not hold the flow of the notice. Returns false if no search
  // for the flow is in progress.
  bool NoteNotHeld(TimePoint now, const FlowNotice& notice, ServerKey server);

  // The agent of `server` answered a lookup, or rejected it because its service
  // is another one. Ends the searches that found their server and returns their
  // flows.
  std::vector<FoundFlow> NoteLookupReply(TimePoint now,
                                         const FlowNotice& notice,
                                         ServerKey server);

  // The client opens the flow again: drops its search and recorded denials. The
  // answers to queries that are in flight are out of date.
  void Abandon(const FlowKey& flow);

  // Continues or ends searches whose last queries were sent `response_timeout`
  // ago, starts queued searches, sends lookups, and expires denials.
  void ProcessTimeouts(TimePoint now, Duration response_timeout);

  std::size_t Size() const { return this->searches.Size(); }
  const SearchCongestionWindow& CongestionWindow() const {
    return this->congestion_window;
  }

 private:
  // Servers that reported not to hold a flow, in a search that ended without a
  // result. The next search for the flow does not query them again.
  struct Denial {
    std::vector<ServerKey> servers;
    std::optional<std::uint32_t> sequence;  // of the client; nullopt if unknown
    TimePoint at;
    TimePoint request_started_at;  // as estimated at the first search
  };

  // Servers that may hold `flow`, those of the services that its route names
  // now first. If former services may be unknown, the servers of all other
  // services follow.
  std::vector<ServerKey> Candidates(TimePoint now, const FlowKey& flow) const;
  // Continues a search whose last queries are all answered or timed out: sends
  // the packet to servers that can't be looked up, or queries the next batch of
  // candidates, or finishes.
  void Advance(TimePoint now, FlowSearch& search);
  void QueryNextBatch(TimePoint now, FlowSearch& search);
  // Sends the packet to `search.by_packet`, or queues the search while the
  // congestion window is full.
  void SendOrEnqueue(TimePoint now, FlowSearch& search);
  void SendPackets(TimePoint now, FlowSearch& search);
  // Sends the packet and the hosts of `servers`, which are of one service, to
  // one of their agents, which forwards it to all of them.
  void SendRelay(const FlowSearch& search,
                 gsl::span<const ServerEntry* const> servers);
  // Sends the lookups that are due.
  void SendLookups(TimePoint now);
  void ProcessLookupTimeouts(TimePoint now, Duration response_timeout);
  // True if the agent is alive but has not answered several lookups, so that it
  // is assumed to be of a version that knows none.
  bool IgnoresLookups(TimePoint now, const LookupDatagram& timed_out);
  // The search that `target` belongs to; null if it has ended.
  FlowSearch* FindSearch(const LookupTarget& target);
  // Forwards the buffered packets to `server` and ends the search.
  void EndFound(TimePoint now, FlowSearch& search, ServerKey server);
  // Ends a round of a search, in which all candidates were queried and have
  // answered or timed out: resets the flow if it is lost, else begins another
  // round later.
  void FinishRound(TimePoint now, FlowSearch& search);
  void BeginDueRounds(TimePoint now);
  // Ends a search after its last round, or after it was queued for too long:
  // resets the flow if it is lost.
  void Finish(TimePoint now, FlowSearch& search);
  // True if no server holds the flow, and there is no other that may.
  bool IsLost(TimePoint now, const FlowSearch& search) const;
  // True if this process knows all servers that may hold a flow.
  bool IsViewComplete(TimePoint now) const;
  // True if the agent has to be asked by the flow's packet.
  bool NeedsPacket(TimePoint now, ServerKey server) const;
  bool LossesPrevail() const;
  void Erase(FlowSearch& search);
  // True if every candidate has denied the flow or is dead.
  bool NoServerHolds(TimePoint now, const FlowSearch& search) const;
  void ProcessQueue(TimePoint now);
  void ExpireDenials(TimePoint now);

  StoreView& view;
  ViewGossip& gossip;
  FlowSender& sender;
  MetricSet& metrics;
  const bool batched_lookup;
  std::uint64_t searches_begun = 0;
  LookupBatcher batcher;
  SearchTable searches;
  SearchCongestionWindow congestion_window;
  std::deque<FlowKey> queue;  // flows whose search waits to send, FIFO
  std::unordered_map<FlowKey, Denial, FlowKeyHash> denials;
  TimePoint next_expiry;
  // Searches that wait for their next round, by its start.
  std::multimap<TimePoint, FlowKey> next_rounds;
  // Moving average over the ended searches: 1 for a lost flow, 0 for one that
  // was found.
  double lost_share = 0;
  TimePoint receiving_since;  // first call of ProcessTimeouts()
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_SEARCH_FLOW_SEARCHER_H_
