#ifndef CACTUSCROSS_FLOW_VIEW_H_
#define CACTUSCROSS_FLOW_VIEW_H_

// A balancer's view of the system, which consists of routes and servers, and
// the calls that read both from the store.

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cactuscross/types.h"

namespace cactuscross {

// Identifies a server by a hash of its name in the store.
enum class ServerKey : std::uint64_t {};
inline constexpr ServerKey kNoServer{0};

ServerKey MakeServerKey(std::string_view name);

enum class ServerPhase : std::uint8_t {
  kServing,
  kLeaving,  // draining: keeps its flows, gets no new ones
};

// Position in the history of the store. The store begins a new era when it
// comes back from an older copy of its data; it then assigns revisions again
// that it has assigned before.
struct StorePosition {
  std::uint64_t era = 0;  // 0: unknown, before any other
  std::uint64_t revision = 0;
};

inline bool operator==(const StorePosition& a, const StorePosition& b) {
  return a.era == b.era && a.revision == b.revision;
}
inline bool operator!=(const StorePosition& a, const StorePosition& b) {
  return !(a == b);
}
inline bool operator<(const StorePosition& a, const StorePosition& b) {
  return a.era != b.era ? a.era < b.era : a.revision < b.revision;
}
inline bool operator>(const StorePosition& a, const StorePosition& b) {
  return b < a;
}
inline bool operator<=(const StorePosition& a, const StorePosition& b) {
  return !(b < a);
}
inline bool operator>=(const StorePosition& a, const StorePosition& b) {
  return !(a < b);
}

// A backend server as its entry in the store describes it.
struct FlowServer {
  std::string name;
  ServiceId service = kNoService;
  std::uint32_t host = 0;   // IPv4 address of server and agent
  std::string zone;         // availability zone
  std::uint32_t slots = 1;  // requests that it runs at once
  ServerPhase phase = ServerPhase::kServing;
  Duration warmup_time{0};  // remaining time until it runs at full speed
  // Unix time of its start in ms; 0: unknown. Distinguishes incarnations of a
  // server under the same name.
  std::uint64_t started_ms = 0;
  // Number of this status report since the server's start; 0: unknown.
  std::uint64_t report_number = 0;
};

// A service of a route and its share of the route's new flows.
struct ServiceShare {
  ServiceId service = kNoService;
  std::uint32_t weight = 1;
};

// A service that a route named in an earlier version. Its servers may still
// hold open flows of the route.
struct FormerService {
  ServiceId service = kNoService;
  Duration age{0};  // time since the route last named it
};

struct FlowRoute {
  Endpoint service_address;
  std::vector<ServiceShare> services;
  // Time that clients give a request, with all its attempts; 0: unknown.
  Duration time_limit{0};
  Duration latency_target{0};  // 0: unknown
  std::uint32_t priority = 0;  // 0 is the highest
  bool idempotent = false;     // requests may run more than once
  // Set by the view and by peers, never by the store.
  std::vector<FormerService> former_services;
  // Set only in RouteChanges: the route no longer exists.
  bool removed = false;
};

// True if new flows of `route` may go to servers of `service`.
bool NamesService(const FlowRoute& route, ServiceId service);

// Limit of the openings that a server of the service gets while it warms up.
struct WarmupLimit {
  ServiceId service = kNoService;
  double openings_per_second = 0;
  Duration warmup_time{0};  // after the start of a server
};

// One version of the complete set of routes.
struct RouteSet {
  std::uint64_t version = 0;
  std::vector<FlowRoute> routes;
  std::vector<WarmupLimit>
      warmup_limits;         // services without a limit are absent
  Duration idle_timeout{0};  // idle flows may be dropped after it; 0: unset
};

// What a peer knows of the routes that changed after a version.
struct RouteChanges {
  std::uint64_t after = 0;    // they apply to this version only
  std::uint64_t version = 0;  // that they lead to; may be equal to `after`
  std::vector<FlowRoute> routes;
  std::vector<WarmupLimit> warmup_limits;  // all, not only changed ones
  // If set, `routes` include all routes with former services, of which the
  // peer has known all changes for this time.
  std::optional<Duration> former_known_for;
};

// An order of the operator for an availability zone: while it is evacuated, its
// servers get no new flows.
struct ZoneOrder {
  std::string zone;
  bool evacuated = false;  // false: the order was withdrawn
  StorePosition position;  // of the change; without era in a StoreAnswer
};

// A change of the list of servers.
struct ServerChange {
  StorePosition position;  // of the change; without era in a StoreAnswer
  std::string name;
  bool removed = false;
  FlowServer server;  // set by the store unless removed, by peers always
};

// What is read from the store.
enum class StoreSubject : std::uint8_t { kRoutes, kServers };

enum class StoreCallKind : std::uint8_t {
  kList,   // all entries, page by page
  kWatch,  // changes after a revision
};

struct StoreCall {
  StoreSubject subject = StoreSubject::kRoutes;
  StoreCallKind kind = StoreCallKind::kList;
  std::string page_after;            // kList: last key of the previous page
  std::uint64_t after_revision = 0;  // kWatch
  Duration wait{0};                  // kWatch: maximum long-poll time
  Duration timeout{0};               // of the whole call
  std::uint32_t generation = 0;      // of the caller, repeated in the answer
};

enum class StoreStatus : std::uint8_t {
  kOk,
  kHistoryLost,  // the revision is compacted: the caller must list again
  kBusy,         // rejected by the store without effect
  kFailed,       // connection failure or timeout
  kMalformed,    // the answer can't be decoded
};

struct StoreAnswer {
  StoreSubject subject = StoreSubject::kRoutes;
  StoreCallKind kind = StoreCallKind::kList;
  StoreStatus status = StoreStatus::kFailed;
  std::uint32_t generation = 0;  // of the call
  std::string detail;            // of a failure, for the log
  // Of the store at the time of the answer, also in answers that report a
  // failure; nullopt if no answer arrived, or one without a valid era.
  std::optional<std::uint64_t> era;
  bool era_malformed = false;
  std::uint64_t revision = 0;  // of the store at the time of the answer
  bool more = false;           // kList: another page follows
  std::string last_key;        // kList: last key of this page
  std::vector<ServerChange> servers;
  std::vector<RouteSet> routes;
  std::vector<ZoneOrder> zone_orders;
  // Names of entries that could not be decoded.
  std::vector<std::string> unreadable;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_FLOW_VIEW_H_
