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

// How busy an agent's server is, as the agent itself counts it.
struct LoadReport {
  std::uint32_t in_flight = 0;        // requests at the server
  std::uint32_t queued = 0;           // requests that wait for a slot
  std::uint32_t slots = 0;            // requests that the server runs at once
  std::uint32_t sessions = 0;         // open sessions
  std::uint32_t connections = 0;      // open sessions that the server can hold
  std::uint32_t service_time_us = 0;  // smoothed time of one request
  bool accepts_work = false;          // false while leaving, cold or unverified
  bool has_capacity = false;  // for one more request in its share of the limit
};

// A candidate that a walk over agents has seen, with its load at that moment.
struct SamplingCandidate {
  NodeId node = kNoNode;
  LoadReport load;
};

// Why a request is at the agent that receives it.
enum class ForwardKind : std::uint8_t {
  kRouted,    // chosen by a balancer
  kSampling,  // looks for the owner of a session, gathers candidates
  kPlaced,    // the walk ended here: the receiver serves it
  kRetry,     // a safe request that another agent could not finish
};

// A caller's message on its way to an agent.
struct ForwardedRequest {
  Endpoint caller;
  Endpoint service_address;
  ServiceId service = kNoService;
  ContractVersion contract_version = 0;
  std::uint64_t contract_fingerprint = 0;  // of the contract that chose
  PeerAddress balancer;  // that received the message and returns the answer
  ForwardKind kind = ForwardKind::kRouted;
  std::uint8_t hops = 0;
  Duration budget{0};  // time left until the deadline; 0: not started
  // Agents that may own or serve it, in the order of the walk, as the balancer
  // chose them; an agent that was visited has filled in its load.
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

// Tells the sender of a request that it reached the wrong agent or that its
// contract differs; the receiver pulls the contract.
struct ContractMismatch {
  std::string customer;
  ServiceId service = kNoService;
  ContractVersion version = 0;  // in force at the sender of this message
  ResultCode reason = ResultCode::kOk;
};

// An open session on its way from a leaving agent to another one.
struct SessionOffer {
  Endpoint caller;
  Endpoint service_address;
  ServiceId service = kNoService;
  Bytes token;
  std::string uri_path;
  std::string uri_query;
  std::uint32_t epoch = 0;             // rises with each move
  std::uint32_t observe_sequence = 0;  // last one used, 24 bits
  std::uint16_t next_message_id = 0;
  Bytes etag;  // of the last notified state
};

// Answers an offer. Sent by the agent that offered, with `accepted` false, it
// withdraws all offers of a lower epoch from an agent that did not answer.
struct SessionOfferReply {
  Endpoint caller;
  Bytes token;
  std::uint32_t epoch = 0;
  bool accepted = false;
};

// Asks an agent of the same service to lend a part of its share of a limit.
struct LoanRequest {
  ServiceId service = kNoService;
  std::uint8_t limit = 0;  // index into the table of shared limits
  std::uint32_t amount = 0;
  std::uint64_t sequence = 0;
};

struct LoanGrant {
  ServiceId service = kNoService;
  std::uint8_t limit = 0;
  std::uint32_t amount = 0;  // 0: none to lend
  std::uint64_t sequence = 0;
  Duration lifetime{0};  // counted by the borrower from its request
};

struct LoadNotice {
  ServiceId service = kNoService;
  LoadReport load;
};

// A version of one contract, in a digest.
struct ContractDigestEntry {
  std::string customer;
  ContractVersion version = 0;
};

// Summary of the contracts that the sender has. `hash` covers all entries, so
// that equal stores exchange no entries.
struct ContractDigest {
  std::uint64_t sequence = 0;  // chosen by the asker, repeated in the reply
  std::uint64_t hash = 0;
  std::uint32_t count = 0;
  ContractVersion highest = 0;
  std::vector<ContractDigestEntry> entries;  // empty in the short form
  // Set: `entries` holds every contract with a version above `since` and up to
  // `until`. Not set: `entries` holds only what changed just now.
  std::optional<ContractVersion> since;
  ContractVersion until = 0;
  // Time since the configuration service answered the sender or someone that it
  // heard of; not set: never.
  std::optional<Duration> service_age;
  bool reply_requested = false;
};

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

struct ContractPush {
  std::vector<ContractValue> values;
};

// What one process has to say of another.
enum class MemberState : std::uint8_t { kAlive, kSuspect, kLeaving, kDead };

struct MemberUpdate {
  PeerAddress peer;
  Incarnation incarnation{0};
  MemberState state = MemberState::kAlive;
};

struct Probe {
  std::uint64_t sequence = 0;
  bool new_path = false;  // sent from a new source port
  std::vector<MemberUpdate> updates;
};

struct ProbeReply {
  std::uint64_t sequence = 0;
  bool new_path = false;
  std::optional<LoadReport> load;  // of an agent
  std::vector<MemberUpdate> updates;
};

// Asks a third process to probe `target`.
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

// A message with sender and receiver. The shell sends ContractDigest,
// ContractPull and ContractPush over ZeroMQ and all others over UDP.
struct PeerEnvelope {
  PeerAddress from;
  Incarnation from_incarnation{0};
  PeerAddress to;
  PeerMessage body;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_PEER_MESSAGE_H_
