#ifndef CACTUSCROSS_SRC_CORE_FLOW_RESPONSE_TIMEOUT_H_
#define CACTUSCROSS_SRC_CORE_FLOW_RESPONSE_TIMEOUT_H_

// How long a balancer waits for an agent before it asks the next one. The wait
// doubles while most questions go unanswered (RFC 6298, 5.5): behind a full
// link answers come late, and questions to further servers would keep it full.

#include <cstddef>

#include "cactuscross/types.h"

namespace cactuscross {

class ResponseTimeout {
 public:
  Duration Current() const { return this->current; }

  void NoteAnswered(TimePoint now);
  void NoteUnanswered(TimePoint now);

  // A server answers within a millisecond; the rest is the way there and back,
  // and a wait for the processor of two small hosts.
  static constexpr Duration kMin{60000};
  // A client gives an opening up after 1.4 s: leaves time for a second server.
  static constexpr Duration kMax{480000};

 private:
  // Adapts the wait by what was counted with it.
  void Adapt(TimePoint now);

  Duration current = kMin;
  TimePoint sample_started_at{};
  std::size_t answered = 0;
  std::size_t unanswered = 0;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_RESPONSE_TIMEOUT_H_
