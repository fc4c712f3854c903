#ifndef CACTUSCROSS_OBSERVATION_H_
#define CACTUSCROSS_OBSERVATION_H_

// Data that operators can inspect in a process: metrics and the decision log.

#include <cstdint>
#include <string>
#include <vector>

#include "cactuscross/result_code.h"
#include "cactuscross/types.h"

namespace cactuscross {

enum class MetricKind : std::uint8_t { kCounter, kGauge };

// One sample of /metrics. Names are in lower_case with a unit suffix.
struct MetricSample {
  std::string name;
  MetricKind kind = MetricKind::kCounter;
  std::string labels;  // "key=\"value\",..." or empty
  double value = 0;
};

// An entry of the bounded decision log that `explain` queries.
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

// Selects decisions. An unset field matches every decision.
struct DecisionQuery {
  Endpoint caller;    // address 0: any address; port 0: any port
  std::string token;  // empty: any token
  std::size_t max_count = 100;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_OBSERVATION_H_
