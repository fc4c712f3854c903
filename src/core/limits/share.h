#ifndef CACTUSCROSS_SRC_CORE_LIMITS_SHARE_H_
#define CACTUSCROSS_SRC_CORE_LIMITS_SHARE_H_

// Divides a limit of a service among its agents. The shares depend only on the
// contract, so that they do not exceed the limit in total even while agents
// cannot reach each other. Agents lend unused parts of their shares for a short
// time.

#include <cstdint>
#include <vector>

#include "cactuscross/contract.h"
#include "cactuscross/types.h"

namespace cactuscross {

// Limits of the contract that can be lent between agents. Used as an index.
enum class SharedLimit : std::uint8_t { kRequestRate = 0, kInFlight = 1 };
inline constexpr std::size_t kSharedLimits = 2;  // number of values

// Position of an agent among the serving agents of a service.
struct SharePosition {
  std::size_t index = 0;
  std::size_t count = 0;  // number of serving agents; 0: the agent has no share
};

SharePosition FindSharePosition(const ContractService& service, NodeId node);

// Returns the share of `total` at `position`. The shares of all positions add
// up to `total`.
std::uint32_t ShareOf(std::uint32_t total, const SharePosition& position);

// Loans of one limit that an agent has lent and borrowed. The borrower counts
// the lifetime of a loan from its request. The lender counts it from its later
// grant and adds kLoanMargin. A unit is therefore never used on both sides,
// even if messages are lost or late.
class LoanLedger {
 public:
  // Lends up to `amount` units, at most half of the unused ones. Returns the
  // number granted. `own_share` is the share by contract and `used` the number
  // that the agent uses itself.
  std::uint32_t Lend(TimePoint now,
                     std::uint32_t amount,
                     std::uint32_t own_share,
                     std::uint32_t used);

  // Stores that a loan is requested now. Returns the sequence number of the
  // request.
  std::uint64_t RequestLoan(TimePoint now);

  // Handles a grant for request `sequence`.
  void Borrow(TimePoint now,
              std::uint64_t sequence,
              std::uint32_t amount,
              Duration lifetime);

  // Returns the share by contract, minus lent plus borrowed units.
  std::uint32_t Effective(TimePoint now, std::uint32_t own_share);

  std::uint32_t Lent(TimePoint now);
  std::uint32_t Borrowed(TimePoint now);

 private:
  struct Loan {
    std::uint32_t amount = 0;
    TimePoint expiry;
  };
  // Erases expired loans and returns the sum of the others.
  static std::uint32_t Sum(TimePoint now, std::vector<Loan>& loans);

  std::vector<Loan> lent;
  std::vector<Loan> borrowed;
  std::uint64_t request_sequence = 0;
  TimePoint requested_at;
};

// How long a borrower may use a loan, counted from its request.
inline constexpr Duration kLoanLifetime = std::chrono::seconds(5);
// How much longer the lender counts a loan as lent. Covers clock drift between
// the agents.
inline constexpr Duration kLoanMargin = std::chrono::seconds(1);

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_LIMITS_SHARE_H_
