#ifndef CACTUSCROSS_SRC_CORE_FLOW_VIEW_STORE_READER_ELECTION_H_
#define CACTUSCROSS_SRC_CORE_FLOW_VIEW_STORE_READER_ELECTION_H_

// Decides which balancers read the store. A process knows the active readers
// from the digests of its peers, which pass them on, so that the number of
// readers and of calls does not depend on the number of balancers.

#include <cstdint>
#include <vector>

#include "cactuscross/flow_gossip.h"

namespace cactuscross {

// What a process knows when it decides whether to read the store.
struct ReaderElectionInput {
  TimePoint answered_at;  // when the store last answered this process
  // The store recently confirmed the view of this process, to it or to a peer.
  bool confirmed = false;
  std::size_t live_peers = 0;
};

class StoreReaderElection {
 public:
  explicit StoreReaderElection(const Endpoint& own_control)
      : own_control(own_control) {}

  // Records the readers that a peer knows. Returns true if they change the
  // designated readers, so that the peers of this process should be told.
  bool Note(TimePoint now, const std::vector<ReaderStatus>& statuses);

  // Updates and returns whether this process reads the store.
  bool Update(TimePoint now, const ReaderElectionInput& input);

  // The designated readers that are active, including this process.
  std::vector<ReaderStatus> DesignatedReaders(TimePoint now) const;

 private:
  struct Reader {
    Endpoint control;
    TimePoint answered_at;  // when the store last answered it
  };

  // Removes readers that the store has not answered recently.
  void Expire(TimePoint now);
  std::vector<Endpoint> DesignatedAddresses() const;
  // Delay after which this process replaces a missing reader. The processes
  // have different delays, so that few of them do.
  Duration VolunteerDelay(std::size_t live_peers) const;

  const Endpoint own_control;   // control address of this process
  std::vector<Reader> readers;  // other active ones, lowest rank first
  bool reading = false;
  TimePoint own_answered_at;
  // Since when a reader has been missing; the epoch: none is.
  TimePoint missing_since;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_VIEW_STORE_READER_ELECTION_H_
