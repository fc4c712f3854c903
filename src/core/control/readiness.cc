#include "src/core/control/readiness.h"

#include <algorithm>

#include "src/core/control/control_limits.h"

namespace cactuscross {

void Readiness::InvalidateView(TimePoint now) {
  this->view_fresh = false;
  this->service_answered = false;
  this->since = now;
  this->started = true;
  ++this->invalidations;
}

bool Readiness::Update(TimePoint now, const RefreshProgress& progress) {
  if (!this->started) {
    this->started = true;
    this->since = now;
  }
  if (this->view_fresh) {
    return false;
  }
  const std::size_t needed =
      std::clamp<std::size_t>(progress.peers, 1, kMinJoinAnswers);
  const bool peers_suffice =
      progress.answers >= needed && !progress.pulls_outstanding;
  // The service may be stale, so an answer of a peer is needed too, unless no
  // peer answers within kMaxJoinPeerWait.
  const bool peers_silent =
      progress.peers == 0 || now - this->since >= kMaxJoinPeerWait;
  const bool service_suffices = this->service_answered &&
                                (progress.answers > 0 || peers_silent) &&
                                !progress.pulls_outstanding;
  this->view_fresh = peers_suffice || service_suffices;
  return this->view_fresh;
}

bool PauseDetector::Tick(TimePoint now) {
  const Duration gap = this->ticked ? now - this->last : Duration(0);
  this->ticked = true;
  this->last = now;
  this->max_gap = std::max(this->max_gap, gap);
  return gap > kMaxTickGap;
}

}  // namespace cactuscross
