#include "src/core/control/contract_store.h"

#include <iterator>

#include <xxhash.h>

#include "src/core/control/control_limits.h"

namespace cactuscross {

namespace {

std::uint64_t EntryHash(std::string_view customer, ContractVersion version) {
  return XXH3_64bits_withSeed(customer.data(), customer.size(), version);
}

}  // namespace

void ContractStore::KeepOnly(std::string_view customer) {
  this->subscribed_customer = std::string(customer);
}

OfferOutcome ContractStore::Offer(const ContractValue& value) {
  if (this->subscribed_customer &&
      *this->subscribed_customer != value.customer) {
    return OfferOutcome::kNotSubscribed;
  }
  const auto known = this->contracts.find(value.customer);
  if (known == this->contracts.end() && value.version <= this->evicted_up_to) {
    ++this->counts.older;
    return OfferOutcome::kOlder;
  }
  if (value.version == 0) {
    return OfferOutcome::kOlder;
  }
  StoredContract& stored = this->contracts[value.customer];
  if (stored.rejected && value.version == stored.rejected->version) {
    return OfferOutcome::kKnown;
  }
  if (value.version == stored.active.version) {
    const bool same =
        value.deleted == stored.deleted && value.text == stored.text;
    this->counts.conflicting += same ? 0 : 1;
    return OfferOutcome::kKnown;
  }
  if (value.version < stored.active.version) {
    ++this->counts.older;
    return OfferOutcome::kOlder;
  }
  const ContractVersion before = stored.Newest();
  const OfferOutcome outcome = this->Apply(stored, value);
  this->Reindex(value.customer, before, stored.Newest());
  this->EvictTombstones();
  return outcome;
}

OfferOutcome ContractStore::Apply(StoredContract& stored,
                                  const ContractValue& value) {
  Contract contract;
  if (!value.deleted) {
    auto parsed = this->parser(value.customer, value.text);
    if (!parsed) {
      return this->Reject(stored, value, std::move(parsed.error()));
    }
    contract = std::move(*parsed);
  }
  if (stored.InForce()) {
    this->services.Remove(stored.active);
  }
  if (stored.deleted) {
    this->tombstones.erase({stored.active.version, value.customer});
  }
  stored.active.contract = std::move(contract);
  stored.active.version = value.version;
  stored.active.fingerprint = XXH3_64bits(value.text.data(), value.text.size());
  stored.deleted = value.deleted;
  stored.text = value.text;
  if (stored.rejected && stored.rejected->version < value.version) {
    stored.rejected.reset();
  }
  if (stored.deleted) {
    this->tombstones.insert({value.version, value.customer});
  } else {
    this->services.Add(stored.active);
  }
  ++this->counts.applied;
  ++this->generation;
  return OfferOutcome::kApplied;
}

OfferOutcome ContractStore::Reject(StoredContract& stored,
                                   const ContractValue& value,
                                   Error error) {
  if (stored.rejected && stored.rejected->version > value.version) {
    ++this->counts.older;
    return OfferOutcome::kOlder;
  }
  stored.rejected =
      RejectedVersion{value.version, value.text, std::move(error)};
  ++this->counts.rejected;
  return OfferOutcome::kRejected;
}

void ContractStore::Reindex(const std::string& customer,
                            ContractVersion before,
                            ContractVersion after) {
  if (before == after) {
    return;
  }
  if (before > 0) {
    this->by_version.erase({before, customer});
    this->hash ^= EntryHash(customer, before);
  }
  this->by_version.insert({after, customer});
  this->hash ^= EntryHash(customer, after);
}

void ContractStore::EvictTombstones() {
  while (this->tombstones.size() > kMaxTombstones) {
    const auto [version, customer] = *this->tombstones.begin();
    this->tombstones.erase(this->tombstones.begin());
    const ContractVersion newest = this->NewestOf(customer);
    this->by_version.erase({newest, customer});
    this->hash ^= EntryHash(customer, newest);
    this->contracts.erase(customer);
    this->evicted_up_to = version;
  }
}

const StoredContract* ContractStore::Find(std::string_view customer) const {
  const auto found = this->contracts.find(customer);
  return found == this->contracts.end() ? nullptr : &found->second;
}

ContractVersion ContractStore::NewestOf(std::string_view customer) const {
  const StoredContract* stored = this->Find(customer);
  return stored == nullptr ? 0 : stored->Newest();
}

std::vector<ContractValue> ContractStore::ValuesOf(
    std::string_view customer) const {
  std::vector<ContractValue> values;
  const StoredContract* stored = this->Find(customer);
  if (stored == nullptr) {
    return values;
  }
  if (stored->active.version > 0) {
    values.push_back({std::string(customer), stored->active.version,
                      stored->deleted, stored->text});
  }
  if (stored->rejected) {
    values.push_back({std::string(customer), stored->rejected->version, false,
                      stored->rejected->text});
  }
  return values;
}

std::vector<ContractDigestEntry> ContractStore::EntriesIn(
    ContractVersion since,
    ContractVersion until) const {
  std::vector<ContractDigestEntry> entries;
  if (since >= until) {
    return entries;
  }
  auto entry = this->by_version.lower_bound({since + 1, std::string()});
  for (; entry != this->by_version.end() && entry->first <= until; ++entry) {
    entries.push_back({entry->second, entry->first});
  }
  return entries;
}

DigestWindow ContractStore::WindowUpTo(ContractVersion until,
                                       std::size_t count) const {
  auto oldest = this->by_version.lower_bound({until, std::string()});
  while (oldest != this->by_version.end() && oldest->first == until) {
    ++oldest;
  }
  std::size_t taken = 0;
  DigestWindow window;
  window.until = until;
  while (oldest != this->by_version.begin()) {
    const auto previous = std::prev(oldest);
    if (taken >= count && previous->first != oldest->first) {
      window.since = previous->first;
      break;
    }
    oldest = previous;
    ++taken;
  }
  window.entries = this->EntriesIn(window.since, until);
  return window;
}

ContractVersion ContractStore::Highest() const {
  return this->by_version.empty() ? 0 : this->by_version.rbegin()->first;
}

}  // namespace cactuscross
