#ifndef CACTUSCROSS_SRC_CORE_CONTROL_READER_ELECTION_H_
#define CACTUSCROSS_SRC_CORE_CONTROL_READER_ELECTION_H_

// Decides whether this process reads the configuration service. In each
// availability zone, a few balancers are elected as readers by rendezvous
// hashing. If the service has not answered any process for a while, more
// balancers become readers. Agents read only if no balancer answers them.

#include <cstddef>
#include <optional>
#include <string>

#include "cactuscross/types.h"
#include "src/core/control/control_random.h"
#include "src/core/control/member_table.h"

namespace cactuscross {

class ReaderElection {
 public:
  ReaderElection(PeerAddress self,
                 std::size_t readers_per_zone,
                 MemberTable& members,
                 ControlRandom& random)
      : self(std::move(self)),
        readers_per_zone(readers_per_zone),
        members(members),
        random(random) {}

  // Returns true if this process is to read now.
  // `service_last_contact`: when the service last answered any process, as far
  // as known. `peer_last_contact`: when a balancer last answered this process.
  bool Update(TimePoint now,
              std::optional<TimePoint> service_last_contact,
              std::optional<TimePoint> peer_last_contact);

  bool IsReader() const { return this->is_reader; }

 private:
  bool IsElected(TimePoint now, std::optional<TimePoint> service_last_contact);
  std::size_t OwnRank();

  PeerAddress self;
  std::size_t readers_per_zone;
  MemberTable& members;
  ControlRandom& random;
  bool is_reader = false;
  bool started = false;
  TimePoint start{};
  std::optional<TimePoint> take_over_at;
  std::uint64_t rank_generation = 0;
  std::size_t rank = 0;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_CONTROL_READER_ELECTION_H_
