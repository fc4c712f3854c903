#ifndef CACTUSCROSS_SRC_CORE_CONTROL_CONTRACT_STORE_H_
#define CACTUSCROSS_SRC_CORE_CONTROL_CONTRACT_STORE_H_

// The contracts that one process has. The version of each customer only rises;
// a deletion stays as a tombstone; a version that does not parse is remembered
// while the last good one stays in force.

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
  ActiveContract active;  // version 0: none yet
  bool deleted = false;   // `active.version` is that of the deletion
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
  kKnown,          // the same version is here
  kOlder,          // an older version, ignored
  kNotSubscribed,  // of a customer that this process does not need
};

// Counts of offers by outcome, and of equal versions with unequal texts.
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

  // Keeps only the contract of `customer` from now on.
  void KeepOnly(std::string_view customer);

  OfferOutcome Offer(const ContractValue& value);

  // Returns nullptr for a customer never heard of.
  const StoredContract* Find(std::string_view customer) const;

  // Newest version known of `customer`, rejected ones included; 0 if none.
  ContractVersion NewestOf(std::string_view customer) const;

  // Values to send to a process without the contract: the one in force, then a
  // newer rejected one, which another release may accept.
  std::vector<ContractValue> ValuesOf(std::string_view customer) const;

  // Entries with versions in (since, until].
  std::vector<ContractDigestEntry> EntriesIn(ContractVersion since,
                                             ContractVersion until) const;

  // The `count` newest entries up to `until`, at least, as a window.
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

  // Rises with each change of what is in force.
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
  // Newest tombstone dropped for space; unknown customers with versions up to
  // it are taken for deleted.
  ContractVersion evicted_up_to = 0;
  ServiceIndex services;
  std::uint64_t hash = 0;
  std::uint64_t generation = 0;
  StoreCounts counts;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_CONTROL_CONTRACT_STORE_H_
