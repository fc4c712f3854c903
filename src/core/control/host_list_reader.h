#ifndef CACTUSCROSS_SRC_CORE_CONTROL_HOST_LIST_READER_H_
#define CACTUSCROSS_SRC_CORE_CONTROL_HOST_LIST_READER_H_

// Reads the platform's list of hosts at an interval that grows with its length.
// The list may be stale: it adds members and marks leaving hosts, but never
// marks a host dead.

#include <cstdint>
#include <vector>

#include "cactuscross/platform_message.h"
#include "src/core/control/control_random.h"
#include "src/core/control/member_table.h"

namespace cactuscross {

class HostListReader {
 public:
  HostListReader(Role role, MemberTable& members, ControlRandom& random)
      : role(role), members(members), random(random) {}

  void HandleResult(TimePoint now, const PlatformResult& result);

  // Starts a read when due. `enabled`: this process is to read the list.
  void Tick(TimePoint now, bool enabled, std::vector<PlatformRead>& reads);

  std::uint64_t Reads() const { return this->count; }

 private:
  Role role;
  MemberTable& members;
  ControlRandom& random;
  bool outstanding = false;
  TimePoint sent{};
  TimePoint next_read{};
  std::uint64_t count = 0;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_CONTROL_HOST_LIST_READER_H_
