#ifndef CACTUSCROSS_CORE_DEPENDENCIES_H_
#define CACTUSCROSS_CORE_DEPENDENCIES_H_

// Dependencies injected into a core, which has no random source, no parser and
// no clock of its own.

#include <array>
#include <cstdint>
#include <string>

#include "cactuscross/contract.h"
#include "cactuscross/types.h"

namespace cactuscross {

inline constexpr std::size_t kTicketKeyBytes = 16;

struct CoreDependencies {
  ContractParser parse_contract;
  // Rises with each start of the process: the wall clock at the start, in
  // microseconds. Observe sequence numbers are derived from it, so that they
  // keep rising when a session moves to another agent.
  Incarnation incarnation{1};
  std::uint64_t seed = 1;  // of the random generator
  // Secret MAC key of admission tickets, new at each start of the process.
  std::array<std::uint8_t, kTicketKeyBytes> ticket_key{};
  std::string policy;  // name in RoutingPolicies(); empty: default policy
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_CORE_DEPENDENCIES_H_
