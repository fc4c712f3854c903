#ifndef CACTUSCROSS_SRC_CORE_FLOW_COMMON_RESPONSE_TIMEOUT_H_
#define CACTUSCROSS_SRC_CORE_FLOW_COMMON_RESPONSE_TIMEOUT_H_

// Adaptive timeout after which a balancer that has not received an agent's
// answer tries the next server. The timeout doubles while most queries go
// unanswered (RFC 6298, 5.5): on a congested link answers are late, and queries
// to further servers would keep it congested.

#include <cstddef>

#include "cactuscross/types.h"

namespace cactuscross {

class ResponseTimeout {
 public:
  Duration Current() const { return this->current; }

  void NoteAnswered(TimePoint now);
  void NoteUnanswered(TimePoint now);

  // A server answers within a millisecond. The rest covers the round trip and
  // scheduling delays on two small hosts.
  static constexpr Duration kMin{60000};
  // Leaves time to try a second server before the client abandons the opening,
  // which it does after 1.4 s.
  static constexpr Duration kMax{480000};

 private:
  // At the end of a sample period, sets the timeout from the share of answered
  // queries.
  void Adapt(TimePoint now);

  Duration current = kMin;
  TimePoint sample_started_at{};
  std::size_t answered = 0;
  std::size_t unanswered = 0;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_COMMON_RESPONSE_TIMEOUT_H_
