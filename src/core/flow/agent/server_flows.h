#ifndef CACTUSCROSS_SRC_CORE_FLOW_AGENT_SERVER_FLOWS_H_
#define CACTUSCROSS_SRC_CORE_FLOW_AGENT_SERVER_FLOWS_H_

// Flows of an agent's server, tracked from the packets that the agent forwards.

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include <boost/intrusive/list.hpp>

#include "cactuscross/flow_types.h"
#include "src/core/flow/agent/capacity_meter.h"

namespace cactuscross {

enum class ServerFlowState : std::uint8_t {
  kRequested,  // the opening packet (SYN) was sent to the server
  kAccepted,   // the server accepted it (SYN-ACK); not yet acknowledged
  kOpen,
  kClosing,  // one end has closed or reset the flow
};

struct ServerFlow : boost::intrusive::list_base_hook<> {
  FlowKey key;
  ServerFlowState state = ServerFlowState::kRequested;
  std::uint32_t balancer = 0;  // IPv4 address; sender of the opening packet
  // Initial sequence number of the server, from its SYN-ACK.
  std::uint32_t server_sequence = 0;
  bool server_sequence_known = false;
  // Initial sequence number of the client, from its latest SYN.
  std::uint32_t opening_sequence = 0;
  // Sequence number that follows the newest data of the client.
  std::uint32_t client_sequence = 0;
  std::uint32_t acknowledgement = 0;       // last one received from the client
  std::uint32_t server_data_sequence = 0;  // of the server's newest data packet
  bool server_data_known = false;          // `server_data_sequence` is set
  // Expected acknowledgement in the flow that the server held before on the
  // same key; nullopt if there was none.
  std::optional<std::uint32_t> earlier_acknowledgement;
  // The agent has not seen the flow's opening, so that its numbers are those of
  // some packet of the server.
  bool learned = false;
  // A packet of another flow with the same key has arrived, so that the key
  // alone does not tell whether the server holds a flow.
  bool ambiguous = false;
  bool running = false;        // a request is in progress
  double request_started = 0;  // its start in terms of CapacityMeter
  TimePoint used_at;
};

class ServerFlows {
 public:
  ServerFlow* Find(const FlowKey& key);
  ServerFlow& Add(TimePoint now, const FlowKey& key);
  void Erase(const FlowKey& key);
  void Clear();

  // Updates `flow` from a packet of the client to the server.
  void NoteFromClient(TimePoint now,
                      ServerFlow& flow,
                      const FlowPacket& packet);
  // Updates `flow` from a packet of the server to the client. Returns true if
  // the server accepts a flow with it: the one requested, or another one of the
  // client's port after the earlier one.
  bool NoteFromServer(TimePoint now,
                      ServerFlow& flow,
                      const FlowPacket& packet);

  void Expire(TimePoint now);

  // Number of requests that the server runs at once.
  void SetSlots(TimePoint now, std::uint32_t slots);
  // Requests per second that the server completes when all its slots are busy;
  // 0: not measured yet.
  double Capacity() const { return this->meter.Capacity(); }

  std::vector<FlowReset> ResetsOfOpenFlows() const;
  std::uint32_t Running() const { return this->running; }
  std::uint32_t Open() const { return this->open; }
  std::size_t Size() const { return this->flows.size(); }
  // True if a flow was ever evicted because the table was full.
  bool HasEvicted() const { return this->evicted; }

 private:
  using LruList = boost::intrusive::list<ServerFlow>;

  void Touch(TimePoint now, ServerFlow& flow);
  void SetState(ServerFlow& flow, ServerFlowState state);
  void BeginRequest(TimePoint now, ServerFlow& flow);
  void EndRequest(TimePoint now, ServerFlow& flow, RequestEnd end);
  // Returns whether the server has not sent the data of `packet` before.
  static bool NoteServerData(ServerFlow& flow, const FlowPacket& packet);

  std::unordered_map<FlowKey, ServerFlow, FlowKeyHash> flows;
  CapacityMeter meter;
  TimePoint now;  // of the last packet or Expire()
  LruList lru;    // by last use, least recently used first
  std::uint32_t running = 0;
  std::uint32_t open = 0;
  bool evicted = false;
};

// True if `packet`, which opens a flow, is a transmission of the one that
// opened `flow`. Otherwise the client opens a new flow on the port.
bool IsOpeningOf(const ServerFlow& flow, const FlowPacket& packet);

// True if `packet` of a client can belong to `flow`. Another server may have
// accepted the same opening; the client then acknowledges only one of the two.
// Or another server holds a flow that the client opened on the same port later.
bool BelongsTo(const ServerFlow& flow, const FlowPacket& packet);

// True if `packet` of a client acknowledges what the server can have sent in
// `flow`, or acknowledges nothing.
bool AcknowledgesServer(const ServerFlow& flow, const FlowPacket& packet);

// True if `packet` of a client belongs to the flow that the server held before
// `flow`. Such packets arrive late; the server rejects them by their sequence
// numbers.
bool IsOfEarlierFlow(const ServerFlow& flow, const FlowPacket& packet);

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_AGENT_SERVER_FLOWS_H_
