#ifndef CACTUSCROSS_SRC_CORE_FLOW_SERVER_FLOWS_H_
#define CACTUSCROSS_SRC_CORE_FLOW_SERVER_FLOWS_H_

// The flows of an agent's server, as seen from the packets that pass.

#include <cstdint>
#include <unordered_map>
#include <vector>

#include <boost/intrusive/list.hpp>

#include "cactuscross/flow_types.h"

namespace cactuscross {

enum class ServerFlowState : std::uint8_t {
  kRequested,  // the opening was sent to the server
  kAccepted,   // the server granted it; the client has not confirmed
  kOpen,
  kClosing,  // one end has sent its last byte
};

struct ServerFlow : boost::intrusive::list_base_hook<> {
  FlowKey key;
  ServerFlowState state = ServerFlowState::kRequested;
  std::uint32_t balancer = 0;         // IPv4 address, sent the opening
  std::uint32_t server_sequence = 0;  // of the grant
  std::uint32_t client_sequence = 0;  // newest request byte seen
  std::uint32_t acknowledgement = 0;  // last one of the client
  bool running = false;               // a request waits for its answer
  TimePoint used_at;
};

class ServerFlows {
 public:
  ServerFlow* Find(const FlowKey& key);
  ServerFlow& Add(TimePoint now, const FlowKey& key);
  void Erase(const FlowKey& key);
  void Clear();

  // Notes a packet of the client on its way to the server.
  void NoteFromClient(TimePoint now,
                      ServerFlow& flow,
                      const FlowPacket& packet);
  // Notes a packet of the server.
  void NoteFromServer(TimePoint now,
                      ServerFlow& flow,
                      const FlowPacket& packet);

  void Expire(TimePoint now);

  std::vector<FlowReset> ResetsOfOpenFlows() const;
  std::uint32_t Running() const { return this->running; }
  std::uint32_t Open() const { return this->open; }
  std::size_t Size() const { return this->flows.size(); }
  // True if an open flow had to be forgotten for lack of room.
  bool HasEvicted() const { return this->evicted; }

 private:
  using LruList = boost::intrusive::list<ServerFlow>;

  void Touch(TimePoint now, ServerFlow& flow);
  void SetState(ServerFlow& flow, ServerFlowState state);
  void SetRunning(ServerFlow& flow, bool running);

  std::unordered_map<FlowKey, ServerFlow, FlowKeyHash> flows;
  LruList lru;  // by last use, oldest first
  std::uint32_t running = 0;
  std::uint32_t open = 0;
  bool evicted = false;
};

// True if `packet` of a client can belong to `flow`: another server may have
// granted the same opening, and the client confirms one of the grants.
bool BelongsTo(const ServerFlow& flow, const FlowPacket& packet);

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_SERVER_FLOWS_H_
