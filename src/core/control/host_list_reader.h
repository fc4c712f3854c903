#ifndef CACTUSCROSS_SRC_CORE_CONTROL_HOST_LIST_READER_H_
#define CACTUSCROSS_SRC_CORE_CONTROL_HOST_LIST_READER_H_

// Reads the platform's list of hosts, the less often the longer it is. The
// list lags: it adds candidates and marks leaving hosts, but kills none.

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

  // `enabled`: this process is one of those that read.
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
