#ifndef CACTUSCROSS_SRC_CORE_FLOW_VIEW_ZONE_ORDERS_H_
#define CACTUSCROSS_SRC_CORE_FLOW_VIEW_ZONE_ORDERS_H_

// Orders of the operator to evacuate availability zones: the newest one of each
// zone, whether it is in force or withdrawn, merged by position from the store
// and from peers.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "cactuscross/flow_event.h"
#include "cactuscross/flow_view.h"

namespace cactuscross {

// Maximum number of zones with an order. The design size is 17 zones; the limit
// bounds the state if the operator's keys name zones that don't exist.
inline constexpr std::size_t kMaxZoneOrders = 32;

class ZoneOrders {
 public:
  // Applies an order if it is newer than the one known for its zone.
  void Apply(const ZoneOrder& order, std::vector<FlowEvent>& events);

  // Applies an order that a peer knows. `read`: position up to which this
  // process has read all orders from the store; revision 0: none. An order at
  // or before `read` that the store did not confirm is out of date: it is
  // replaced by the state that was read, at the position `read`, which
  // corrects the peer as well.
  void ApplyFromPeer(TimePoint now,
                     const ZoneOrder& order,
                     const StorePosition& read,
                     std::vector<FlowEvent>& events);

  // Completes a full list of the store: withdraws the orders that are not in
  // `listed` and not newer than `position`. Those of an earlier era are
  // withdrawn after a grace period, in which the operator writes them again.
  void FinishList(TimePoint now,
                  const std::vector<std::string>& listed,
                  const StorePosition& position,
                  std::vector<FlowEvent>& events);

  // Withdraws the orders whose grace period is over.
  void Expire(TimePoint now, std::vector<FlowEvent>& events);

  bool IsEvacuated(std::string_view zone) const;
  // State of `zone` as this process knows it, at the latest position at which
  // it is known to hold. Position of revision 0: nothing is known.
  ZoneOrder StateOf(std::string_view zone, const StorePosition& read) const;

  std::vector<ZoneOrder> All() const;
  std::set<std::string> EvacuatedZones() const;
  // Orders for a digest, the newest first, as many as fit in it.
  std::vector<ZoneOrder> ForDigest() const;

  // Increases whenever an order or its position changes.
  std::uint64_t ChangeCount() const { return this->change_count; }

 private:
  struct Withdrawal {
    StorePosition position;
    TimePoint due_at;
  };
  struct Entry {
    ZoneOrder order;
    std::optional<Withdrawal> withdrawal;  // after the grace period
  };

  const Entry* Find(std::string_view zone) const;
  // Returns false if the table is full and no withdrawn order can be dropped.
  bool MakeRoom();
  void WithdrawAt(TimePoint now,
                  const ZoneOrder& order,
                  const StorePosition& position,
                  std::vector<FlowEvent>& events);

  std::map<std::string, Entry, std::less<>> entries;  // by zone
  std::uint64_t change_count = 0;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_VIEW_ZONE_ORDERS_H_
