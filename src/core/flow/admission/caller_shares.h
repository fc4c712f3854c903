#ifndef CACTUSCROSS_SRC_CORE_FLOW_ADMISSION_CALLER_SHARES_H_
#define CACTUSCROSS_SRC_CORE_FLOW_ADMISSION_CALLER_SHARES_H_

// Fair shares of the callers (client addresses) in the placements of a service.
// Load: a caller asks for many times its share among hundreds of others, and
// there are more callers than the table holds.

#include <array>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "cactuscross/types.h"
#include "src/core/flow/admission/space_saving_table.h"

namespace cactuscross {

// Max-min fair share: the largest number such that, if no demand gets more, all
// of them together get at most `capacity`. Infinite if `capacity` suffices.
double FairShare(std::vector<double> demands, double capacity);

class CallerShares {
 public:
  // Number of waiting openings by caller.
  using Waiting = std::unordered_map<std::uint32_t, std::uint32_t>;

  void NotePlaced(TimePoint now, ServiceId service, std::uint32_t caller);
  void NoteReturned(ServiceId service, std::uint32_t caller);

  // Computes the share in the placements of `service` from the placements and
  // the openings that wait for it.
  void UpdateShare(TimePoint now, ServiceId service, const Waiting& waiting);
  // Ends the limit of `service`, because no opening waits for it.
  void RemoveShare(ServiceId service) { this->shares.erase(service); }

  // True if the caller has got its share of the placements of the last one to
  // two seconds, and waiting callers have not.
  bool HasReachedShare(ServiceId service, std::uint32_t caller) const;

  std::size_t Size() const { return this->tables[0].Size(); }

 private:
  void Advance(TimePoint now);
  std::uint32_t PlacedCount(std::uint64_t key) const;

  // Placements of the current epoch and of the one before, by service and
  // caller (MakeKey()).
  std::array<SpaceSavingTable, 2> tables;
  TimePoint epoch_started_at{};
  std::unordered_map<ServiceId, double> shares;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_ADMISSION_CALLER_SHARES_H_
