#include "src/core/flow/admission/space_saving_table.h"

#include <algorithm>

namespace cactuscross {

void SpaceSavingTable::Add(std::uint64_t key) {
  const auto found = this->counters.find(key);
  if (found != this->counters.end()) {
    ++found->second.count;
    return;
  }
  Counter counter{1, 0};
  if (this->counters.size() >= kMaxKeys) {
    // A scan of the table takes about a microsecond per placement.
    const auto smallest =
        std::min_element(this->counters.begin(), this->counters.end(),
                         [](const auto& a, const auto& b) {
                           return a.second.count < b.second.count;
                         });
    counter = {smallest->second.count + 1, smallest->second.count};
    this->counters.erase(smallest);
  }
  this->counters.emplace(key, counter);
}

void SpaceSavingTable::Subtract(std::uint64_t key) {
  const auto found = this->counters.find(key);
  if (found != this->counters.end() &&
      found->second.count > found->second.error) {
    --found->second.count;
  }
}

std::uint32_t SpaceSavingTable::CertainCount(std::uint64_t key) const {
  const auto found = this->counters.find(key);
  return found == this->counters.end()
             ? 0
             : found->second.count - found->second.error;
}

}  // namespace cactuscross
