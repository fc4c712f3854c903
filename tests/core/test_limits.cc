#include <cppunit/extensions/HelperMacros.h>

#include <random>

#include "src/core/limits/share.h"
#include "src/core/limits/token_bucket.h"

namespace cactuscross {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

ContractService MakeService(std::uint32_t servers) {
  ContractService service;
  for (std::uint32_t i = 0; i < servers; ++i) {
    ContractServer server;
    server.node = NodeId{i + 1};
    service.servers.push_back(server);
  }
  return service;
}

// The shares of a limit, the loans between agents, and the token bucket.
class LimitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LimitsTest);
  CPPUNIT_TEST(SharesAddUpToTheLimit);
  CPPUNIT_TEST(LeavingServerHasNoShare);
  CPPUNIT_TEST(RepeatedGrantAddsNothing);
  CPPUNIT_TEST(BorrowedUnitsAreNotLentAgain);
  CPPUNIT_TEST(LoansNeverExceedTheLimitDespiteMessageLoss);
  CPPUNIT_TEST(BucketRefillsAtItsRate);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SharesAddUpToTheLimit() {
    for (std::uint32_t servers = 1; servers <= 9; ++servers) {
      const ContractService service = MakeService(servers);
      for (const std::uint32_t limit : {0U, 1U, 7U, 100U, 4294967295U}) {
        std::uint64_t sum = 0;
        for (const ContractServer& server : service.servers) {
          sum += ShareOf(limit, FindSharePosition(service, server.node));
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{limit}, sum);
      }
    }
  }

  void LeavingServerHasNoShare() {
    ContractService service = MakeService(3);
    service.servers[1].state = ServerState::kLeaving;
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         FindSharePosition(service, NodeId{2}).count);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                         FindSharePosition(service, NodeId{3}).count);
  }

  void RepeatedGrantAddsNothing() {
    LoanLedger ledger;
    const TimePoint now{seconds(10)};
    const std::uint64_t sequence = ledger.RequestLoan(now);
    ledger.Borrow(now, sequence, 5, kLoanLifetime);
    ledger.Borrow(now, sequence, 5, kLoanLifetime);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{5}, ledger.Borrowed(now));
  }

  void BorrowedUnitsAreNotLentAgain() {
    LoanLedger ledger;
    const TimePoint now{seconds(10)};
    ledger.Borrow(now, ledger.RequestLoan(now), 50, kLoanLifetime);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, ledger.Lend(now, 50, 10, 10));
  }

  // Grants are lost, delayed and duplicated at random, and processes are
  // paused: what both sides may use together never exceeds the limit.
  void LoansNeverExceedTheLimitDespiteMessageLoss() {
    constexpr std::uint32_t kShare = 100;
    struct Message {
      TimePoint arrival;
      std::uint64_t sequence;
      std::uint32_t amount;
    };
    for (unsigned seed = 1; seed <= 50; ++seed) {
      std::mt19937 random(seed);
      LoanLedger ledgers[2];
      std::vector<Message> grants[2];
      TimePoint now{seconds(1)};
      for (int step = 0; step < 2000; ++step) {
        now += milliseconds(random() % 200);
        const std::size_t borrower = random() % 2;
        const std::size_t lender = 1 - borrower;
        if (random() % 4 == 0) {
          const std::uint64_t sequence = ledgers[borrower].RequestLoan(now);
          const std::uint32_t amount = ledgers[lender].Lend(
              now, random() % kShare, kShare, random() % kShare);
          const int copies = static_cast<int>(random() % 3);
          for (int copy = 0; copy < copies; ++copy) {
            grants[borrower].push_back(
                {now + milliseconds(random() % 8000), sequence, amount});
          }
        }
        for (const Message& grant : grants[borrower]) {
          if (grant.arrival <= now) {
            ledgers[borrower].Borrow(now, grant.sequence, grant.amount,
                                     kLoanLifetime);
          }
        }
        const std::uint32_t sum = ledgers[0].Effective(now, kShare) +
                                  ledgers[1].Effective(now, kShare);
        CPPUNIT_ASSERT(sum <= 2 * kShare);
      }
    }
  }

  void BucketRefillsAtItsRate() {
    TokenBucket bucket;
    bucket.Configure(10, 5);
    TimePoint now{seconds(1)};
    int admitted = 0;
    for (int i = 0; i < 1000; ++i) {
      now += milliseconds(10);
      admitted += bucket.Take(now, 1) ? 1 : 0;
    }
    CPPUNIT_ASSERT(admitted >= 100 && admitted <= 105);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LimitsTest);

}  // namespace
}  // namespace cactuscross
