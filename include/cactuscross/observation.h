#ifndef CACTUSCROSS_OBSERVATION_H_
#define CACTUSCROSS_OBSERVATION_H_

// What operators can see of a process: metrics and the record of decisions.

#include <cstdint>
#include <string>
#include <vector>

#include "cactuscross/result_code.h"
#include "cactuscross/types.h"

namespace cactuscross {

enum class MetricKind : std::uint8_t { kCounter, kGauge };

// One line of /metrics. Names are lower_case with unit suffix.
struct MetricSample {
  std::string name;
  MetricKind kind = MetricKind::kCounter;
  std::string labels;  // "key=\"value\",..." or empty
  double value = 0;
};

// One decision, kept in a bounded record for `explain`.
struct Decision {
  TimePoint time;
  Endpoint caller;
  Endpoint service_address;
  std::string token;  // hexadecimal
  std::string event;  // "routed", "ticket_issued", "refused", ...
  ResultCode code = ResultCode::kOk;
  NodeId chosen = kNoNode;
  std::string reason;
};

// Selects decisions; an unset field matches all.
struct DecisionQuery {
  Endpoint caller;    // address 0: any; port 0: any port
  std::string token;  // empty: any
  std::size_t max_count = 100;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_OBSERVATION_H_
