#ifndef CACTUSCROSS_FLOW_MESSAGE_H_
#define CACTUSCROSS_FLOW_MESSAGE_H_

// Messages between balancers and agents about flows. Each is one datagram that
// may be lost or duplicated. Correctness doesn't depend on them: a client's
// retransmission starts the same exchange again.

#include <cstddef>
#include <cstdint>
#include <vector>

#include "cactuscross/flow_types.h"
#include "cactuscross/flow_view.h"
#include "cactuscross/types.h"

namespace cactuscross {

enum class NoticeKind : std::uint8_t {
  kLoad = 1,          // agent: load of its server
  kAccepted = 2,      // agent: the server accepted a new flow
  kRefused = 3,       // agent: the server refused a new flow or is down
  kHeld = 4,          // agent: the server holds the flow
  kNotHeld = 5,       // agent: the server does not hold the flow
  kWrongService = 6,  // agent: the packet's mark names another service
  kQuery = 7,         // balancer: requests kLoad
  kSaturated = 8,     // agent: the opening packet was not forwarded because
                      // the server has reached max_running
  kLookup = 9,        // balancer: requests kLookupReply
  kLookupReply = 10,  // agent: which of the flows in kLookup the server holds
  kRelay = 11,        // balancer: forward a packet to several agents
  kRelayReply = 12,   // agent: answers to the packet that it relayed
  kOffer = 13,        // agent: kLoad, and a place for one opening is reserved
                      // for the balancer for kOfferLifetime
};

enum class LookupResult : std::uint8_t {
  kUnknown = 0,  // only a packet of the flow can tell
  kHeld = 1,
  kNotHeld = 2,
};

struct FlowLookup {
  FlowKey flow;
  LookupResult result = LookupResult::kUnknown;  // unset in kLookup
};

// Number of flows in a kLookup that fits in one datagram.
inline constexpr std::size_t kMaxLookups = 90;

// Maximum number of agents that a kRelay names. With the largest packet it
// still fits in one datagram.
inline constexpr std::size_t kMaxRelayHosts = 30;

// Load of a server as reported by its agent.
struct ServerLoad {
  std::uint32_t running = 0;     // requests in progress or queued
  std::uint32_t open_flows = 0;  // flows that are open on the server
  bool down = false;             // the server is down or the agent is stopping
  // Requests per second that the server completes when all its slots are busy,
  // as measured by its agent; 0: not measured yet.
  double capacity = 0;
  bool evacuated =
      false;  // the agent refuses new flows by order of the operator
  // The agent started after its server and does not know all flows that the
  // server holds: it answers kUnknown to lookups of the others.
  bool lookup_needs_packet = false;
  // The agent is stopping and its server no longer runs, so that no flow is
  // held on this host.
  bool ended = false;
};

// What a balancer tells an agent about its server, as far as it knows.
struct AgentOrders {
  bool evacuated = false;                 // state of the server's zone
  StorePosition evacuation_position;      // of the order; revision 0: no order
  double warmup_openings_per_second = 0;  // 0: no limit
  Duration warmup_remaining{0};
  std::uint32_t slots = 0;  // 0: unknown
};

// Openings of a balancer that wait for a place at a service.
struct WaitingOpenings {
  std::uint32_t count = 0;
  // Of the one that is placed next; the lowest rank is the most urgent.
  std::uint32_t rank = 0;
};

// Time for which a place that was offered stays reserved: a round trip between
// availability zones and the scheduling delay of a small host.
inline constexpr Duration kOfferLifetime{10000};

struct FlowNotice {
  NoticeKind kind = NoticeKind::kLoad;
  std::uint32_t sender = 0;  // IPv4 source address of the datagram
  std::uint32_t service_tag = 0;
  FlowKey flow;  // unset in kLoad and kQuery
  // Number of requests in progress at which the server gets no new flows. In
  // notices of agents the one in force, as far as the agent knows; else 0.
  std::uint32_t max_running = 0;
  AgentOrders orders;       // kQuery
  WaitingOpenings waiting;  // kQuery; count 0: no offers are wanted
  // kLookup, kLookupReply: up to kMaxLookups. kRelayReply: one, the answer of
  // the agents on `relay_hosts`.
  std::vector<FlowLookup> lookups;
  ServerLoad load;  // unset in kQuery and kLookup
  // kRelay, kRelayReply: IPv4 addresses of agents; up to kMaxRelayHosts.
  std::vector<std::uint32_t> relay_hosts;
  // kRelay: the relaying agent collects the answers for a kRelayReply. An agent
  // of the previous version ignores this, and each agent answers the balancer.
  bool collect_answers = false;
  // kRelay: the packet to forward. kNotHeld, kWrongService: the rejected
  // packet, so that the balancer can send it elsewhere, and its acknowledgement
  // number. Both are unset in kNotHeld in reply to a search, whose packets the
  // balancer has buffered.
  Bytes packet;
  std::uint32_t acknowledgement = 0;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_FLOW_MESSAGE_H_
