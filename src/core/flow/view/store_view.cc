#include "src/core/flow/view/store_view.h"

#include <algorithm>
#include <string>
#include <utility>

namespace cactuscross {
namespace {

FlowEvent StoreEvent(FlowEventKind kind,
                     const StoreAnswer& answer,
                     std::uint32_t failures) {
  FlowEvent event;
  event.kind = kind;
  event.reason = answer.subject == StoreSubject::kRoutes ? "routes" : "servers";
  event.detail = answer.detail;
  event.version = answer.revision;
  event.count = failures;
  return event;
}

FlowEvent RoutesInForce(std::uint64_t version,
                        std::string_view source,
                        std::size_t count) {
  FlowEvent event;
  event.kind = FlowEventKind::kRoutesInForce;
  event.version = version;
  event.reason = source;
  event.count = static_cast<std::uint32_t>(count);
  return event;
}

}  // namespace

StoreView::StoreView(std::uint64_t seed,
                     Duration flow_max_age,
                     bool uses_zone_orders)
    : flow_max_age(flow_max_age),
      uses_zone_orders(uses_zone_orders),
      routes(flow_max_age),
      route_reader(StoreSubject::kRoutes, seed),
      server_reader(StoreSubject::kServers, ~seed) {}

void StoreView::Tick(TimePoint now,
                     const std::vector<StoreAnswer>& answers,
                     FlowBalancerOutbox& outbox) {
  for (const StoreAnswer& answer : answers) {
    this->Apply(now, answer, outbox.events);
  }
  this->zone_orders.Expire(now, outbox.events);
  this->UpdateEvacuatedZones(now);
  this->servers.Expire(now, this->flow_max_age);
  this->routes.Expire(now);
  for (StoreReader* reader : {&this->route_reader, &this->server_reader}) {
    if (!this->reading) {
      break;
    }
    if (auto call = reader->NextCall(now)) {
      outbox.store_calls.push_back(std::move(*call));
    }
  }
}

void StoreView::SetReading(bool reading, std::uint32_t retry_factor) {
  this->route_reader.SetRetryFactor(retry_factor);
  this->server_reader.SetRetryFactor(retry_factor);
  if (reading && !this->reading) {
    // Peers have supplied the changes meanwhile, but not a revision from which
    // the readers could continue to watch.
    this->route_reader.StartOver();
    this->server_reader.StartOver();
    this->ClearListed();
  }
  this->reading = reading;
}

void StoreView::ApplyRoutes(TimePoint now,
                            const RouteSet& routes,
                            std::string_view source,
                            std::vector<FlowEvent>& events) {
  if (this->routes.Apply(now, routes)) {
    events.push_back(
        RoutesInForce(routes.version, source, routes.routes.size()));
  }
  this->servers.SetRoutedServices(now, this->routes.AllServices(), events);
}

void StoreView::ApplyRouteChanges(TimePoint now,
                                  const RouteChanges& changes,
                                  std::vector<FlowEvent>& events) {
  if (this->routes.ApplyChanges(now, changes)) {
    events.push_back(
        RoutesInForce(changes.version, "peer", this->routes.Size()));
    events.back().detail = std::to_string(changes.routes.size()) + " changed";
  }
  this->servers.SetRoutedServices(now, this->routes.AllServices(), events);
}

void StoreView::ApplyPeerServers(TimePoint now,
                                 const std::vector<ServerChange>& changes,
                                 const StorePosition& after,
                                 const StorePosition& position,
                                 std::vector<FlowEvent>& events) {
  for (const ServerChange& change : changes) {
    this->servers.Apply(now, change, events);
  }
  if (after <= this->Version().servers) {
    this->peer_position = std::max(this->peer_position, position);
  }
  // Entries of an earlier era that a complete list of a later one lacks.
  this->servers.UnlistEarlierEras(now, this->Version().servers, events);
}

void StoreView::ApplyPeerZoneOrders(TimePoint now,
                                    const std::vector<ZoneOrder>& orders,
                                    std::vector<FlowEvent>& events) {
  if (!this->uses_zone_orders) {
    return;
  }
  for (const ZoneOrder& order : orders) {
    this->zone_orders.ApplyFromPeer(now, order, this->OrdersReadPosition(),
                                    events);
  }
}

ViewVersion StoreView::Version() const {
  ViewVersion view_version;
  view_version.routes_version = this->routes.Version();
  view_version.servers = std::max(this->ReadPosition(), this->peer_position);
  view_version.loaded =
      this->routes.IsLoaded() && view_version.servers.revision > 0;
  return view_version;
}

StorePosition StoreView::ReadPosition() const {
  return {this->servers_era, this->server_reader.CompleteRevision()};
}

StorePosition StoreView::OrdersReadPosition() const {
  return this->uses_zone_orders
             ? StorePosition{this->routes_era,
                             this->route_reader.CompleteRevision()}
             : StorePosition();
}

TimePoint StoreView::ConfirmedAt() const {
  return std::min(this->route_reader.ConfirmedAt(),
                  this->server_reader.ConfirmedAt());
}

StoreReader& StoreView::ReaderOf(StoreSubject subject) {
  return subject == StoreSubject::kRoutes ? this->route_reader
                                          : this->server_reader;
}

bool StoreView::CheckEra(const StoreAnswer& answer,
                         std::vector<FlowEvent>& events) {
  if (!answer.era) {
    const bool missing = answer.era_malformed ||
                         (this->era != 0 && answer.status == StoreStatus::kOk);
    if (missing && !this->era_missing) {
      events.push_back(StoreEvent(FlowEventKind::kStoreEraUnknown, answer, 0));
      events.back().version = this->era;
    }
    this->era_missing = this->era_missing || missing;
    return true;
  }
  this->era_missing = false;
  const std::uint64_t known = std::max(this->era, this->peer_position.era);
  if (*answer.era < known) {
    return false;
  }
  if (*answer.era > this->era) {
    const bool restored = this->era != 0 || this->ReadPosition().revision > 0;
    this->era = *answer.era;
    if (restored) {
      // What changed since the copy was made is not in its history.
      this->route_reader.StartOver();
      this->server_reader.StartOver();
      this->ClearListed();
      FlowEvent event;
      event.kind = FlowEventKind::kStoreRestored;
      event.version = this->era;
      event.detail = "read again from the start";
      events.push_back(std::move(event));
    }
  }
  return true;
}

void StoreView::Apply(TimePoint now,
                      const StoreAnswer& received,
                      std::vector<FlowEvent>& events) {
  StoreAnswer answer = received;
  if (!this->CheckEra(answer, events)) {
    // Counts as a failed call, so that the next one follows after a backoff.
    StoreAnswer discarded;
    discarded.subject = answer.subject;
    discarded.kind = answer.kind;
    discarded.generation = answer.generation;
    discarded.detail = "answer from era " + std::to_string(*answer.era);
    answer = std::move(discarded);
  }
  StoreReader& reader = this->ReaderOf(answer.subject);
  const bool was_reachable = reader.IsReachable();
  if (!reader.RecordAnswer(now, answer)) {
    return;
  }
  if (was_reachable != reader.IsReachable()) {
    events.push_back(StoreEvent(was_reachable ? FlowEventKind::kStoreUnreachable
                                              : FlowEventKind::kStoreReachable,
                                answer, reader.Failures()));
  }
  for (const std::string& name : answer.unreadable) {
    FlowEvent event;
    event.kind = FlowEventKind::kEntryUnreadable;
    event.server = name;
    event.version = answer.revision;
    events.push_back(std::move(event));
  }
  for (const RouteSet& routes : answer.routes) {
    this->ApplyRoutes(now, routes, "store", events);
  }
  if (answer.subject == StoreSubject::kServers &&
      answer.status == StoreStatus::kOk) {
    this->ApplyServers(now, answer, events);
  }
  this->ApplyZoneOrders(now, answer, events);
}

void StoreView::ApplyServers(TimePoint now,
                             const StoreAnswer& answer,
                             std::vector<FlowEvent>& events) {
  for (ServerChange change : answer.servers) {
    change.position.era = this->era;
    this->servers.Apply(now, change, events);
    if (answer.kind == StoreCallKind::kList) {
      this->listed.push_back(MakeServerKey(change.name));
    }
  }
  if (this->server_reader.FinishedList()) {
    this->servers_era = this->era;
    this->servers.FinishList(now, this->listed,
                             {this->era, this->server_reader.ListRevision()},
                             events);
    this->listed.clear();
  }
}

void StoreView::ApplyZoneOrders(TimePoint now,
                                const StoreAnswer& answer,
                                std::vector<FlowEvent>& events) {
  if (!this->uses_zone_orders || answer.subject != StoreSubject::kRoutes) {
    return;
  }
  if (answer.status == StoreStatus::kHistoryLost ||
      answer.status == StoreStatus::kMalformed) {
    this->listed_zones.clear();  // the list starts again
  }
  if (answer.status != StoreStatus::kOk) {
    return;
  }
  for (ZoneOrder order : answer.zone_orders) {
    order.position.era = this->era;
    this->zone_orders.Apply(order, events);
    if (answer.kind == StoreCallKind::kList) {
      this->listed_zones.push_back(order.zone);
    }
  }
  if (this->route_reader.FinishedList()) {
    this->routes_era = this->era;
    this->zone_orders.FinishList(now, this->listed_zones,
                                 {this->era, this->route_reader.ListRevision()},
                                 events);
    this->listed_zones.clear();
  }
}

void StoreView::UpdateEvacuatedZones(TimePoint now) {
  if (this->applied_orders == this->zone_orders.ChangeCount()) {
    return;
  }
  this->applied_orders = this->zone_orders.ChangeCount();
  this->servers.SetEvacuatedZones(now, this->zone_orders.EvacuatedZones());
}

void StoreView::ClearListed() {
  this->listed.clear();
  this->listed_zones.clear();
}

}  // namespace cactuscross
