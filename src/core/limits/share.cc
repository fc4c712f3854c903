#include "src/core/limits/share.h"

#include <algorithm>

namespace cactuscross {

SharePosition FindSharePosition(const ContractService& service, NodeId node) {
  SharePosition position;
  bool found = false;
  for (const ContractServer& server : service.servers) {
    if (server.state != ServerState::kServing) {
      continue;
    }
    if (server.node == node) {
      position.index = position.count;
      found = true;
    }
    ++position.count;
  }
  return found ? position : SharePosition{};
}

std::uint32_t ShareOf(std::uint32_t total, const SharePosition& position) {
  if (position.count == 0) {
    return 0;
  }
  const auto count = static_cast<std::uint32_t>(position.count);
  const std::uint32_t remainder = position.index < total % count ? 1 : 0;
  return total / count + remainder;
}

std::uint32_t LoanLedger::Sum(TimePoint now, std::vector<Loan>& loans) {
  loans.erase(
      std::remove_if(loans.begin(), loans.end(),
                     [now](const Loan& loan) { return loan.expiry <= now; }),
      loans.end());
  std::uint32_t sum = 0;
  for (const Loan& loan : loans) {
    sum += loan.amount;
  }
  return sum;
}

std::uint32_t LoanLedger::Lend(TimePoint now,
                               std::uint32_t amount,
                               std::uint32_t own_share,
                               std::uint32_t used) {
  // Borrowed units are not lent again, because their loan may expire first.
  const std::uint32_t taken = this->Lent(now) + used;
  const std::uint32_t idle = own_share > taken ? own_share - taken : 0;
  const std::uint32_t granted = std::min(amount, idle / 2);
  if (granted > 0) {
    this->lent.push_back({granted, now + kLoanLifetime + kLoanMargin});
  }
  return granted;
}

std::uint64_t LoanLedger::RequestLoan(TimePoint now) {
  this->requested_at = now;
  return ++this->request_sequence;
}

void LoanLedger::Borrow(TimePoint now,
                        std::uint64_t sequence,
                        std::uint32_t amount,
                        Duration lifetime) {
  // Only a grant for the latest request counts, and only once: a duplicate
  // grant has no effect.
  if (sequence != this->request_sequence || amount == 0) {
    return;
  }
  ++this->request_sequence;
  const TimePoint expiry =
      this->requested_at + std::min(lifetime, kLoanLifetime);
  if (expiry > now) {
    this->borrowed.push_back({amount, expiry});
  }
}

std::uint32_t LoanLedger::Effective(TimePoint now, std::uint32_t own_share) {
  const std::uint32_t currently_lent = this->Lent(now);
  const std::uint32_t retained =
      own_share > currently_lent ? own_share - currently_lent : 0;
  return retained + this->Borrowed(now);
}

std::uint32_t LoanLedger::Lent(TimePoint now) {
  return Sum(now, this->lent);
}

std::uint32_t LoanLedger::Borrowed(TimePoint now) {
  return Sum(now, this->borrowed);
}

}  // namespace cactuscross
