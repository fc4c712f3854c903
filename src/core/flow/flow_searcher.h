#ifndef CACTUSCROSS_SRC_CORE_FLOW_FLOW_SEARCHER_H_
#define CACTUSCROSS_SRC_CORE_FLOW_FLOW_SEARCHER_H_

// Finds the servers of flows that this balancer does not know, or resets the
// flows that no server holds.

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include "src/core/common/metric_set.h"
#include "src/core/flow/flow_sender.h"
#include "src/core/flow/search_congestion_window.h"
#include "src/core/flow/search_table.h"
#include "src/core/flow/store_view.h"
#include "src/core/flow/view_gossip.h"

namespace cactuscross {

class FlowSearcher {
 public:
  FlowSearcher(StoreView& view,
               ViewGossip& gossip,
               FlowSender& sender,
               MetricSet& metrics)
      : view(view), gossip(gossip), sender(sender), metrics(metrics) {}

  // Keeps a packet of a flow that is searched for. Returns false if it is not.
  bool BufferPacket(const FlowPacket& packet);

  // Begins a search. `holder_denied`: the server that held the flow has said
  // that it holds it no more.
  void Begin(TimePoint now,
             const FlowKey& flow,
             const std::vector<ServiceShare>& shares,
             ByteView packet,
             std::uint32_t acknowledgement,
             bool holder_denied);

  // `server` holds the flow of the notice: sends what was kept.
  void NoteHeld(TimePoint now, const FlowNotice& notice, ServerKey server);
  // Returns false if the flow is not searched for.
  bool NoteNotHeld(TimePoint now, const FlowNotice& notice, ServerKey server);

  // The client opens the flow anew: what servers said of it is out of date.
  void ClearDenials(const FlowKey& flow) { this->denials.erase(flow); }

  // Goes on with searches whose servers had `response_timeout` to answer.
  void ProcessTimeouts(TimePoint now, Duration response_timeout);

  std::size_t Size() const { return this->searches.Size(); }
  const SearchCongestionWindow& CongestionWindow() const {
    return this->congestion_window;
  }

 private:
  // Servers that have denied a flow in a search that ended without a result.
  struct Denial {
    std::vector<ServerKey> servers;
    TimePoint at;
  };

  // Asks as many servers as come next, now or in its turn.
  void QueryOrEnqueue(TimePoint now, FlowSearch& search);
  void QueryNextBatch(TimePoint now, FlowSearch& search);
  void FinishBatch(TimePoint now, FlowSearch& search);
  // All servers were asked, and have answered or had the time for it.
  void Finish(TimePoint now, FlowSearch& search);
  void Erase(FlowSearch& search);
  // True if no server that was asked can still hold the flow.
  bool NoServerHolds(TimePoint now, const FlowSearch& search) const;
  void ProcessQueue(TimePoint now);
  void ExpireDenials(TimePoint now);

  StoreView& view;
  ViewGossip& gossip;
  FlowSender& sender;
  MetricSet& metrics;
  SearchTable searches;
  SearchCongestionWindow congestion_window;
  std::deque<FlowKey> queue;  // for their turn, the first come first
  std::unordered_map<FlowKey, Denial, FlowKeyHash> denials;
  TimePoint next_expiry;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_FLOW_SEARCHER_H_
