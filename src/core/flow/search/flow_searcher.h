#ifndef CACTUSCROSS_SRC_CORE_FLOW_SEARCH_FLOW_SEARCHER_H_
#define CACTUSCROSS_SRC_CORE_FLOW_SEARCH_FLOW_SEARCHER_H_

// Finds the servers that hold flows unknown to this balancer by querying the
// agents, and resets flows that no server holds.

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include "src/core/common/metric_set.h"
#include "src/core/flow/forwarding/flow_sender.h"
#include "src/core/flow/search/search_congestion_window.h"
#include "src/core/flow/search/search_table.h"
#include "src/core/flow/view/store_view.h"
#include "src/core/flow/view/view_gossip.h"

namespace cactuscross {

class FlowSearcher {
 public:
  FlowSearcher(StoreView& view,
               ViewGossip& gossip,
               FlowSender& sender,
               MetricSet& metrics)
      : view(view), gossip(gossip), sender(sender), metrics(metrics) {}

  // Buffers a packet if a search for its flow is in progress; returns false if
  // none is.
  bool BufferPacket(const FlowPacket& packet);

  // Begins a search among the servers of the services that may hold the flow.
  // `holder_denied`: the server that held the flow reported that it no longer
  // holds it.
  void Begin(TimePoint now,
             const FlowKey& flow,
             ByteView packet,
             std::uint32_t acknowledgement,
             bool holder_denied);

  // `server` holds the flow of the notice: forwards the buffered packets to it
  // and ends the search.
  void NoteHeld(TimePoint now, const FlowNotice& notice, ServerKey server);
  // `server` does not hold the flow of the notice. Returns false if no search
  // for the flow is in progress.
  bool NoteNotHeld(TimePoint now, const FlowNotice& notice, ServerKey server);

  // Drops the recorded denials of a flow that its client opens again, because
  // they are out of date.
  void ClearDenials(const FlowKey& flow) { this->denials.erase(flow); }

  // Continues or ends searches whose last queries were sent `response_timeout`
  // ago, starts queued searches, and expires denials.
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
    TimePoint at;
  };

  // Servers that may hold `flow`, those of the services that its route names
  // now first. If former services may be unknown, the servers of all other
  // services follow.
  std::vector<ServerKey> Candidates(TimePoint now, const FlowKey& flow) const;
  // Queries the next batch of candidates, or queues the search while the
  // congestion window is full.
  void QueryOrEnqueue(TimePoint now, FlowSearch& search);
  void QueryNextBatch(TimePoint now, FlowSearch& search);
  void FinishBatch(TimePoint now, FlowSearch& search);
  // Ends a search after all candidates were queried and have answered or timed
  // out, or after it was queued for too long: resets the flow if it is lost.
  void Finish(TimePoint now, FlowSearch& search);
  void Erase(FlowSearch& search);
  // True if every candidate has denied the flow or is dead.
  bool NoServerHolds(TimePoint now, const FlowSearch& search) const;
  void ProcessQueue(TimePoint now);
  void ExpireDenials(TimePoint now);

  StoreView& view;
  ViewGossip& gossip;
  FlowSender& sender;
  MetricSet& metrics;
  SearchTable searches;
  SearchCongestionWindow congestion_window;
  std::deque<FlowKey> queue;  // flows whose search waits to send, FIFO
  std::unordered_map<FlowKey, Denial, FlowKeyHash> denials;
  TimePoint next_expiry;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_SEARCH_FLOW_SEARCHER_H_
