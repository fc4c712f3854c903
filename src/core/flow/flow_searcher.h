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
#include "src/core/flow/search_pace.h"
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
  bool Keep(const FlowPacket& packet);

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
  void Forget(const FlowKey& flow) { this->denials.erase(flow); }

  // Goes on with searches whose servers had `patience` to answer.
  void Continue(TimePoint now, Duration patience);

  std::size_t Size() const { return this->searches.Size(); }
  const SearchPace& Pace() const { return this->pace; }

 private:
  // Servers that have denied a flow in a search that ended without a result.
  struct Denial {
    std::vector<ServerKey> servers;
    TimePoint at;
  };

  // Asks as many servers as come next, now or in its turn.
  void AskOrWait(TimePoint now, FlowSearch& search);
  void AskNextStep(TimePoint now, FlowSearch& search);
  void EndStep(TimePoint now, FlowSearch& search);
  // All servers were asked, and have answered or had the time for it.
  void End(TimePoint now, FlowSearch& search);
  void Erase(FlowSearch& search);
  // True if no server that was asked can still hold the flow.
  bool NobodyHolds(TimePoint now, const FlowSearch& search) const;
  void ContinueWaiting(TimePoint now);
  void ExpireDenials(TimePoint now);

  StoreView& view;
  ViewGossip& gossip;
  FlowSender& sender;
  MetricSet& metrics;
  SearchTable searches;
  SearchPace pace;
  std::deque<FlowKey> waiting;  // for their turn, the first come first
  std::unordered_map<FlowKey, Denial, FlowKeyHash> denials;
  TimePoint next_expiry;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_FLOW_SEARCHER_H_
