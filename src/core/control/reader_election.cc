#include "src/core/control/reader_election.h"

#include <algorithm>

#include "src/core/control/control_limits.h"
#include "src/core/control/rendezvous_rank.h"

namespace cactuscross {

namespace {

// Subject of the rendezvous hashing that elects readers: "readers!" in ASCII.
constexpr std::uint64_t kReaderSubject = 0x7265616465727321ULL;
// Keeps the number of readers from overflowing in a long outage.
constexpr Duration::rep kMaxDoublings = 12;

}  // namespace

bool ReaderElection::Update(TimePoint now,
                            std::optional<TimePoint> service_last_contact,
                            std::optional<TimePoint> peer_last_contact) {
  if (!this->started) {
    this->started = true;
    this->start = now;
  }
  bool should_read = false;
  if (this->members.Leaving()) {
    should_read = false;
  } else if (this->self.role == Role::kAgent) {
    should_read =
        now - peer_last_contact.value_or(this->start) >= kAgentReadDelay;
  } else {
    should_read = this->IsElected(now, service_last_contact);
  }
  if (!should_read) {
    this->is_reader = false;
    this->take_over_at.reset();
  } else if (!this->is_reader) {
    // Membership views may differ for a while, so several processes may elect
    // themselves. A random delay keeps them from starting at the same time.
    if (!this->take_over_at) {
      const Duration max_delay = this->self.role == Role::kAgent
                                     ? kAgentReadInterval
                                     : kMaxTakeOverJitter;
      this->take_over_at = now + this->random.UpTo(max_delay);
    }
    this->is_reader = now >= *this->take_over_at;
  }
  return this->is_reader;
}

bool ReaderElection::IsElected(TimePoint now,
                               std::optional<TimePoint> service_last_contact) {
  const Duration silence = now - service_last_contact.value_or(this->start);
  const Duration::rep doublings =
      std::min(kMaxDoublings, silence / kReaderDoublingInterval);
  const std::size_t readers = this->readers_per_zone << doublings;
  return this->OwnRank() < readers;
}

std::size_t ReaderElection::OwnRank() {
  if (this->rank_generation == this->members.Generation()) {
    return this->rank;
  }
  this->rank_generation = this->members.Generation();
  const std::uint64_t own = RendezvousWeight(kReaderSubject, this->self.node);
  this->rank = 0;
  for (const Member* member : this->members.LiveBalancers()) {
    const bool before =
        member->peer.zone == this->self.zone &&
        RendezvousWeight(kReaderSubject, member->peer.node) > own;
    this->rank += before ? 1 : 0;
  }
  return this->rank;
}

}  // namespace cactuscross
