#include "src/core/agent/limit_system.h"

#include <algorithm>

#include "src/core/balancer/route_table.h"

namespace cactuscross {
namespace {

constexpr Duration kLoanRequestInterval = std::chrono::milliseconds(200);
constexpr Duration kRateWindow = std::chrono::seconds(1);
// Utilization of a share, in percent, from which a loan is requested.
constexpr std::uint32_t kLoanThresholdPercent = 80;
// Amount of a requested loan, in percent of the agent's own share.
constexpr std::uint32_t kLoanAmountPercent = 50;
constexpr std::uint32_t kPercent = 100;

}  // namespace

void LimitSystem::Tick(std::size_t in_flight) {
  this->current_in_flight = in_flight;
  const ServiceView view = this->context.View();
  if (!view) {
    this->position = {};
    this->session_share = 0;
    return;
  }
  this->position = FindSharePosition(*view.service, this->context.Self());
  this->limits = view.service->limits;
  this->session_share = ShareOf(this->limits.sessions, this->position);
  const std::uint32_t rate_share =
      this->Loans(SharedLimit::kRequestRate)
          .Effective(this->context.now,
                     this->OwnShare(SharedLimit::kRequestRate));
  const std::uint32_t burst =
      ShareOf(this->limits.request_burst, this->position);
  this->rate.Configure(rate_share, std::max<std::uint32_t>(burst, 1));
  if (this->context.now - this->second_began >= kRateWindow) {
    this->previous_second_requests = this->requests_this_second;
    this->requests_this_second = 0;
    this->second_began = this->context.now;
  }
  if (this->context.now >= this->next_loan_request) {
    this->next_loan_request = this->context.now + kLoanRequestInterval;
    this->RequestLoanIfNeeded(SharedLimit::kRequestRate);
    this->RequestLoanIfNeeded(SharedLimit::kInFlight);
  }
}

std::uint32_t LimitSystem::OwnShare(SharedLimit limit) const {
  const std::uint32_t total = limit == SharedLimit::kRequestRate
                                  ? this->limits.request_rate
                                  : this->limits.requests_in_flight;
  return ShareOf(total, this->position);
}

std::uint32_t LimitSystem::Used(SharedLimit limit) const {
  if (limit == SharedLimit::kInFlight) {
    return static_cast<std::uint32_t>(this->current_in_flight);
  }
  return std::max(this->previous_second_requests, this->requests_this_second);
}

bool LimitSystem::TakeRequest() {
  if (!this->rate.Take(this->context.now, 1)) {
    // Refused requests count as used, so that a loan is requested.
    ++this->requests_this_second;
    return false;
  }
  ++this->requests_this_second;
  return true;
}

bool LimitSystem::HasInFlightCapacity(std::size_t in_flight) {
  const std::uint32_t own = this->OwnShare(SharedLimit::kInFlight);
  return in_flight <
         this->Loans(SharedLimit::kInFlight).Effective(this->context.now, own);
}

void LimitSystem::RequestLoanIfNeeded(SharedLimit limit) {
  const std::uint32_t own = this->OwnShare(limit);
  LoanLedger& ledger = this->Loans(limit);
  const std::uint32_t effective = ledger.Effective(this->context.now, own);
  const bool needs_loan =
      this->Used(limit) * kPercent >= effective * kLoanThresholdPercent;
  const ServiceView view = this->context.View();
  const auto& servers = view.service->servers;
  if (!needs_loan || this->position.count < 2 || this->context.Leaving()) {
    return;
  }
  for (std::size_t i = 0; i < servers.size(); ++i) {
    const ContractServer& server =
        servers[this->next_lender++ % servers.size()];
    const bool usable = server.node != this->context.Self() &&
                        server.state == ServerState::kServing;
    if (usable) {
      const std::uint32_t amount =
          std::max<std::uint32_t>(own * kLoanAmountPercent / kPercent, 1);
      this->context.Send(
          AgentAddress(server),
          LoanRequest{this->context.service, static_cast<std::uint8_t>(limit),
                      amount, ledger.RequestLoan(this->context.now)});
      return;
    }
  }
}

void LimitSystem::HandleLoanRequest(const PeerEnvelope& envelope,
                                    const LoanRequest& request) {
  if (request.service != this->context.service ||
      request.limit >= kSharedLimits) {
    return;
  }
  const auto limit = static_cast<SharedLimit>(request.limit);
  const std::uint32_t granted =
      this->Loans(limit).Lend(this->context.now, request.amount,
                              this->OwnShare(limit), this->Used(limit));
  this->context.Send(envelope.from,
                     LoanGrant{request.service, request.limit, granted,
                               request.sequence, kLoanLifetime});
}

void LimitSystem::HandleLoanGrant(const LoanGrant& grant) {
  if (grant.service != this->context.service || grant.limit >= kSharedLimits) {
    return;
  }
  this->loans[grant.limit].Borrow(this->context.now, grant.sequence,
                                  grant.amount, grant.lifetime);
}

nlohmann::json LimitSystem::Dump() const {
  return {{"agents_sharing", this->position.count},
          {"request_rate_share", this->OwnShare(SharedLimit::kRequestRate)},
          {"in_flight_share", this->OwnShare(SharedLimit::kInFlight)},
          {"session_share", this->session_share},
          {"requests_last_second", this->previous_second_requests}};
}

}  // namespace cactuscross
