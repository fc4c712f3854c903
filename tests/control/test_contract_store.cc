#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <map>
#include <string>
#include <vector>

#include "src/core/control/contract_store.h"

namespace cactuscross {
namespace {

// Texts that start with "bad" do not parse.
ContractParser TestParser() {
  return [](std::string_view key,
            std::string_view text) -> tl::expected<Contract, Error> {
    if (text.substr(0, 3) == "bad") {
      return tl::make_unexpected(Error{ResultCode::kYamlSyntax, "bad", "", 1});
    }
    Contract contract;
    contract.customer = std::string(key);
    ContractService service;
    service.full_name = contract.customer + "/claims";
    service.id = MakeServiceId(service.full_name);
    service.addresses.push_back(Endpoint{0x7F000001, 5683});
    contract.services.push_back(std::move(service));
    return contract;
  };
}

// Tests the contracts known to one process: which versions are in force, and
// the windows of versions in which peers compare them.
class ContractStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ContractStoreTest);
  CPPUNIT_TEST(OlderVersionChangesNothing);
  CPPUNIT_TEST(OlderVersionDoesNotReviveADeletedContract);
  CPPUNIT_TEST(RejectedVersionLeavesThePreviousOneInForce);
  CPPUNIT_TEST(ValidVersionBelowARejectedOneIsApplied);
  CPPUNIT_TEST(SharedAddressBelongsToTheSameCustomerInAnyOrder);
  CPPUNIT_TEST(WindowsCoverAllVersionsOnce);
  CPPUNIT_TEST(VersionsNeverDecreaseAndStoresConvergeInAnyOrder);
  CPPUNIT_TEST_SUITE_END();

 public:
  void OlderVersionChangesNothing() {
    ContractStore store(TestParser());
    store.Offer({"workshops", 5, false, "new"});
    const std::uint64_t hash = store.Hash();
    CPPUNIT_ASSERT(store.Offer({"workshops", 4, false, "old"}) ==
                   OfferOutcome::kOlder);
    CPPUNIT_ASSERT_EQUAL(ContractVersion{5},
                         store.Find("workshops")->active.version);
    CPPUNIT_ASSERT_EQUAL(hash, store.Hash());
  }

  void OlderVersionDoesNotReviveADeletedContract() {
    ContractStore store(TestParser());
    store.Offer({"workshops", 5, false, "text"});
    store.Offer({"workshops", 7, true, ""});
    CPPUNIT_ASSERT(!store.Services().FindByAddress({0x7F000001, 5683}));
    store.Offer({"workshops", 6, false, "older text"});
    CPPUNIT_ASSERT(!store.Find("workshops")->InForce());
    store.Offer({"workshops", 8, false, "text"});
    CPPUNIT_ASSERT(store.Find("workshops")->InForce());
  }

  void RejectedVersionLeavesThePreviousOneInForce() {
    ContractStore store(TestParser());
    store.Offer({"workshops", 5, false, "text"});
    CPPUNIT_ASSERT(store.Offer({"workshops", 6, false, "bad"}) ==
                   OfferOutcome::kRejected);
    const StoredContract* stored = store.Find("workshops");
    CPPUNIT_ASSERT_EQUAL(ContractVersion{5}, stored->active.version);
    CPPUNIT_ASSERT_EQUAL(ContractVersion{6}, stored->Newest());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, store.ValuesOf("workshops").size());
    store.Offer({"workshops", 7, false, "mended"});
    CPPUNIT_ASSERT(!stored->rejected);
    CPPUNIT_ASSERT_EQUAL(ContractVersion{7}, stored->active.version);
  }

  // Versions may arrive in any order. A valid version that is older than a
  // rejected one, but newer than the one in force, has to be applied.
  void ValidVersionBelowARejectedOneIsApplied() {
    ContractStore store(TestParser());
    store.Offer({"workshops", 6, false, "bad"});
    CPPUNIT_ASSERT(store.Offer({"workshops", 5, false, "text"}) ==
                   OfferOutcome::kApplied);
    CPPUNIT_ASSERT_EQUAL(ContractVersion{6}, store.NewestOf("workshops"));
    CPPUNIT_ASSERT(store.Services().FindByAddress({0x7F000001, 5683}));
  }

  // If two customers claim one address, all processes have to assign it to the
  // same customer, whichever contract they receive first.
  void SharedAddressBelongsToTheSameCustomerInAnyOrder() {
    const std::vector<ContractValue> values = {{"a", 1, false, "x"},
                                               {"b", 2, false, "y"}};
    ContractStore forward(TestParser());
    ContractStore backward(TestParser());
    forward.Offer(values[0]);
    forward.Offer(values[1]);
    backward.Offer(values[1]);
    backward.Offer(values[0]);
    for (const ContractStore* store : {&forward, &backward}) {
      const ServiceView view =
          store->Services().FindByAddress({0x7F000001, 5683});
      CPPUNIT_ASSERT_EQUAL(std::string("a"), view.active->contract.customer);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, store->Services().Conflicts());
    }
  }

  // Peers compare their stores in windows, from the newest versions to the
  // oldest ones. A gap between windows would hide a difference.
  void WindowsCoverAllVersionsOnce() {
    ContractStore store(TestParser());
    for (ContractVersion version = 1; version <= 100; ++version) {
      store.Offer({"c" + std::to_string(version), version * 3, false, "x"});
    }
    std::size_t seen = 0;
    ContractVersion until = ~ContractVersion{0};
    while (until > 0) {
      const DigestWindow window = store.WindowUpTo(until, 7);
      seen += window.entries.size();
      CPPUNIT_ASSERT(window.since < until);
      until = window.since;
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{100}, seen);
  }

  // Messages may be reordered, duplicated and lost: the version in force never
  // decreases, and two stores that received the same values have equal hashes.
  void VersionsNeverDecreaseAndStoresConvergeInAnyOrder() {
    setenv("RC_PARAMS", "seed=20261203", 0);
    const bool holds = rc::check([] {
      const auto count = *rc::gen::inRange(1, 30);
      std::vector<ContractValue> values;
      for (int i = 0; i < count; ++i) {
        const int kind = *rc::gen::inRange(0, 4);
        values.push_back({"c" + std::to_string(*rc::gen::inRange(0, 4)),
                          static_cast<ContractVersion>(i + 1), kind == 0,
                          kind == 0   ? ""
                          : kind == 1 ? "bad"
                                      : "text"});
      }
      std::vector<std::uint64_t> hashes;
      std::vector<ContractVersion> in_force;
      for (int store_number = 0; store_number < 2; ++store_number) {
        ContractStore store(TestParser());
        std::map<std::string, ContractVersion> last;
        auto order = *rc::gen::container<std::vector<std::size_t>>(
            60, rc::gen::inRange<std::size_t>(0, values.size()));
        for (std::size_t i = 0; i < values.size(); ++i) {
          order.push_back(i);
        }
        for (const std::size_t i : order) {
          store.Offer(values[i]);
          const StoredContract* stored = store.Find(values[i].customer);
          RC_ASSERT(stored->active.version >= last[values[i].customer]);
          last[values[i].customer] = stored->active.version;
        }
        hashes.push_back(store.Hash());
        ContractVersion sum = 0;
        for (const auto& [customer, stored] : store.All()) {
          sum = sum * 31 + stored.active.version;
        }
        in_force.push_back(sum);
      }
      RC_ASSERT(hashes[0] == hashes[1]);
      RC_ASSERT(in_force[0] == in_force[1]);
    });
    CPPUNIT_ASSERT(holds);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ContractStoreTest);

}  // namespace
}  // namespace cactuscross
