#ifndef CACTUSCROSS_SRC_CORE_COMMON_DECISION_LOG_H_
#define CACTUSCROSS_SRC_CORE_COMMON_DECISION_LOG_H_

// Bounded log of the most recent routing and admission decisions of a process,
// read by `explain`.

#include <vector>

#include <boost/circular_buffer.hpp>

#include "cactuscross/observation.h"

namespace cactuscross {

inline constexpr std::size_t kDecisionLogEntries = 4096;

class DecisionLog {
 public:
  void Add(Decision decision);

  // Returns the matching decisions, newest first.
  std::vector<Decision> Find(const DecisionQuery& query) const;

 private:
  boost::circular_buffer<Decision> decisions{kDecisionLogEntries};
};

// Formats bytes as lower-case hexadecimal digits.
std::string ToHex(ByteView bytes);

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_COMMON_DECISION_LOG_H_
