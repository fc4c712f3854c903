#ifndef CACTUSCROSS_SRC_CORE_CONTROL_CONTRACT_STORE_H_
#define CACTUSCROSS_SRC_CORE_CONTROL_CONTRACT_STORE_H_

// The contracts known to one process. The version of each customer's contract
// never decreases. A deleted contract leaves a tombstone. A version that does
// not parse is stored as rejected while the last valid one stays in force.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cactuscross/contract.h"
#include "cactuscross/peer_message.h"
#include "src/core/control/control_plane.h"
#include "src/core/control/service_index.h"

namespace cactuscross {

// A version that did not parse.
struct RejectedVersion {
  ContractVersion version = 0;
  std::string text;
  Error error;
};

struct StoredContract {
  ActiveContract active;  // version 0: no valid version yet
  bool deleted = false;   // tombstone; `active.version` is its version
  std::string text;       // of the version in force
  std::optional<RejectedVersion> rejected;  // newer than the one in force

  bool InForce() const { return this->active.version > 0 && !this->deleted; }
  ContractVersion Newest() const {
    return this->rejected ? this->rejected->version : this->active.version;
  }
};

enum class OfferOutcome : std::uint8_t {
  kApplied,        // in force now
  kRejected,       // newer, but does not parse
  kKnown,          // the same version is stored already
  kOlder,          // an older version, ignored
  kNotSubscribed,  // of a customer that this process does not need
};

// Counts of offers by outcome. `conflicting` counts offers of a stored version
// with a different text.
struct StoreCounts {
  std::uint64_t applied = 0;
  std::uint64_t rejected = 0;
  std::uint64_t older = 0;
  std::uint64_t conflicting = 0;
};

// Entries of all contracts with versions in (since, until].
struct DigestWindow {
  ContractVersion since = 0;
  ContractVersion until = 0;
  std::vector<ContractDigestEntry> entries;
};

class ContractStore {
 public:
  explicit ContractStore(ContractParser parser) : parser(std::move(parser)) {}

  // Ignores offers of contracts of all customers but `customer` from now on.
  void KeepOnly(std::string_view customer);

  // Stores `value` if it is newer than the version in force of its customer.
  OfferOutcome Offer(const ContractValue& value);

  // Returns nullptr for an unknown customer.
  const StoredContract* Find(std::string_view customer) const;

  // Returns the newest known version of `customer`, including rejected ones; 0
  // if none.
  ContractVersion NewestOf(std::string_view customer) const;

  // Returns the values to send to a process that lacks the contract: the
  // version in force, then a newer rejected one, which another release may
  // accept.
  std::vector<ContractValue> ValuesOf(std::string_view customer) const;

  // Returns the entries with versions in (since, until].
  std::vector<ContractDigestEntry> EntriesIn(ContractVersion since,
                                             ContractVersion until) const;

  // Returns a window with at least the `count` newest entries up to `until`.
  // Entries of equal version are not split.
  DigestWindow WindowUpTo(ContractVersion until, std::size_t count) const;

  // Order-independent hash over customers and their newest versions.
  std::uint64_t Hash() const { return this->hash; }
  ContractVersion Highest() const;
  std::size_t Size() const { return this->contracts.size(); }
  const std::map<std::string, StoredContract, std::less<>>& All() const {
    return this->contracts;
  }
  const ServiceIndex& Services() const { return this->services; }
  const StoreCounts& Counts() const { return this->counts; }

  // Increases with each change of the contracts in force.
  std::uint64_t Generation() const { return this->generation; }

 private:
  OfferOutcome Apply(StoredContract& stored, const ContractValue& value);
  OfferOutcome Reject(StoredContract& stored,
                      const ContractValue& value,
                      Error error);
  void Reindex(const std::string& customer,
               ContractVersion before,
               ContractVersion after);
  void EvictTombstones();

  ContractParser parser;
  std::optional<std::string> subscribed_customer;
  std::map<std::string, StoredContract, std::less<>> contracts;
  std::set<std::pair<ContractVersion, std::string>> by_version;
  std::set<std::pair<ContractVersion, std::string>> tombstones;
  // Version of the newest evicted tombstone. Offers of unknown customers with a
  // version up to this one are ignored, since the contract may be deleted.
  ContractVersion evicted_up_to = 0;
  ServiceIndex services;
  std::uint64_t hash = 0;
  std::uint64_t generation = 0;
  StoreCounts counts;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_CONTROL_CONTRACT_STORE_H_
