#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <utility>

#include "tests/support/flow_world_impl.h"

namespace cactuscross::testing {
namespace {

constexpr Duration kToBalancer{1000};
constexpr Duration kBetweenHosts{500};
constexpr Duration kReadinessInterval{500000};
constexpr std::uint32_t kBalancerNet = 0x0A010000;
constexpr std::uint32_t kServerNet = 0x0A020000;
// Each way of a slow link has a queue, as long as it takes this time to send.
constexpr Duration kLongestLinkQueue{500000};
constexpr std::size_t kDatagramHeads = 28;  // IP and UDP
constexpr std::size_t kNoticeBytes = 50;

}  // namespace

FlowWorld::Impl::Impl(FlowWorld& world, const FlowWorldShape& shape)
    : world(world), shape(shape) {}

void FlowWorld::Impl::Start() {
  LinkFaults faults;
  faults.delay = kBetweenHosts;
  this->world.link.SetFaults(faults);
  for (const FlowServiceShape& service : this->shape.services) {
    this->routes[service.port] = service.name;
  }
  this->PutRoutes();
  for (std::size_t i = 0; i < this->shape.services.size(); ++i) {
    for (std::uint32_t n = 0; n < this->shape.services[i].servers; ++n) {
      const std::size_t index = this->servers.size();
      this->servers.emplace_back();
      this->servers[index].service = i;
      this->servers[index].host =
          kServerNet + static_cast<std::uint32_t>(index) + 1;
      this->StartServer(index, "s" + std::to_string(index));
      // They have been up for a while: warm.
      this->servers[index].started_at -= kColdFor;
      this->StartAgent(index);
    }
  }
  for (std::uint32_t i = 0; i < this->shape.balancers; ++i) {
    this->balancers.emplace_back();
    this->balancers[i].host = kBalancerNet + i + 1;
    this->balancers[i].zone = i % this->shape.zones;
    this->StartBalancer(i);
  }
  this->TickAll();
  this->Readiness();
  for (std::size_t kind = 0; kind < this->shape.requests.size(); ++kind) {
    this->Schedule(kind);
  }
}

void FlowWorld::Impl::StartBalancer(std::size_t index) {
  Balancer& balancer = this->balancers[index];
  FlowBalancerSettings settings;
  settings.node.name = "b" + std::to_string(index);
  settings.node.zone = "z" + std::to_string(balancer.zone);
  settings.node.data = {balancer.host, 1};
  settings.control = {balancer.host, 3};
  settings.seeds = {{kBalancerNet + 1, 3}, {kBalancerNet + 2, 3}};
  balancer.core = std::make_unique<FlowBalancer>(
      settings, this->world.link.GetRandom().Next());
  balancer.ready = false;
  balancer.stopping = false;
  ++balancer.start;
}

void FlowWorld::Impl::StartAgent(std::size_t index) {
  Server& server = this->servers[index];
  FlowAgentSettings settings;
  settings.node.name = "a" + std::to_string(index);
  settings.node.data = {server.host, 1};
  settings.service = this->shape.services[server.service].name;
  settings.server = {server.host, 2};
  server.agent = std::make_unique<FlowAgent>(settings);
  ++server.agent_start;
}

void FlowWorld::Impl::StartServer(std::size_t index, std::string name) {
  Server& server = this->servers[index];
  server.name = std::move(name);
  server.up = true;
  server.silent = false;
  server.leaving = false;
  server.flows.clear();
  server.queue.clear();
  server.running = 0;
  server.started_at = this->world.link.Now();
  ++server.incarnation;
  this->PutEntry(index, false);
}

void FlowWorld::Impl::Readiness() {
  for (Balancer& balancer : this->balancers) {
    const bool ok = balancer.core != nullptr && balancer.ready;
    balancer.misses = ok ? 0 : balancer.misses + 1;
    if (ok || balancer.misses >= 2) {
      balancer.in_rotation = ok;
    }
  }
  this->world.link.Schedule(kReadinessInterval, [this] { this->Readiness(); });
}

void FlowWorld::Impl::TickAll() {
  for (std::size_t i = 0; i < this->balancers.size(); ++i) {
    this->TickBalancer(i, {});
  }
  for (std::size_t i = 0; i < this->servers.size(); ++i) {
    this->TickAgent(i, {});
  }
  this->world.link.Schedule(kTick, [this] { this->TickAll(); });
}

void FlowWorld::Impl::SendOver(std::size_t balancer,
                               LinkSide side,
                               std::size_t bytes,
                               Point peer,
                               const Link::Action& deliver) {
  Link& link = this->world.link;
  Balancer& owner = this->balancers[balancer];
  const Point own{owner.host};
  const Point from = side == LinkSide::kOut ? own : peer;
  const Point to = side == LinkSide::kOut ? peer : own;
  if (owner.bytes_per_second == 0) {
    link.Send(from, to, Transport::kDatagram, deliver);
    return;
  }
  TimePoint& free = owner.link_free[static_cast<std::size_t>(side)];
  const TimePoint begin = std::max(free, link.Now());
  if (begin - link.Now() > kLongestLinkQueue) {
    return;
  }
  free = begin +
         std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
             static_cast<double>(bytes + kDatagramHeads) /
             owner.bytes_per_second));
  link.Schedule(free - link.Now(), [&link, from, to, deliver] {
    link.Send(from, to, Transport::kDatagram, deliver);
  });
}

void FlowWorld::Impl::TickBalancer(std::size_t index, FlowBalancerInbox inbox) {
  Balancer& balancer = this->balancers[index];
  if (balancer.core == nullptr) {
    return;
  }
  Link& link = this->world.link;
  inbox.stop_requested = balancer.stopping;
  FlowBalancerOutbox outbox = balancer.core->Tick(link.Now(), inbox);
  balancer.ready = outbox.ready;
  const Point own{balancer.host};
  for (FlowForward& forward : outbox.forwards) {
    for (std::size_t i = 0; i < this->servers.size(); ++i) {
      if (this->servers[i].host != forward.destination.address) {
        continue;
      }
      this->SendOver(index, LinkSide::kOut, PacketBytes(forward.bytes),
                     Point{forward.destination.address},
                     [this, i, forward, host = balancer.host] {
                       FlowAgentInbox inbox;
                       inbox.from_balancers.push_back(Decode(forward.bytes));
                       inbox.from_balancers[0].mark = forward.mark;
                       inbox.from_balancers[0].sender = host;
                       this->TickAgent(i, inbox);
                     });
    }
  }
  for (const FlowReset& reset : outbox.resets) {
    link.Schedule(kToBalancer, [this, reset] { this->ResetAtClient(reset); });
  }
  for (OutgoingNotice& notice : outbox.notices) {
    for (std::size_t i = 0; i < this->servers.size(); ++i) {
      if (this->servers[i].host != notice.host) {
        continue;
      }
      notice.notice.sender = balancer.host;
      this->SendOver(index, LinkSide::kOut, kNoticeBytes, Point{notice.host},
                     [this, i, sent = notice.notice] {
                       FlowAgentInbox inbox;
                       inbox.notices.push_back(sent);
                       this->TickAgent(i, inbox);
                     });
    }
  }
  for (OutgoingGossip& outgoing : outbox.gossip) {
    for (std::size_t i = 0; i < this->balancers.size(); ++i) {
      if (this->balancers[i].host != outgoing.destination.address) {
        continue;
      }
      link.Send(own, Point{outgoing.destination.address}, Transport::kDatagram,
                [this, i, sent = outgoing.message] {
                  FlowBalancerInbox inbox;
                  inbox.gossip.push_back(sent);
                  this->TickBalancer(i, std::move(inbox));
                });
    }
  }
  for (const StoreCall& call : outbox.store_calls) {
    this->Call(index, call);
  }
  this->NoteEvents("b" + std::to_string(index), outbox.events);
  if (outbox.may_exit) {
    balancer.core.reset();
    balancer.ready = false;
    link.Schedule(kReadinessInterval,
                  [this, index] { this->StartBalancer(index); });
  }
}

void FlowWorld::Impl::TickAgent(std::size_t index,
                                const FlowAgentInbox& inbox) {
  Server& server = this->servers[index];
  if (server.agent == nullptr) {
    return;
  }
  Link& link = this->world.link;
  const FlowAgentOutbox outbox = server.agent->Tick(link.Now(), inbox);
  for (const FlowForward& forward : outbox.to_server) {
    link.Schedule(kOnHost, [this, index, forward] {
      this->AtServer(index, forward.bytes, forward.mark);
    });
  }
  for (const FlowForward& forward : outbox.to_clients) {
    link.Send(Point{server.host}, Point{kClientNet}, Transport::kDatagram,
              [this, bytes = forward.bytes] { this->ToClient(bytes); });
  }
  for (const FlowReset& reset : outbox.resets) {
    link.Schedule(kToBalancer, [this, reset] { this->ResetAtClient(reset); });
  }
  for (const OutgoingNotice& notice : outbox.notices) {
    for (std::size_t i = 0; i < this->balancers.size(); ++i) {
      if (this->balancers[i].host != notice.host) {
        continue;
      }
      FlowNotice sent = notice.notice;
      sent.sender = server.host;
      const std::size_t packet =
          sent.packet.empty() ? 0 : PacketBytes(sent.packet);
      this->SendOver(i, LinkSide::kIn, kNoticeBytes + packet,
                     Point{server.host}, [this, i, sent] {
                       FlowBalancerInbox inbox;
                       inbox.notices.push_back(sent);
                       this->TickBalancer(i, std::move(inbox));
                     });
    }
  }
  this->NoteEvents("a" + std::to_string(index), outbox.events);
  if (outbox.probe) {
    const ProbeResult result = server.up       ? ProbeResult::kAccepted
                               : server.silent ? ProbeResult::kTimedOut
                                               : ProbeResult::kRefused;
    const Duration after =
        result == ProbeResult::kTimedOut ? Duration{150000} : kOnHost;
    link.Schedule(after, [this, index, result, start = server.agent_start] {
      if (this->servers[index].agent_start == start) {
        FlowAgentInbox inbox;
        inbox.probe = result;
        this->TickAgent(index, inbox);
      }
    });
  }
}

void FlowWorld::Impl::NoteEvents(const std::string& process,
                                 const std::vector<FlowEvent>& noted) {
  static const bool trace = std::getenv("CACTUSCROSS_FLOW_TRACE") != nullptr;
  for (const FlowEvent& event : noted) {
    ++this->events.at(static_cast<std::size_t>(event.kind));
    if (trace) {
      std::clog << this->world.link.Now().time_since_epoch().count() << " "
                << process << " " << NameOf(event.kind) << " "
                << (event.flow ? ToString(*event.flow) : "") << " "
                << event.server << " " << event.reason << " "
                << event.count.value_or(0) << "\n";
    }
  }
}

}  // namespace cactuscross::testing
