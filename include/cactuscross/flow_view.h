#ifndef CACTUSCROSS_FLOW_VIEW_H_
#define CACTUSCROSS_FLOW_VIEW_H_

// What a balancer believes of the world outside: routes and servers, and the
// calls that read them from the store.

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "cactuscross/types.h"

namespace cactuscross {

// Identifies a server: a hash of its name in the store.
enum class ServerKey : std::uint64_t {};
inline constexpr ServerKey kNoServer{0};

ServerKey MakeServerKey(std::string_view name);

enum class ServerPhase : std::uint8_t {
  kServing,
  kLeaving,  // keeps its flows, gets no new ones
};

// A backend server as it describes itself.
struct FlowServer {
  std::string name;
  ServiceId service = kNoService;
  std::uint32_t host = 0;  // IPv4 address of server and agent
  std::string zone;
  std::uint32_t slots = 1;  // requests that it runs at once
  ServerPhase phase = ServerPhase::kServing;
  Duration warmup_time{0};  // slow for so long after its start
  // Unix time of its start, ms; tells starts under one name apart. 0: unknown.
  std::uint64_t started_ms = 0;
};

// A share of the new flows of a route.
struct ServiceShare {
  ServiceId service = kNoService;
  std::uint32_t weight = 1;
};

struct FlowRoute {
  Endpoint service_address;
  std::vector<ServiceShare> services;
};

// All routes in force from one version on.
struct RouteSet {
  std::uint64_t version = 0;
  std::vector<FlowRoute> routes;
  Duration idle_timeout{0};  // idle flows may be forgotten after it; 0: unset
};

// A change of the list of servers.
struct ServerChange {
  std::uint64_t revision = 0;  // of the store
  std::string name;
  bool removed = false;
  FlowServer server;  // unless removed
};

// The two subjects that are read from the store.
enum class StoreSubject : std::uint8_t { kRoutes, kServers };

enum class StoreCallKind : std::uint8_t {
  kList,   // all there is, page by page
  kWatch,  // what changed after a revision
};

struct StoreCall {
  StoreSubject subject = StoreSubject::kRoutes;
  StoreCallKind kind = StoreCallKind::kList;
  std::string page_after;            // kList: last key of the page before
  std::uint64_t after_revision = 0;  // kWatch
  Duration wait{0};                  // kWatch: how long the store may wait
  Duration timeout{0};               // of the whole call
  std::uint32_t generation = 0;      // of the caller, stands in the answer
};

enum class StoreStatus : std::uint8_t {
  kOk,
  kHistoryLost,  // the watch must start again from a list
  kBusy,         // refused; nothing was done
  kFailed,       // no answer, or none in time
  kMalformed,    // an answer that cannot be read
};

struct StoreAnswer {
  StoreSubject subject = StoreSubject::kRoutes;
  StoreCallKind kind = StoreCallKind::kList;
  StoreStatus status = StoreStatus::kFailed;
  std::uint32_t generation = 0;  // of the call
  std::string detail;            // of a failure, for the log
  std::uint64_t revision = 0;    // of the store at the answer
  bool more = false;             // kList: another page follows
  std::string last_key;          // kList: of this page
  std::vector<ServerChange> servers;
  std::vector<RouteSet> routes;
  // Entries that could not be read, by name; they describe no server.
  std::vector<std::string> unreadable;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_FLOW_VIEW_H_
