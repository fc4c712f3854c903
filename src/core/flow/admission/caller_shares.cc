#include "src/core/flow/admission/caller_shares.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "cactuscross/flow_types.h"

namespace cactuscross {
namespace {

// Placements are counted over one to two epochs, 2 s at most: about the time in
// which a burst has to be recognized.
constexpr Duration kEpoch{1000000};

// A caller may always have this many placements within the counted time.
constexpr double kMinShare = 1.0;

// The number of requests of a caller varies. Callers that ask for their share
// on average are not limited while they are within two standard deviations of
// it (Poisson).
constexpr double kToleratedDeviations = 2.0;

constexpr unsigned kCallerBits = 32;

std::uint64_t MakeKey(ServiceId service, std::uint32_t caller) {
  return (std::uint64_t{ServiceTag(service)} << kCallerBits) | caller;
}

std::uint32_t TagOf(std::uint64_t key) {
  return static_cast<std::uint32_t>(key >> kCallerBits);
}

std::uint32_t CallerOf(std::uint64_t key) {
  return static_cast<std::uint32_t>(key);
}

}  // namespace

double FairShare(std::vector<double> demands, double capacity) {
  std::sort(demands.begin(), demands.end());
  std::size_t left = demands.size();
  for (const double demand : demands) {
    if (demand * static_cast<double>(left) > capacity) {
      return capacity / static_cast<double>(left);
    }
    capacity -= demand;
    --left;
  }
  return std::numeric_limits<double>::infinity();
}

void CallerShares::Advance(TimePoint now) {
  if (now - this->epoch_started_at < kEpoch) {
    return;
  }
  const bool is_next = now - this->epoch_started_at < 2 * kEpoch;
  this->tables[1].Swap(this->tables[0]);
  this->tables[0].Clear();
  if (!is_next) {
    this->tables[1].Clear();
  }
  this->epoch_started_at = now;
}

void CallerShares::NotePlaced(TimePoint now,
                              ServiceId service,
                              std::uint32_t caller) {
  this->Advance(now);
  this->tables[0].Add(MakeKey(service, caller));
}

void CallerShares::NoteReturned(ServiceId service, std::uint32_t caller) {
  this->tables[0].Subtract(MakeKey(service, caller));
}

std::uint32_t CallerShares::PlacedCount(std::uint64_t key) const {
  return this->tables[0].CertainCount(key) + this->tables[1].CertainCount(key);
}

void CallerShares::UpdateShare(TimePoint now,
                               ServiceId service,
                               const Waiting& waiting) {
  this->Advance(now);
  std::unordered_map<std::uint32_t, double> demands;
  double placed = 0;
  for (const SpaceSavingTable& table : this->tables) {
    table.ForEach([&](std::uint64_t key, std::uint32_t count) {
      if (TagOf(key) == ServiceTag(service)) {
        demands[CallerOf(key)] += count;
        placed += count;
      }
    });
  }
  for (const auto& [caller, count] : waiting) {
    demands[caller] += count;
  }
  std::vector<double> values;
  values.reserve(demands.size());
  for (const auto& [caller, demand] : demands) {
    values.push_back(demand);
  }
  const double share =
      std::max(FairShare(std::move(values), placed), kMinShare);
  this->shares[service] = share + kToleratedDeviations * std::sqrt(share);
}

bool CallerShares::HasReachedShare(ServiceId service,
                                   std::uint32_t caller) const {
  const auto found = this->shares.find(service);
  return found != this->shares.end() &&
         this->PlacedCount(MakeKey(service, caller)) >= found->second;
}

}  // namespace cactuscross
