#include "src/core/flow/view/zone_orders.h"

#include <algorithm>
#include <utility>

namespace cactuscross {
namespace {

// After the store has come back from an older copy, the operator writes again
// what the copy lacks. Equals the grace period of servers' entries.
constexpr Duration kRewriteGrace{2000000};

// Bytes of a digest for orders. With the other fields, up to 300 bytes, it
// stays below 1,400 bytes.
constexpr std::size_t kMaxDigestBytes = 1000;
// Encoded size of an order without the name of its zone, at most.
constexpr std::size_t kOrderBytes = 28;

}  // namespace

const ZoneOrders::Entry* ZoneOrders::Find(std::string_view zone) const {
  const auto found = this->entries.find(zone);
  return found == this->entries.end() ? nullptr : &found->second;
}

bool ZoneOrders::MakeRoom() {
  if (this->entries.size() < kMaxZoneOrders) {
    return true;
  }
  auto oldest = this->entries.end();
  for (auto entry = this->entries.begin(); entry != this->entries.end();
       ++entry) {
    const ZoneOrder& order = entry->second.order;
    if (!order.evacuated && (oldest == this->entries.end() ||
                             order.position < oldest->second.order.position)) {
      oldest = entry;
    }
  }
  if (oldest == this->entries.end()) {
    return false;
  }
  this->entries.erase(oldest);
  return true;
}

void ZoneOrders::Apply(const ZoneOrder& order, std::vector<FlowEvent>& events) {
  const Entry* known = this->Find(order.zone);
  if (known == nullptr ? !this->MakeRoom()
                       : order.position <= known->order.position) {
    return;
  }
  const bool was_evacuated = this->IsEvacuated(order.zone);
  this->entries[order.zone] = {order, std::nullopt};
  ++this->change_count;
  if (was_evacuated == order.evacuated) {
    return;
  }
  FlowEvent event;
  event.kind = order.evacuated ? FlowEventKind::kZoneEvacuated
                               : FlowEventKind::kZoneReturned;
  event.zone = order.zone;
  event.version = order.position.revision;
  events.push_back(std::move(event));
}

void ZoneOrders::ApplyFromPeer(TimePoint now,
                               const ZoneOrder& order,
                               const StorePosition& read,
                               std::vector<FlowEvent>& events) {
  const Entry* known = this->Find(order.zone);
  const bool evacuated = this->IsEvacuated(order.zone);
  const bool newer = known == nullptr || order.position > known->order.position;
  const bool covered = read.revision > 0 && order.position <= read;
  const bool withdrawal_due = known != nullptr && known->withdrawal;
  const bool in_force_as_read = evacuated && !withdrawal_due;
  if (!newer || !covered || order.evacuated == in_force_as_read) {
    this->Apply(order, events);
  } else if (!order.evacuated) {
    this->Apply({order.zone, true, read}, events);
  } else if (!withdrawal_due) {
    this->WithdrawAt(now, order, read, events);
  }
}

void ZoneOrders::WithdrawAt(TimePoint now,
                            const ZoneOrder& order,
                            const StorePosition& position,
                            std::vector<FlowEvent>& events) {
  if (order.position.era == position.era) {
    this->Apply({order.zone, false, position}, events);
    return;
  }
  this->Apply(order, events);
  const auto entry = this->entries.find(order.zone);
  if (entry != this->entries.end() && !entry->second.withdrawal) {
    entry->second.withdrawal = {position, now + kRewriteGrace};
  }
}

void ZoneOrders::FinishList(TimePoint now,
                            const std::vector<std::string>& listed,
                            const StorePosition& position,
                            std::vector<FlowEvent>& events) {
  for (const ZoneOrder& order : this->All()) {
    const bool is_listed =
        std::find(listed.begin(), listed.end(), order.zone) != listed.end();
    if (order.evacuated && !is_listed && order.position <= position) {
      this->WithdrawAt(now, order, position, events);
    }
  }
}

void ZoneOrders::Expire(TimePoint now, std::vector<FlowEvent>& events) {
  for (const auto& [zone, entry] : this->entries) {
    if (entry.withdrawal && now >= entry.withdrawal->due_at) {
      // Replaces the entry, but keeps its place in the map.
      this->Apply({zone, false, entry.withdrawal->position}, events);
    }
  }
}

bool ZoneOrders::IsEvacuated(std::string_view zone) const {
  const Entry* entry = this->Find(zone);
  return entry != nullptr && entry->order.evacuated;
}

ZoneOrder ZoneOrders::StateOf(std::string_view zone,
                              const StorePosition& read) const {
  const Entry* entry = this->Find(zone);
  if (entry == nullptr) {
    return {std::string(zone), false, read};
  }
  ZoneOrder state = entry->order;
  // During the grace period the store's answer differs from the state.
  if (!entry->withdrawal) {
    state.position = std::max(state.position, read);
  }
  return state;
}

std::vector<ZoneOrder> ZoneOrders::All() const {
  std::vector<ZoneOrder> all;
  all.reserve(this->entries.size());
  for (const auto& [zone, entry] : this->entries) {
    all.push_back(entry.order);
  }
  return all;
}

std::set<std::string> ZoneOrders::EvacuatedZones() const {
  std::set<std::string> zones;
  for (const auto& [zone, entry] : this->entries) {
    if (entry.order.evacuated) {
      zones.insert(zone);
    }
  }
  return zones;
}

std::vector<ZoneOrder> ZoneOrders::ForDigest() const {
  std::vector<ZoneOrder> orders = this->All();
  std::sort(orders.begin(), orders.end(),
            [](const ZoneOrder& a, const ZoneOrder& b) {
              return a.position > b.position;
            });
  std::size_t bytes = 0;
  const auto end = std::find_if(orders.begin(), orders.end(),
                                [&bytes](const ZoneOrder& order) {
                                  bytes += order.zone.size() + kOrderBytes;
                                  return bytes > kMaxDigestBytes;
                                });
  orders.erase(end, orders.end());
  return orders;
}

}  // namespace cactuscross
