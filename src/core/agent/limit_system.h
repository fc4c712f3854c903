#ifndef CACTUSCROSS_SRC_CORE_AGENT_LIMIT_SYSTEM_H_
#define CACTUSCROSS_SRC_CORE_AGENT_LIMIT_SYSTEM_H_

// Enforces this agent's share of each limit of the contract, including loans
// from and to the other agents of the service.

#include <array>
#include <cstdint>

#include "src/core/agent/agent_context.h"
#include "src/core/limits/share.h"
#include "src/core/limits/token_bucket.h"

namespace cactuscross {

class LimitSystem {
 public:
  explicit LimitSystem(AgentContext& agent_context) : context(agent_context) {}

  // Applies the contract in force, and requests a loan if a share is nearly
  // exhausted. `in_flight` is the number of requests that are admitted and not
  // answered, plus those expected for tickets just issued.
  void Tick(std::size_t in_flight);

  // Takes one request from the rate limit. Returns false if it is exhausted.
  bool TakeRequest();
  bool HasInFlightCapacity(std::size_t in_flight);
  // Returns the number of open sessions that this agent may hold.
  std::uint32_t SessionShare() const { return this->session_share; }
  // False if the contract does not list this agent as serving.
  bool HasReachedShare() const { return this->position.count > 0; }

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
  std::size_t next_lender = 0;  // position in the contract's list of servers
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_AGENT_LIMIT_SYSTEM_H_
