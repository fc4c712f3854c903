#ifndef CACTUSCROSS_SRC_CORE_FLOW_SEARCH_SEARCH_TABLE_H_
#define CACTUSCROSS_SRC_CORE_FLOW_SEARCH_SEARCH_TABLE_H_

// Searches for the server that holds a flow. The agents of the candidate
// servers are queried in the flow's rendezvous order, in batches, by the flow's
// key or by its packet, and answer whether their server holds the flow.

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

#include "cactuscross/flow_types.h"
#include "cactuscross/flow_view.h"
#include "src/core/flow/common/flow_table.h"

namespace cactuscross {

struct FlowSearch {
  FlowKey flow;
  std::uint64_t number = 0;  // distinguishes searches for the same flow
  std::vector<ServerKey> candidates;  // servers that may hold the flow
  std::size_t queried = 0;            // number of `candidates` queried so far
  std::vector<ServerKey> answered;    // queried servers that do not hold it
  // Servers that denied it in earlier rounds of this search.
  std::vector<ServerKey> denied;
  // Of the queried servers: those whose lookup is queued or in flight, those
  // to which the packet is to be sent next, and those to which it was sent.
  std::vector<ServerKey> lookups;
  std::vector<ServerKey> by_packet;
  std::vector<ServerKey> packet_servers;
  // The first one is the query by packet. All are forwarded to the server
  // found, unless it got the first one as a query.
  std::vector<Bytes> packets;
  // Last ones of the client; the sequence number is nullopt if unknown.
  std::optional<std::uint32_t> sequence;
  std::uint32_t last_acknowledgement = 0;
  TimePoint started_at;
  // Estimated start of the client's request.
  TimePoint request_started_at;
  TimePoint sent_at;
  std::size_t last_batch_size = 0;  // servers queried by packet at `sent_at`
  std::size_t outstanding = 0;      // of those, how many have not answered
  std::size_t query_bytes = 0;      // bytes sent for each of them
  // Start of the next round, if this one ended without a result.
  std::optional<TimePoint> next_round_at;
  std::uint32_t unanswered_rounds = 0;
  // For answers to lookups, or until the congestion window has capacity for the
  // packets.
  bool waiting = false;
  // The server that held the flow reported that it no longer holds it.
  bool holder_denied = false;

  bool HasAnswered(ServerKey server) const {
    return std::find(this->answered.begin(), this->answered.end(), server) !=
           this->answered.end();
  }
  bool AwaitsLookup(ServerKey server) const {
    return std::find(this->lookups.begin(), this->lookups.end(), server) !=
           this->lookups.end();
  }
  bool WasSentPacket(ServerKey server) const {
    return std::find(this->packet_servers.begin(), this->packet_servers.end(),
                     server) != this->packet_servers.end();
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

// Removes `server` from those whose lookup is queued or in flight. Returns
// false if it was not among them.
bool RemoveLookup(FlowSearch& search, ServerKey server);

// Number of servers in the next batch. `batched_lookup`: flows are looked up by
// key, so that a batch may include all servers. `losses_prevail`: most of the
// flows that were searched for recently are lost, so that all servers have to
// be asked anyway.
std::size_t NextBatchSize(const FlowSearch& search,
                          bool batched_lookup,
                          bool losses_prevail);

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_SEARCH_SEARCH_TABLE_H_
