#ifndef CACTUSCROSS_SRC_CORE_FLOW_ADMISSION_SPACE_SAVING_TABLE_H_
#define CACTUSCROSS_SRC_CORE_FLOW_ADMISSION_SPACE_SAVING_TABLE_H_

// Counts events by key in bounded memory (space-saving, Metwally et al. 2005).
// A new key replaces the one with the smallest count and takes over its count
// as a possible error. A key with more than one of `kMaxKeys` parts of all
// events is always in the table.

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace cactuscross {

class SpaceSavingTable {
 public:
  static constexpr std::size_t kMaxKeys = 1024;

  void Add(std::uint64_t key);
  // Takes back one event of `key`, if it is in the table.
  void Subtract(std::uint64_t key);
  // Number of events of `key` that are certain; 0 if it is not in the table.
  std::uint32_t CertainCount(std::uint64_t key) const;

  template <typename Visit>
  void ForEach(Visit visit) const {
    for (const auto& [key, counter] : this->counters) {
      visit(key, counter.count - counter.error);
    }
  }

  std::size_t Size() const { return this->counters.size(); }
  void Clear() { this->counters.clear(); }
  void Swap(SpaceSavingTable& other) { this->counters.swap(other.counters); }

 private:
  struct Counter {
    std::uint32_t count = 0;
    std::uint32_t error = 0;  // part of `count` that belongs to earlier keys
  };
  using Counters = std::unordered_map<std::uint64_t, Counter>;

  Counters counters;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_ADMISSION_SPACE_SAVING_TABLE_H_
