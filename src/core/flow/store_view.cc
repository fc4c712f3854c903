#include "src/core/flow/store_view.h"

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

}  // namespace

StoreView::StoreView(std::uint64_t seed, Duration flow_max_age)
    : flow_max_age(flow_max_age),
      route_reader(StoreSubject::kRoutes, seed),
      server_reader(StoreSubject::kServers, ~seed) {}

void StoreView::Tick(TimePoint now,
                     const std::vector<StoreAnswer>& answers,
                     FlowBalancerOutbox& outbox) {
  for (const StoreAnswer& answer : answers) {
    this->Apply(now, answer, outbox.events);
  }
  this->servers.Expire(now, this->flow_max_age);
  for (StoreReader* reader : {&this->route_reader, &this->server_reader}) {
    if (!this->reading) {
      break;
    }
    if (auto call = reader->NextCall(now)) {
      outbox.store_calls.push_back(std::move(*call));
    }
  }
}

void StoreView::SetReading(bool reading) {
  if (reading && !this->reading) {
    // Peers have supplied the changes meanwhile, but not a revision from which
    // the readers could continue to watch.
    this->route_reader.StartOver();
    this->server_reader.StartOver();
    this->listed.clear();
  }
  this->reading = reading;
}

void StoreView::ApplyRoutes(const RouteSet& routes,
                            std::string_view source,
                            std::vector<FlowEvent>& events) {
  if (!this->routes.Apply(routes)) {
    return;
  }
  FlowEvent event;
  event.kind = FlowEventKind::kRoutesInForce;
  event.version = routes.version;
  event.reason = source;
  event.count = static_cast<std::uint32_t>(routes.routes.size());
  events.push_back(std::move(event));
}

void StoreView::ApplyPeerServers(TimePoint now,
                                 const std::vector<ServerChange>& changes,
                                 std::uint64_t after_revision,
                                 std::uint64_t revision,
                                 std::vector<FlowEvent>& events) {
  for (const ServerChange& change : changes) {
    this->servers.Apply(now, change, events);
  }
  if (after_revision <= this->Version().servers_revision) {
    this->peer_revision = std::max(this->peer_revision, revision);
  }
}

ViewVersion StoreView::Version() const {
  ViewVersion view_version;
  view_version.routes_version = this->routes.Version();
  view_version.servers_revision =
      std::max(this->server_reader.CompleteRevision(), this->peer_revision);
  view_version.loaded =
      this->routes.IsLoaded() && view_version.servers_revision > 0;
  return view_version;
}

TimePoint StoreView::ConfirmedAt() const {
  return std::min(this->route_reader.AnsweredAt(),
                  this->server_reader.AnsweredAt());
}

StoreReader& StoreView::ReaderOf(StoreSubject subject) {
  return subject == StoreSubject::kRoutes ? this->route_reader
                                          : this->server_reader;
}

void StoreView::Apply(TimePoint now,
                      const StoreAnswer& answer,
                      std::vector<FlowEvent>& events) {
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
    this->ApplyRoutes(routes, "store", events);
  }
  if (answer.subject == StoreSubject::kServers &&
      answer.status == StoreStatus::kOk) {
    this->ApplyServers(now, answer, events);
  }
}

void StoreView::ApplyServers(TimePoint now,
                             const StoreAnswer& answer,
                             std::vector<FlowEvent>& events) {
  for (const ServerChange& change : answer.servers) {
    this->servers.Apply(now, change, events);
    if (answer.kind == StoreCallKind::kList) {
      this->listed.push_back(MakeServerKey(change.name));
    }
  }
  if (this->server_reader.FinishedList()) {
    this->servers.FinishList(now, this->listed,
                             this->server_reader.ListRevision(), events);
    this->listed.clear();
  }
}

}  // namespace cactuscross
