#ifndef CACTUSCROSS_SRC_CORE_FLOW_SEARCH_TABLE_H_
#define CACTUSCROSS_SRC_CORE_FLOW_SEARCH_TABLE_H_

// Searches for the server that holds a flow: the flow's packets go to servers
// in the flow's order, a few at a time; agents say whether theirs holds it.

#include <algorithm>
#include <vector>

#include "cactuscross/flow_types.h"
#include "cactuscross/flow_view.h"
#include "src/core/flow/flow_table.h"

namespace cactuscross {

struct FlowSearch {
  FlowKey flow;
  std::vector<ServerKey> candidates;  // all that may hold the flow
  std::size_t queried = 0;  // the first so many of `candidates` were asked
  std::vector<ServerKey> answered;         // of those: do not hold it
  std::vector<Bytes> packets;              // to be sent once it is found
  std::uint32_t last_acknowledgement = 0;  // of the client
  TimePoint started_at;
  TimePoint sent_at;
  std::size_t last_batch_size = 0;  // servers asked at `sent_at`
  std::size_t outstanding = 0;      // of those: have not answered
  bool waiting = false;             // for its turn to ask the next ones
  // The server that held the flow has said that it holds it no more.
  bool holder_denied = false;

  bool HasAnswered(ServerKey server) const {
    return std::find(this->answered.begin(), this->answered.end(), server) !=
           this->answered.end();
  }
  bool AllAnswered() const { return this->answered.size() >= this->queried; }
  bool AllQueried() const { return this->queried == this->candidates.size(); }
};

// Each search holds a few packets of 1,236 bytes at most: 40 MB if all are
// full, a few KB on an ordinary day.
inline constexpr std::size_t kMaxSearches = 4096;

using SearchTable = FlowTable<FlowSearch, kMaxSearches>;

// Keeps `packet` for the server that will be found, as far as there is room.
void AddPacket(FlowSearch& search, ByteView packet);

// Notes that `server` does not hold the flow. Returns false if it was not asked
// or has said so before.
bool NoteDenial(FlowSearch& search, ServerKey server);

// Takes servers that are known not to hold the flow out of the order.
void RemoveDenied(FlowSearch& search, const std::vector<ServerKey>& servers);

// How many servers are asked at once next.
std::size_t NextBatchSize(const FlowSearch& search);

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_SEARCH_TABLE_H_
