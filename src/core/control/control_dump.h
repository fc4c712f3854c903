#ifndef CACTUSCROSS_SRC_CORE_CONTROL_CONTROL_DUMP_H_
#define CACTUSCROSS_SRC_CORE_CONTROL_CONTROL_DUMP_H_

// Formats control plane state as JSON and metrics for operators.

#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "cactuscross/observation.h"
#include "src/core/control/contract_store.h"
#include "src/core/control/member_table.h"
#include "src/core/control/outbound.h"

namespace cactuscross {

std::string_view MemberStateName(MemberState state);

// Returns for each customer the version in force, whether it is deleted, and
// the rejected version with its error.
nlohmann::json DumpContracts(const ContractStore& store);

// Returns all balancers, and the agents that are not alive; ages are in
// milliseconds.
nlohmann::json DumpMembers(const MemberTable& members, TimePoint now);

nlohmann::json DumpTraffic(const TrafficCounts& counts);

void AppendContractMetrics(const ContractStore& store,
                           std::vector<MetricSample>& samples);
void AppendMemberMetrics(const MemberTable& members,
                         std::vector<MetricSample>& samples);
void AppendTrafficMetrics(const TrafficCounts& counts,
                          std::vector<MetricSample>& samples);

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_CONTROL_CONTROL_DUMP_H_
