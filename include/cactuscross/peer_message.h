#ifndef CACTUSCROSS_PEER_MESSAGE_H_
#define CACTUSCROSS_PEER_MESSAGE_H_

// Messages between processes of the system. src/wire/ converts them from and
// to protobuf.

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cactuscross/coap_message.h"
#include "cactuscross/result_code.h"
#include "cactuscross/types.h"

namespace cactuscross {

// Load of the server behind an agent, as counted by that agent.
struct LoadReport {
  std::uint32_t in_flight = 0;    // requests running at the server
  std::uint32_t queued = 0;       // requests waiting for a slot
  std::uint32_t slots = 0;        // requests the server may run concurrently
  std::uint32_t sessions = 0;     // open sessions
  std::uint32_t connections = 0;  // maximum number of open sessions
  std::uint32_t service_time_us = 0;  // smoothed service time of one request
  // False while the agent is leaving or not ready, or its server is not
  // verified.
  bool accepts_work = false;
  // True if the agent's share of the limit admits one more request.
  bool has_capacity = false;
};

// A candidate agent for a request, with its load at the time the request
// visited it.
struct SamplingCandidate {
  NodeId node = kNoNode;
  LoadReport load;
};

// Why a request was forwarded to the agent that receives it.
enum class ForwardKind : std::uint8_t {
  kRouted,    // chosen by a balancer
  kSampling,  // visits agents to find a session's owner or sample loads
  kPlaced,    // sampling ended: the receiver serves the request
  kRetry,     // a safe request that another agent failed to finish
};

// A caller's message on its way to an agent.
struct ForwardedRequest {
  Endpoint caller;
  Endpoint service_address;
  ServiceId service = kNoService;
  ContractVersion contract_version = 0;
  std::uint64_t contract_fingerprint = 0;  // of the contract used for routing
  PeerAddress balancer;  // received the message and returns the answer
  ForwardKind kind = ForwardKind::kRouted;
  std::uint8_t hops = 0;
  Duration budget{0};  // time left until the deadline; 0: not started
  // Agents that may own the session or serve the request, in the order in which
  // they are visited. The balancer chooses them; each visited agent fills in
  // its load.
  std::vector<SamplingCandidate> candidates;
  CoapMessage message;
};

// An agent's message on its way to a caller.
struct ForwardedReply {
  Endpoint caller;
  Endpoint service_address;
  ServiceId service = kNoService;
  LoadReport load;
  CoapMessage message;
};

// Notifies the sender of a request that it reached the wrong agent or that its
// contract differs. The receiver of this message pulls the contract.
struct ContractMismatch {
  std::string customer;
  ServiceId service = kNoService;
  ContractVersion version = 0;  // in force at the sender of this message
  ResultCode reason = ResultCode::kOk;
};

// Offers an open session of a leaving agent to another agent.
struct SessionOffer {
  Endpoint caller;
  Endpoint service_address;
  ServiceId service = kNoService;
  Bytes token;
  std::string uri_path;
  std::string uri_query;
  std::uint32_t epoch = 0;             // rises with each handover
  std::uint32_t observe_sequence = 0;  // last value used, 24 bits
  std::uint16_t next_message_id = 0;
  Bytes etag;  // of the last state sent to the observer
};

// Answers an offer. If the offering agent sends it with `accepted` false, it
// withdraws all offers of a lower epoch from an agent that did not answer.
struct SessionOfferReply {
  Endpoint caller;
  Bytes token;
  std::uint32_t epoch = 0;
  bool accepted = false;
};

// Requests a loan of a part of another agent's share of a limit. Both agents
// belong to the same service.
struct LoanRequest {
  ServiceId service = kNoService;
  std::uint8_t limit = 0;  // index into the table of shared limits
  std::uint32_t amount = 0;
  std::uint64_t sequence = 0;
};

// Answers a LoanRequest.
struct LoanGrant {
  ServiceId service = kNoService;
  std::uint8_t limit = 0;
  std::uint32_t amount = 0;    // 0: refused, no capacity to lend
  std::uint64_t sequence = 0;  // copied from the request
  Duration lifetime{0};        // starts when the borrower sends its request
};

// The load of an agent as a message of its own. Decoded and encoded, but
// neither sent nor evaluated by agents and balancers.
struct LoadNotice {
  ServiceId service = kNoService;
  LoadReport load;
};

// The version of one contract in a digest.
struct ContractDigestEntry {
  std::string customer;
  ContractVersion version = 0;
};

// Summary of the contracts in the sender's store. `hash` covers all contracts,
// so that processes with equal stores exchange no entries.
struct ContractDigest {
  std::uint64_t sequence = 0;  // chosen by the requester, echoed in the reply
  std::uint64_t hash = 0;
  std::uint32_t count = 0;
  ContractVersion highest = 0;
  std::vector<ContractDigestEntry> entries;  // empty in the short form
  // If set, `entries` holds every contract with a version above `since` and up
  // to `until` (0: no upper bound). If not set, `entries` is a selection,
  // such as the contracts that just changed.
  std::optional<ContractVersion> since;
  ContractVersion until = 0;
  // Time since the configuration service last answered any process known to the
  // sender, directly or through digests. Not set: it never answered.
  std::optional<Duration> service_age;
  bool reply_requested = false;
};

// Requests the contracts of these customers.
struct ContractPull {
  std::vector<std::string> customers;
};

// One contract value, whole.
struct ContractValue {
  std::string customer;
  ContractVersion version = 0;
  bool deleted = false;
  std::string text;  // YAML, empty if deleted
};

// Carries contracts, in answer to a pull or to an agent's digest.
struct ContractPush {
  std::vector<ContractValue> values;
};

// State of a process as recorded by another process.
enum class MemberState : std::uint8_t { kAlive, kSuspect, kLeaving, kDead };

// The state of one process, as gossiped in probes and their replies.
struct MemberUpdate {
  PeerAddress peer;
  Incarnation incarnation{0};
  MemberState state = MemberState::kAlive;
};

// Checks that the receiver is alive and carries membership updates. Sequence 0
// requests no reply.
struct Probe {
  std::uint64_t sequence = 0;
  bool new_path = false;  // sent from a new source port
  std::vector<MemberUpdate> updates;
};

struct ProbeReply {
  std::uint64_t sequence = 0;
  bool new_path = false;           // copied from the probe
  std::optional<LoadReport> load;  // set by agents only
  std::vector<MemberUpdate> updates;
};

// Requests that a third process probes `target`.
struct IndirectProbe {
  std::uint64_t sequence = 0;
  PeerAddress target;
};

struct IndirectProbeReply {
  std::uint64_t sequence = 0;
  NodeId target = kNoNode;
  bool alive = false;
};

using PeerMessage = std::variant<ForwardedRequest,
                                 ForwardedReply,
                                 ContractMismatch,
                                 SessionOffer,
                                 SessionOfferReply,
                                 LoanRequest,
                                 LoanGrant,
                                 LoadNotice,
                                 ContractDigest,
                                 ContractPull,
                                 ContractPush,
                                 Probe,
                                 ProbeReply,
                                 IndirectProbe,
                                 IndirectProbeReply>;

// A message with its sender and receiver. The shell sends ContractDigest,
// ContractPull and ContractPush over ZeroMQ and all others over UDP.
struct PeerEnvelope {
  PeerAddress from;
  Incarnation from_incarnation{0};
  PeerAddress to;
  PeerMessage body;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_PEER_MESSAGE_H_
