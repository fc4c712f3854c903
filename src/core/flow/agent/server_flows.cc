#include "src/core/flow/agent/server_flows.h"

#include "src/core/flow/common/flow_sequence.h"

namespace cactuscross {
namespace {

// A server holds up to 2,000 connections; the rest is for flows that are
// closing.
constexpr std::size_t kMaxFlows = 8192;

// Idle timeouts by state. A client tries to open a flow for at most 1.4 s, an
// open flow lives for at most 60 s, and both ends retransmit their last packets
// for a few seconds.
constexpr Duration kRequestedTimeout{2000000};
constexpr Duration kOpenTimeout{60000000};
constexpr Duration kClosingTimeout{6000000};

bool IsNewer(std::uint32_t sequence, std::uint32_t than) {
  return static_cast<std::int32_t>(sequence - than) > 0;
}

// Last acknowledgement of the client, or the server's initial sequence number;
// nullopt if neither is known.
std::optional<std::uint32_t> ExpectedAcknowledgement(const ServerFlow& flow) {
  if (flow.acknowledgement != 0) {
    return flow.acknowledgement;
  }
  return flow.server_sequence_known ? std::optional(flow.server_sequence)
                                    : std::nullopt;
}

Duration IdleTimeout(ServerFlowState state) {
  switch (state) {
    case ServerFlowState::kRequested:
      return kRequestedTimeout;
    case ServerFlowState::kClosing:
      return kClosingTimeout;
    default:
      return kOpenTimeout;
  }
}

}  // namespace

ServerFlow* ServerFlows::Find(const FlowKey& key) {
  const auto found = this->flows.find(key);
  return found == this->flows.end() ? nullptr : &found->second;
}

ServerFlow& ServerFlows::Add(TimePoint now, const FlowKey& key) {
  if (this->flows.size() >= kMaxFlows) {
    this->evicted = true;
    const FlowKey oldest = this->lru.front().key;
    this->Erase(oldest);
  }
  ServerFlow& flow = this->flows[key];
  flow.key = key;
  flow.used_at = now;
  this->lru.push_back(flow);
  return flow;
}

void ServerFlows::Erase(const FlowKey& key) {
  const auto found = this->flows.find(key);
  if (found == this->flows.end()) {
    return;
  }
  ServerFlow& flow = found->second;
  this->EndRequest(this->now, flow, RequestEnd::kUnknown);
  this->SetState(flow, ServerFlowState::kClosing);
  this->lru.erase(LruList::s_iterator_to(flow));
  this->flows.erase(found);
}

void ServerFlows::Clear() {
  this->lru.clear();
  this->flows.clear();
  this->meter.Clear();
  this->running = 0;
  this->open = 0;
}

void ServerFlows::NoteFromClient(TimePoint now,
                                 ServerFlow& flow,
                                 const FlowPacket& packet) {
  this->Touch(now, flow);
  if (packet.opening) {
    flow.opening_sequence = packet.sequence;
    return;
  }
  if (packet.acknowledgement != 0) {
    flow.acknowledgement = packet.acknowledgement;
  }
  if (packet.closing || packet.reset) {
    this->SetState(flow, ServerFlowState::kClosing);
  } else if (flow.state != ServerFlowState::kClosing) {
    this->SetState(flow, ServerFlowState::kOpen);
  }
  if (packet.data_bytes > 0 &&
      IsNewer(packet.sequence + packet.data_bytes, flow.client_sequence)) {
    flow.client_sequence = packet.sequence + packet.data_bytes;
    this->BeginRequest(now, flow);
  }
  if (packet.reset) {
    this->EndRequest(now, flow, RequestEnd::kAbandoned);
  }
}

bool ServerFlows::NoteFromServer(TimePoint now,
                                 ServerFlow& flow,
                                 const FlowPacket& packet) {
  this->Touch(now, flow);
  if (packet.opening) {
    const bool accepts = flow.state == ServerFlowState::kRequested ||
                         flow.server_sequence != packet.sequence;
    if (accepts) {
      this->EndRequest(now, flow, RequestEnd::kUnknown);
      flow.earlier_acknowledgement = ExpectedAcknowledgement(flow);
      flow.learned = false;
      flow.ambiguous = false;
      this->SetState(flow, ServerFlowState::kAccepted);
      flow.server_data_known = false;
      flow.client_sequence = flow.opening_sequence;
      flow.acknowledgement = 0;
    }
    flow.server_sequence = packet.sequence;
    flow.server_sequence_known = true;
    return accepts;
  }
  if (packet.data_bytes > 0 && NoteServerData(flow, packet)) {
    this->EndRequest(now, flow, RequestEnd::kAnswered);
  } else if (packet.closing || packet.reset) {
    this->EndRequest(now, flow, RequestEnd::kUnknown);
  }
  if (packet.closing || packet.reset) {
    this->SetState(flow, ServerFlowState::kClosing);
  } else if (flow.state == ServerFlowState::kRequested) {
    this->SetState(flow, ServerFlowState::kOpen);
  }
  return false;
}

void ServerFlows::Expire(TimePoint now) {
  this->now = now;
  // The list is ordered by last use rather than by expiry, so a closing flow
  // may stay a little longer behind an open one.
  while (!this->lru.empty() && now - this->lru.front().used_at >
                                   IdleTimeout(this->lru.front().state)) {
    const FlowKey key = this->lru.front().key;
    this->Erase(key);
  }
}

std::vector<FlowReset> ServerFlows::ResetsOfOpenFlows() const {
  std::vector<FlowReset> resets;
  for (const auto& [key, flow] : this->flows) {
    // Flows that the client has not acknowledged may be open on another server.
    if (flow.state == ServerFlowState::kOpen) {
      resets.push_back({key, flow.acknowledgement});
    }
  }
  return resets;
}

void ServerFlows::Touch(TimePoint now, ServerFlow& flow) {
  this->now = now;
  flow.used_at = now;
  this->lru.erase(LruList::s_iterator_to(flow));
  this->lru.push_back(flow);
}

void ServerFlows::SetState(ServerFlow& flow, ServerFlowState state) {
  const bool was_open = flow.state == ServerFlowState::kOpen;
  const bool is_open = state == ServerFlowState::kOpen;
  flow.state = state;
  if (was_open != is_open) {
    this->open += is_open ? 1U : -1U;
  }
}

void ServerFlows::SetSlots(TimePoint now, std::uint32_t slots) {
  this->meter.SetSlots(now, slots);
}

void ServerFlows::BeginRequest(TimePoint now, ServerFlow& flow) {
  if (flow.running) {
    flow.request_started = this->meter.NoteMoreData(now, flow.request_started);
    return;
  }
  flow.running = true;
  ++this->running;
  flow.request_started = this->meter.NoteBegin(now);
}

void ServerFlows::EndRequest(TimePoint now, ServerFlow& flow, RequestEnd end) {
  if (!flow.running) {
    return;
  }
  flow.running = false;
  --this->running;
  this->meter.NoteEnd(now, flow.request_started, end);
}

// A retransmission of an earlier answer must not end the request that the
// client has sent meanwhile.
bool ServerFlows::NoteServerData(ServerFlow& flow, const FlowPacket& packet) {
  if (flow.server_data_known &&
      !IsNewer(packet.sequence, flow.server_data_sequence)) {
    return false;
  }
  flow.server_data_sequence = packet.sequence;
  flow.server_data_known = true;
  return true;
}

bool IsOpeningOf(const ServerFlow& flow, const FlowPacket& packet) {
  // The opening packet of a flow from before the agent's start is not known.
  return packet.sequence == flow.opening_sequence ||
         flow.client_sequence - packet.sequence < kSequenceWindow;
}

bool BelongsTo(const ServerFlow& flow, const FlowPacket& packet) {
  switch (flow.state) {
    case ServerFlowState::kRequested:
      return false;
    case ServerFlowState::kAccepted:
      return packet.acknowledgement - flow.server_sequence < kSequenceWindow;
    default:
      return AcknowledgesServer(flow, packet);
  }
}

bool AcknowledgesServer(const ServerFlow& flow, const FlowPacket& packet) {
  // Reordered packets have lower acknowledgements.
  return packet.acknowledgement == 0 ||
         IsOfSameFlow(ExpectedAcknowledgement(flow), packet.acknowledgement);
}

bool IsOfEarlierFlow(const ServerFlow& flow, const FlowPacket& packet) {
  return !AcknowledgesServer(flow, packet) && flow.earlier_acknowledgement &&
         IsOfSameFlow(flow.earlier_acknowledgement, packet.acknowledgement);
}

}  // namespace cactuscross
