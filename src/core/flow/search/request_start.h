#ifndef CACTUSCROSS_SRC_CORE_FLOW_SEARCH_REQUEST_START_H_
#define CACTUSCROSS_SRC_CORE_FLOW_SEARCH_REQUEST_START_H_

// Estimates the age of a request from the first packet that a balancer receives
// of its flow. Load: all processes restart, and the clients retransmit requests
// that began during the outage beside new ones. Only new ones can be answered
// within their latency target.

#include "cactuscross/types.h"

namespace cactuscross {

// Earliest possible start of a request, of which the first packet arrived at
// `arrived_at`. `receiving_since`: when this balancer began to receive packets.
TimePoint EstimateRequestStart(TimePoint arrived_at, TimePoint receiving_since);

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_SEARCH_REQUEST_START_H_
