#ifndef CACTUSCROSS_SRC_CORE_AGENT_LIMIT_SYSTEM_H_
#define CACTUSCROSS_SRC_CORE_AGENT_LIMIT_SYSTEM_H_

// This agent's share of each limit of the contract, with loans from and to the
// other agents of the service.

#include <array>
#include <cstdint>

#include "src/core/agent/agent_context.h"
#include "src/core/limits/share.h"
#include "src/core/limits/token_bucket.h"

namespace cactuscross {

class LimitSystem {
 public:
  explicit LimitSystem(AgentContext& agent_context) : context(agent_context) {}

  // Follows the contract in force, and asks for a loan when a share is nearly
  // used up. `in_flight` is the number of requests admitted and not answered.
  void Tick(std::size_t in_flight);

  // Takes one request from the rate. Returns false if the rate is used up.
  bool TakeRequest();
  bool HasInFlightCapacity(std::size_t in_flight);
  // Open sessions that this agent may hold.
  std::uint32_t SessionShare() const { return this->session_share; }
  // False if the contract gives this agent no share to work with.
  bool HasShare() const { return this->position.count > 0; }

  void HandleLoanRequest(const PeerEnvelope& envelope,
                         const LoanRequest& request);
  void HandleLoanGrant(const LoanGrant& grant);

  nlohmann::json Dump() const;

 private:
  std::uint32_t OwnShare(SharedLimit limit) const;
  std::uint32_t Used(SharedLimit limit) const;
  void RequestLoanIfNeeded(SharedLimit limit);
  LoanLedger& Loans(SharedLimit limit) {
    return this->loans[static_cast<std::size_t>(limit)];
  }

  AgentContext& context;
  SharePosition position;
  ServiceLimits limits;
  std::uint32_t session_share = 0;
  TokenBucket rate;
  std::array<LoanLedger, kSharedLimits> loans;
  std::size_t current_in_flight = 0;
  std::uint32_t requests_this_second = 0;
  std::uint32_t previous_second_requests = 0;
  TimePoint second_began;
  TimePoint next_loan_request;
  std::size_t next_lender = 0;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_AGENT_LIMIT_SYSTEM_H_
