#ifndef CACTUSCROSS_SRC_CORE_LIMITS_SHARE_H_
#define CACTUSCROSS_SRC_CORE_LIMITS_SHARE_H_

// Splits a limit of a service over its agents. The shares depend on the
// contract alone, so that they add up to no more than the limit while agents
// cannot reach one another. Idle shares are lent for a short time.

#include <cstdint>
#include <vector>

#include "cactuscross/contract.h"
#include "cactuscross/types.h"

namespace cactuscross {

// Which limits of the contract are shared and can be lent. Used as an index.
enum class SharedLimit : std::uint8_t { kRequestRate = 0, kInFlight = 1 };
inline constexpr std::size_t kSharedLimits = 2;

// Place of `node` among the serving agents of `service`.
struct SharePosition {
  std::size_t index = 0;
  std::size_t count = 0;  // 0: `node` has no share
};

SharePosition FindSharePosition(const ContractService& service, NodeId node);

// The share at `position` of `total`; the shares of all places add up to
// `total`.
std::uint32_t ShareOf(std::uint32_t total, const SharePosition& position);

// Loans of one limit that an agent has given and taken. A lender counts a loan
// from the grant and longer than the borrower, who counts from its request:
// whatever is lost or late, a unit is never used on both sides.
class LoanLedger {
 public:
  // Lends up to `amount`, at most half of what is idle. `own_share` is the
  // share by contract and `used` what the agent uses itself.
  std::uint32_t Lend(TimePoint now,
                     std::uint32_t amount,
                     std::uint32_t own_share,
                     std::uint32_t used);

  // Notes that a loan was asked for; returns the sequence of the request.
  std::uint64_t RequestLoan(TimePoint now);

  // Takes a grant that answers request `sequence`.
  void Borrow(TimePoint now,
              std::uint64_t sequence,
              std::uint32_t amount,
              Duration lifetime);

  // The share by contract, less what is lent, plus what is borrowed.
  std::uint32_t Effective(TimePoint now, std::uint32_t own_share);

  std::uint32_t Lent(TimePoint now);
  std::uint32_t Borrowed(TimePoint now);

 private:
  struct Loan {
    std::uint32_t amount = 0;
    TimePoint expiry;
  };
  static std::uint32_t Sum(TimePoint now, std::vector<Loan>& loans);

  std::vector<Loan> lent;
  std::vector<Loan> borrowed;
  std::uint64_t request_sequence = 0;
  TimePoint requested_at;
};

// How long a borrower may use a loan, counted from its request.
inline constexpr Duration kLoanLifetime = std::chrono::seconds(5);
// How much longer the lender does without it: covers clocks that run apart.
inline constexpr Duration kLoanMargin = std::chrono::seconds(1);

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_LIMITS_SHARE_H_
