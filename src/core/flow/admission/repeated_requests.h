#ifndef CACTUSCROSS_SRC_CORE_FLOW_ADMISSION_REPEATED_REQUESTS_H_
#define CACTUSCROSS_SRC_CORE_FLOW_ADMISSION_REPEATED_REQUESTS_H_

// Start times of requests whose openings were refused. The client repeats such
// a request at once in a new opening, which shows neither its age nor which
// request it belongs to. Each refused opening is matched with one new opening
// of its client, so that the other openings of the client count as new.

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "cactuscross/flow_types.h"

namespace cactuscross {

class RepeatedRequests {
 public:
  void NoteReset(TimePoint now,
                 const FlowKey& flow,
                 TimePoint request_started_at);
  // Removes and returns the start of a request that the client of `flow`
  // repeats in it; nullopt if none of its openings to the same service address
  // was reset recently.
  std::optional<TimePoint> Take(TimePoint now, const FlowKey& flow);

  std::size_t Size() const { return this->by_client.size(); }

 private:
  struct Reset {
    TimePoint reset_at;
    TimePoint request_started_at;
  };
  void Expire(TimePoint now);

  // By client and service address, without the port of the client.
  std::unordered_multimap<FlowKey, Reset, FlowKeyHash> by_client;
  TimePoint expired_at{};
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_ADMISSION_REPEATED_REQUESTS_H_
