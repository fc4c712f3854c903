#ifndef CACTUSCROSS_SRC_CORE_FLOW_SEARCH_SEARCH_TABLE_H_
#define CACTUSCROSS_SRC_CORE_FLOW_SEARCH_SEARCH_TABLE_H_

// Searches for the server that holds a flow. The flow's packet is sent to the
// candidate servers in the flow's rendezvous order, in batches, and the agents
// answer whether their server holds the flow.

#include <algorithm>
#include <vector>

#include "cactuscross/flow_types.h"
#include "cactuscross/flow_view.h"
#include "src/core/flow/common/flow_table.h"

namespace cactuscross {

struct FlowSearch {
  FlowKey flow;
  std::vector<ServerKey> candidates;  // servers that may hold the flow
  std::size_t queried = 0;            // number of `candidates` queried so far
  std::vector<ServerKey> answered;    // queried servers that do not hold it
  // The first one is the query; the others are forwarded to the server found.
  std::vector<Bytes> packets;
  std::uint32_t last_acknowledgement = 0;  // of the client
  TimePoint started_at;
  TimePoint sent_at;
  std::size_t last_batch_size = 0;  // servers queried at `sent_at`
  std::size_t outstanding = 0;      // of those, how many have not answered
  bool waiting = false;  // queued until the congestion window has capacity
  // The server that held the flow reported that it no longer holds it.
  bool holder_denied = false;

  bool HasAnswered(ServerKey server) const {
    return std::find(this->answered.begin(), this->answered.end(), server) !=
           this->answered.end();
  }
  bool AllAnswered() const { return this->answered.size() >= this->queried; }
  bool AllQueried() const { return this->queried == this->candidates.size(); }
};

// Each search buffers up to 8 packets (kMaxPackets) of up to 1,236 bytes: 40 MB
// if all are full, a few KB in normal operation.
inline constexpr std::size_t kMaxSearches = 4096;

using SearchTable = FlowTable<FlowSearch, kMaxSearches>;

// Buffers `packet` for the server that will be found, unless the buffer of the
// search is full.
void AddPacket(FlowSearch& search, ByteView packet);

// Records that `server` does not hold the flow. Returns false if it was not
// queried or its denial is already recorded.
bool NoteDenial(FlowSearch& search, ServerKey server);

// Removes servers that are known not to hold the flow from the candidates.
void RemoveDenied(FlowSearch& search, const std::vector<ServerKey>& servers);

// Number of servers in the next batch.
std::size_t NextBatchSize(const FlowSearch& search);

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_SEARCH_SEARCH_TABLE_H_
