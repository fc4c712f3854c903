#ifndef CACTUSCROSS_FLOW_EVENT_H_
#define CACTUSCROSS_FLOW_EVENT_H_

// Events of the flow path for logs and counters.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "cactuscross/flow_types.h"

namespace cactuscross {

enum class FlowEventKind : std::uint8_t {
  kPlaced,              // a new flow was assigned to a server
  kReassigned,          // a new flow was assigned to another server after the
                        // previous one refused it or did not answer
  kAccepted,            // a server accepted a new flow
  kWaiting,             // all servers are saturated, the new flow waits
  kRefused,             // a new flow was refused, by one server (logged by its
                        // agent) or by all servers (logged by a balancer)
  kNoRoute,             // no route for the service address, client was reset
  kSearching,           // a search for the server that holds a flow began
  kFound,               // a search found the server
  kLost,                // no server holds the flow, the client was reset
  kSearchInconclusive,  // a search could not rule out that a server holds the
                        // flow; a retransmission of the client starts another
  kReturnedByServer,    // a server returned a packet of a flow it held
  kServerDown,          // an agent's server does not answer
  kServerUp,            // an agent's server answers again
  kServerSuspected,     // an agent left several opening packets unanswered
  kServerSuspicionCleared,  // a suspected server's agent sent a notice
  kServerListed,            // a server appeared in the store's list
  kServerChanged,           // the entry of a listed server changed
  kServerUnlisted,          // a server disappeared from the store's list
  kEntryUnreadable,         // an entry of the store can't be decoded
  kRoutesInForce,           // a newer version of the routes was applied
  kStoreUnreachable,        // reads of the store fail
  kStoreReachable,          // reads of the store succeed again
  kStoreRestored,           // the store came back from an older copy
  kStoreEraUnknown,         // answers of the store no longer name the era
  kReady,                   // the process became ready for traffic
  kNotReady,                // the process stopped being ready for traffic
  kStopping,                // the process was requested to stop
  kZoneEvacuated,           // servers of a zone get no more new flows
  kZoneReturned,            // the order to evacuate a zone was withdrawn
  kAdmissionChanged,        // openings that wait are ordered by another policy
  kServerEnded,             // an agent that stops has found that its server no
                            // longer runs
};

inline constexpr std::size_t kFlowEventKinds = 31;

std::string_view NameOf(FlowEventKind kind);

// One event with the inputs of the decision. Unset fields are not logged.
struct FlowEvent {
  FlowEventKind kind = FlowEventKind::kPlaced;
  std::optional<FlowKey> flow;
  std::string server;       // name of the server or of the store's entry
  std::string zone;         // availability zone of an order
  std::string_view reason;  // short, in lower_case
  std::string detail;
  std::optional<std::uint64_t> version;  // of the routes, store revision or era
  std::optional<std::uint32_t> running;  // requests in progress on the server
  std::optional<std::uint32_t> count;    // of what the event is about: servers
                                         // tried, flows, routes, failures
  std::optional<Duration> age;           // of the input, or time elapsed
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_FLOW_EVENT_H_
