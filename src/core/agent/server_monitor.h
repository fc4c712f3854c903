#ifndef CACTUSCROSS_SRC_CORE_AGENT_SERVER_MONITOR_H_
#define CACTUSCROSS_SRC_CORE_AGENT_SERVER_MONITOR_H_

// An agent's view of the state of its local backend server. It relies mostly on
// the agent's own calls, since the health endpoint can be outdated or wrong.

#include <cstdint>
#include <string>

#include <nlohmann/json.hpp>

#include "cactuscross/server_message.h"
#include "cactuscross/types.h"

namespace cactuscross {

class ServerMonitor {
 public:
  // `service` is the full name that the server must confirm before anything is
  // delivered to it.
  explicit ServerMonitor(std::string service) : service(std::move(service)) {}

  // Sets the number of slots from the contract.
  void SetSlots(std::uint32_t contract_slots);

  void HandleHealth(TimePoint now, const ServerHealth& health);

  // Returns true if the health endpoint must be queried now, and schedules the
  // next query.
  bool HealthCheckDue(TimePoint now);

  void RecordDispatch() { ++this->running; }
  // `service_time` is the time from dispatch to the result.
  void RecordResult(TimePoint now,
                    const ServerResult& result,
                    Duration service_time);

  // True if the server may receive another request. The number of usable slots
  // grows by one at a time on a cold server, and shrinks when the server
  // refuses a request.
  bool HasFreeSlot() const { return this->running < this->usable_slots; }
  std::uint32_t Running() const { return this->running; }
  std::uint32_t UsableSlots() const { return this->usable_slots; }
  Duration ServiceTime() const { return this->service_time; }

  // Time at which the server last answered a call.
  TimePoint LastAnswer() const { return this->last_answer; }

  // True if the server has reported the expected service name, and no later
  // failure or startup makes its identity uncertain.
  bool Verified() const { return this->verified; }
  bool Draining() const { return this->draining; }
  // True if health checks or calls have failed for longer than
  // kUnavailableAfter, or if the server accepts calls and answers none.
  bool IsUnavailable(TimePoint now) const;

  nlohmann::json Dump() const;

 private:
  void GrowAfterSuccess();
  bool IsHanging(TimePoint now) const;

  std::string service;
  std::uint32_t slots = 1;
  std::uint32_t usable_slots = 1;
  std::uint32_t successes = 0;  // since usable_slots last changed
  std::uint32_t running = 0;
  Duration service_time{20000};  // smoothed; initially 20 ms
  bool verified = false;
  bool draining = false;
  bool starting = false;
  bool failing = false;  // calls or health checks fail since failing_since
  std::string reported_service;  // name in the last health response
  TimePoint failing_since;
  TimePoint next_check;
  TimePoint last_answer;
  std::uint32_t consecutive_timeouts = 0;
  TimePoint last_timeout;
  std::uint32_t unreachable_checks = 0;  // consecutive failed health checks
};

inline constexpr Duration kHealthInterval = std::chrono::milliseconds(500);
inline constexpr Duration kUnavailableAfter = std::chrono::seconds(2);

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_AGENT_SERVER_MONITOR_H_
