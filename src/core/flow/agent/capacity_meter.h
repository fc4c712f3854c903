#ifndef CACTUSCROSS_SRC_CORE_FLOW_AGENT_CAPACITY_METER_H_
#define CACTUSCROSS_SRC_CORE_FLOW_AGENT_CAPACITY_METER_H_

// Measures how many requests per second a server completes when all its slots
// are busy, from the starts and ends of its requests.
//
// Handles a server with a load that varies, idle times, a long tail of service
// times, a change of speed, and errors that are answered faster than requests.

#include <cstdint>

#include "cactuscross/types.h"

namespace cactuscross {

enum class RequestEnd : std::uint8_t {
  kAnswered,
  kAbandoned,  // by the client; the server has worked without a result
  kUnknown,    // counts neither as work nor as a completion
};

class CapacityMeter {
 public:
  // Number of requests that the server runs at once; 0: unknown.
  void SetSlots(TimePoint now, std::uint32_t slots);

  // Notes that a request begins. Returns its start on the work clock, which is
  // passed to the calls below.
  double NoteBegin(TimePoint now);

  // Notes another data packet of the client on a flow whose request began at
  // `start`. Returns the new start if the packet belongs to the same request.
  double NoteMoreData(TimePoint now, double start);

  void NoteEnd(TimePoint now, double start, RequestEnd end);

  // Forgets the measurement, because the server was replaced.
  void Clear();

  // Requests per second; 0 until enough requests have been completed.
  double Capacity() const;

 private:
  void Advance(TimePoint now);
  void Count(double work, double completions);
  bool IsFastError(double work) const;
  void UpdateMedian(double work);

  std::uint32_t slots = 0;
  std::uint32_t running = 0;
  TimePoint advanced_at;
  // Seconds of a slot that each request in progress has had so far. Runs at the
  // speed of real time while there is a slot for each, and slower otherwise.
  double work_clock = 0;
  // Decaying sums over the requests that have ended.
  double work = 0;  // seconds of a slot
  double completions = 0;
  double median = 0;  // work of an answered request, seconds
  std::uint32_t samples = 0;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_AGENT_CAPACITY_METER_H_
