#ifndef CACTUSCROSS_FLOW_EVENT_H_
#define CACTUSCROSS_FLOW_EVENT_H_

// Decisions of the flow path, for logs and counters.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "cactuscross/flow_types.h"

namespace cactuscross {

enum class FlowEventKind : std::uint8_t {
  kPlaced,      // a new flow was given to a server
  kReassigned,  // ... to another one, since the first refused or is silent
  kAccepted,    // the server granted the opening
  kWaiting,     // all servers are saturated; the client waits
  kRefused,     // no server takes the flow; the client was reset
  kNoRoute,     // no service at the address
  kSearching,   // who holds the flow?
  kFound,       // the server that holds the flow
  kLost,        // nobody holds the flow; the client was reset
  kSearchInconclusive,  // not all servers answered; the client may try again
  kReturnedByServer,    // the flow's own server returned its packet
  kServerDown,          // an agent's server does not answer
  kServerUp,            // ... answers again
  kServerSuspected,     // an agent leaves openings unanswered
  kServerSuspicionCleared,  // ... answers again
  kServerListed,            // the store lists a server
  kServerChanged,           // a listed server describes itself anew
  kServerUnlisted,          // the store no longer lists a server
  kEntryUnreadable,         // an entry of the store describes no server
  kRoutesInForce,           // a newer version of the routes
  kStoreUnreachable,        // reads of the store fail
  kStoreReachable,          // ... succeed again
  kReady,                   // takes traffic
  kNotReady,                // does not
  kStopping,                // a stop was asked for
};

inline constexpr std::size_t kFlowEventKinds = 25;

std::string_view NameOf(FlowEventKind kind);

// One decision with the inputs that led to it; unset inputs are left out.
struct FlowEvent {
  FlowEventKind kind = FlowEventKind::kPlaced;
  std::optional<FlowKey> flow;
  std::string server;       // name of the server, or of an entry
  std::string_view reason;  // short, lower_case
  std::string detail;
  std::optional<std::uint64_t> version;  // of the routes or of the store
  std::optional<std::uint32_t> running;  // load that was compared
  std::optional<std::uint32_t> count;    // servers that were asked
  std::optional<Duration> age;           // of the input, or time it took
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_FLOW_EVENT_H_
