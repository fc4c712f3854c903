#ifndef CACTUSCROSS_SRC_CONFIG_FIELD_TABLE_H_
#define CACTUSCROSS_SRC_CONFIG_FIELD_TABLE_H_

// The field rows of each entity of settings and contracts.

#include <gsl/span>

#include "src/config/field_row.h"

namespace cactuscross {

// Returns the rows of `Entity` in the order of the documentation.
template <typename Entity>
gsl::span<const FieldRow<Entity>> Rows();

template <>
gsl::span<const FieldRow<NodeSettings>> Rows();
template <>
gsl::span<const FieldRow<BalancerSettings>> Rows();
template <>
gsl::span<const FieldRow<AgentSettings>> Rows();
template <>
gsl::span<const FieldRow<FlowNodeSettings>> Rows();
template <>
gsl::span<const FieldRow<FlowBalancerSettings>> Rows();
template <>
gsl::span<const FieldRow<FlowAgentSettings>> Rows();
template <>
gsl::span<const FieldRow<PeerAddress>> Rows();
template <>
gsl::span<const FieldRow<Contract>> Rows();
template <>
gsl::span<const FieldRow<ContractService>> Rows();
template <>
gsl::span<const FieldRow<ContractServer>> Rows();
template <>
gsl::span<const FieldRow<ServiceLimits>> Rows();

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CONFIG_FIELD_TABLE_H_
