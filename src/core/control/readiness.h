#ifndef CACTUSCROSS_SRC_CORE_CONTROL_READINESS_H_
#define CACTUSCROSS_SRC_CORE_CONTROL_READINESS_H_

// Decides whether this process's view of contracts and members is fresh enough
// for new work. After its start and after each pause, the configuration service
// or a few peers must answer first.

#include <cstddef>
#include <cstdint>

#include "cactuscross/types.h"

namespace cactuscross {

// Answers received since the view was last invalidated.
struct RefreshProgress {
  std::size_t peers = 0;    // alive balancers that may answer
  std::size_t answers = 0;  // peers that answered
  bool pulls_outstanding = false;
};

class Readiness {
 public:
  // Marks the view as stale until enough answers arrive.
  void InvalidateView(TimePoint now);
  void NoteServiceAnswer() { this->service_answered = true; }

  // Returns true when the view changes from stale to fresh.
  bool Update(TimePoint now, const RefreshProgress& progress);

  bool Ready() const { return this->view_fresh; }
  std::uint64_t Invalidations() const { return this->invalidations; }

 private:
  bool view_fresh = false;
  bool service_answered = false;
  TimePoint since{};  // when the view was invalidated
  bool started = false;
  std::uint64_t invalidations = 0;
};

// Detects pauses of the process by the gap between its ticks.
class PauseDetector {
 public:
  // Returns true if the gap before this tick exceeds kMaxTickGap.
  bool Tick(TimePoint now);

  Duration MaxGap() const { return this->max_gap; }

 private:
  bool ticked = false;
  TimePoint last{};
  Duration max_gap{0};
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_CONTROL_READINESS_H_
