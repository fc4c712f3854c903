#include "src/core/flow/admission/repeated_requests.h"

#include <iterator>

namespace cactuscross {
namespace {

// A client repeats the request of a reset flow at once or after a short random
// pause. A longer time would match new requests of the client.
constexpr Duration kRetention{250000};

// As many as there are openings (kMaxOpenings): all may be refused at once.
constexpr std::size_t kMaxResets = 4096;

FlowKey WithoutPort(FlowKey flow) {
  flow.client.port = 0;
  return flow;
}

}  // namespace

void RepeatedRequests::NoteReset(TimePoint now,
                                 const FlowKey& flow,
                                 TimePoint request_started_at) {
  this->Expire(now);
  if (this->by_client.size() < kMaxResets) {
    this->by_client.emplace(WithoutPort(flow), Reset{now, request_started_at});
  }
}

std::optional<TimePoint> RepeatedRequests::Take(TimePoint now,
                                                const FlowKey& flow) {
  auto [reset, end] = this->by_client.equal_range(WithoutPort(flow));
  while (reset != end && now - reset->second.reset_at > kRetention) {
    reset = this->by_client.erase(reset);
  }
  if (reset == end) {
    return std::nullopt;
  }
  const TimePoint request_started_at = reset->second.request_started_at;
  this->by_client.erase(reset);
  return request_started_at;
}

void RepeatedRequests::Expire(TimePoint now) {
  if (now - this->expired_at < kRetention) {
    return;
  }
  this->expired_at = now;
  for (auto reset = this->by_client.begin(); reset != this->by_client.end();) {
    reset = now - reset->second.reset_at > kRetention
                ? this->by_client.erase(reset)
                : std::next(reset);
  }
}

}  // namespace cactuscross
