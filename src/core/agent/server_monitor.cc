#include "src/core/agent/server_monitor.h"

#include <algorithm>

namespace cactuscross {
namespace {

// Inverse of the weight of one result in the smoothed service time.
constexpr int kSmoothingDivisor = 8;
// Consecutive failed health checks after which the server's identity is no
// longer considered verified.
constexpr std::uint32_t kUnreachableChecks = 3;
// Consecutive timeouts after which a server is considered hanging, and the time
// for which it then receives no new work.
constexpr std::uint32_t kHangingTimeouts = 3;
constexpr Duration kHangingPause = std::chrono::seconds(10);

}  // namespace

void ServerMonitor::SetSlots(std::uint32_t contract_slots) {
  this->slots = std::max<std::uint32_t>(contract_slots, 1);
  this->usable_slots = std::min(this->usable_slots, this->slots);
}

void ServerMonitor::HandleHealth(TimePoint now, const ServerHealth& health) {
  if (!health.reachable) {
    if (++this->unreachable_checks >= kUnreachableChecks) {
      this->verified = false;
    }
    if (!this->failing) {
      this->failing = true;
      this->failing_since = now;
    }
    return;
  }
  this->unreachable_checks = 0;
  this->failing = false;
  this->reported_service = health.service;
  const bool is_expected_service = health.service == this->service;
  const bool cold = health.starting || (is_expected_service && !this->verified);
  if (cold) {
    this->usable_slots = 1;
    this->successes = 0;
  }
  this->verified = is_expected_service && !health.starting;
  this->starting = health.starting;
  this->draining = health.draining;
}

bool ServerMonitor::HealthCheckDue(TimePoint now) {
  if (now < this->next_check) {
    return false;
  }
  this->next_check = now + kHealthInterval;
  return true;
}

void ServerMonitor::RecordResult(TimePoint now,
                                 const ServerResult& result,
                                 Duration measured) {
  this->running -= this->running > 0 ? 1 : 0;
  switch (result.status) {
    case ServerCallStatus::kAnswered:
      this->failing = false;
      this->last_answer = now;
      this->consecutive_timeouts = 0;
      if (result.not_run) {
        this->usable_slots = std::max<std::uint32_t>(this->usable_slots - 1, 1);
        this->successes = 0;
        return;
      }
      this->service_time += (measured - this->service_time) / kSmoothingDivisor;
      this->GrowAfterSuccess();
      return;
    case ServerCallStatus::kNotSent:
    case ServerCallStatus::kBroken:
    case ServerCallStatus::kWrongService:
      // Another process may own this address by now.
      this->verified = false;
      if (!this->failing) {
        this->failing = true;
        this->failing_since = now;
      }
      return;
    case ServerCallStatus::kTimedOut:
      ++this->consecutive_timeouts;
      this->last_timeout = now;
      this->service_time += (measured - this->service_time) / kSmoothingDivisor;
      return;
    case ServerCallStatus::kCancelled:
      return;
  }
}

void ServerMonitor::GrowAfterSuccess() {
  ++this->successes;
  if (this->usable_slots < this->slots &&
      this->successes >= this->usable_slots) {
    ++this->usable_slots;
    this->successes = 0;
  }
}

bool ServerMonitor::IsUnavailable(TimePoint now) const {
  return (this->failing && now - this->failing_since > kUnavailableAfter) ||
         this->IsHanging(now);
}

// After the pause calls are allowed again. The next timeout starts another
// pause.
bool ServerMonitor::IsHanging(TimePoint now) const {
  return this->consecutive_timeouts >= kHangingTimeouts &&
         now - this->last_timeout < kHangingPause;
}

nlohmann::json ServerMonitor::Dump() const {
  return {{"service", this->service},
          {"last_named", this->reported_service},
          {"verified", this->verified},
          {"draining", this->draining},
          {"starting", this->starting},
          {"failing", this->failing},
          {"timeouts_in_row", this->consecutive_timeouts},
          {"slots", this->slots},
          {"usable_slots", this->usable_slots},
          {"running", this->running},
          {"service_time_us", this->service_time.count()}};
}

}  // namespace cactuscross
