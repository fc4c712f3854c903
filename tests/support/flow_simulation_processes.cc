#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <utility>

#include "src/wire/flow_codec.h"
#include "tests/support/flow_simulation_impl.h"

namespace cactuscross::testing {
namespace {

// Durations in microseconds.
constexpr Duration kResetDelay{1000};  // from a process to the client
constexpr Duration kHostToHostDelay{500};
constexpr Duration kReadinessInterval{500000};  // between readiness checks
constexpr std::uint32_t kBalancerNetwork = 0x0A010000;  // 10.1.0.0
constexpr std::uint32_t kServerNetwork = 0x0A020000;    // 10.2.0.0
// Each direction of a rate-limited link has a queue that holds what the link
// sends in this time.
constexpr Duration kMaxLinkQueueTime{500000};
constexpr std::size_t kIpUdpHeaderBytes = 28;
constexpr std::size_t kNoticeBytes = 50;  // without packet and lookups

}  // namespace

FlowSimulation::Impl::Impl(FlowSimulation& simulation,
                           const FlowSimulationConfig& config)
    : simulation(simulation), config(config) {}

void FlowSimulation::Impl::Start() {
  LinkFaults faults;
  faults.delay = kHostToHostDelay;
  this->simulation.link.SetFaults(faults);
  for (const FlowServiceConfig& service : this->config.services) {
    if (service.port != 0) {
      this->routes[service.port] = {{service.name, 1}};
    }
  }
  for (const FlowRequestConfig& request : this->config.requests) {
    if (request.port != 0) {
      this->routes[request.port] = {
          {this->config.services[request.service].name, 1}};
    }
  }
  if (this->config.routes_delay == Duration{0}) {
    this->PutRoutes();
  } else {
    this->simulation.link.Schedule(this->config.routes_delay,
                                   [this] { this->PutRoutes(); });
  }
  for (std::size_t i = 0; i < this->config.services.size(); ++i) {
    for (std::uint32_t n = 0; n < this->config.services[i].servers; ++n) {
      const std::size_t index = this->servers.size();
      this->servers.emplace_back();
      this->servers[index].service = i;
      this->servers[index].host =
          kServerNetwork + static_cast<std::uint32_t>(index) + 1;
      this->StartServer(index, "s" + std::to_string(index));
      // The first servers are past their warm-up.
      this->servers[index].warm_at = this->simulation.link.Now();
      this->StartAgent(index);
    }
  }
  for (std::uint32_t i = 0; i < this->config.balancers; ++i) {
    this->balancers.emplace_back();
    this->balancers[i].host = kBalancerNetwork + i + 1;
    this->balancers[i].zone = i % this->config.zones;
    this->StartBalancer(i);
  }
  this->TickAll();
  this->CheckReadiness();
  for (std::size_t kind = 0; kind < this->config.requests.size(); ++kind) {
    this->ScheduleRequests(kind);
  }
}

void FlowSimulation::Impl::StartBalancer(std::size_t index) {
  Balancer& balancer = this->balancers[index];
  FlowBalancerSettings settings;
  settings.node.name = "b" + std::to_string(index);
  settings.node.zone = "z" + std::to_string(balancer.zone);
  settings.node.data = {balancer.host, 1};
  settings.node.evacuation_bound = this->config.evacuation_bound;
  settings.node.warmup_overshoot = this->config.warmup_overshoot;
  settings.node.warmup_slack = this->config.warmup_slack;
  settings.control = {balancer.host, 3};
  settings.batched_lookup = this->config.batched_lookup;
  settings.priority_admission = this->config.priority_admission;
  settings.seeds = {{kBalancerNetwork + 1, 3}, {kBalancerNetwork + 2, 3}};
  balancer.core = std::make_unique<FlowBalancer>(
      settings, this->simulation.link.GetRandom().Next());
  balancer.ready = false;
  balancer.stopping = false;
  ++balancer.start_count;
}

void FlowSimulation::Impl::StartAgent(std::size_t index) {
  Server& server = this->servers[index];
  FlowAgentSettings settings;
  settings.node.name = "a" + std::to_string(index);
  settings.node.zone = "z" + std::to_string(index % this->config.zones);
  settings.node.data = {server.host, 1};
  settings.node.warmup_overshoot = this->config.warmup_overshoot;
  settings.node.warmup_slack = this->config.warmup_slack;
  settings.service = this->config.services[server.service].name;
  settings.server = {server.host, 2};
  server.agent = std::make_unique<FlowAgent>(settings);
  ++server.agent_start_count;
}

void FlowSimulation::Impl::StartServer(std::size_t index, std::string name) {
  Server& server = this->servers[index];
  server.name = std::move(name);
  server.up = true;
  server.silent = false;
  server.leaving = false;
  server.flows.clear();
  server.queue.clear();
  server.running = 0;
  server.started_at = this->simulation.link.Now();
  server.warm_at = server.started_at + kWarmupTime;
  ++server.incarnation;
  this->PutEntry(index, false);
}

// Routers check the readiness of balancers. A balancer leaves the rotation
// after two failed checks in a row and returns after one that succeeds.
void FlowSimulation::Impl::CheckReadiness() {
  for (Balancer& balancer : this->balancers) {
    const bool ok = balancer.core != nullptr && balancer.ready;
    balancer.consecutive_failures = ok ? 0 : balancer.consecutive_failures + 1;
    if (ok || balancer.consecutive_failures >= 2) {
      balancer.in_rotation = ok;
    }
  }
  this->simulation.link.Schedule(kReadinessInterval,
                                 [this] { this->CheckReadiness(); });
}

void FlowSimulation::Impl::TickAll() {
  for (std::size_t i = 0; i < this->balancers.size(); ++i) {
    this->TickBalancer(i, {});
  }
  for (std::size_t i = 0; i < this->servers.size(); ++i) {
    this->TickAgent(i, {});
  }
  this->simulation.link.Schedule(kTickInterval, [this] { this->TickAll(); });
}

void FlowSimulation::Impl::SendOverLink(std::size_t balancer,
                                        LinkDirection direction,
                                        std::size_t bytes,
                                        LinkEnd peer,
                                        const Link::Action& deliver) {
  Link& link = this->simulation.link;
  Balancer& owner = this->balancers[balancer];
  const LinkEnd own_end{owner.host};
  const LinkEnd from = direction == LinkDirection::kOutbound ? own_end : peer;
  const LinkEnd to = direction == LinkDirection::kOutbound ? peer : own_end;
  if (owner.bytes_per_second == 0) {
    link.Send(from, to, Transport::kDatagram, deliver);
    return;
  }
  TimePoint& free_at = owner.link_free_at[static_cast<std::size_t>(direction)];
  const TimePoint send_at = std::max(free_at, link.Now());
  if (send_at - link.Now() > kMaxLinkQueueTime) {
    return;
  }
  free_at = send_at +
            std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
                static_cast<double>(bytes + kIpUdpHeaderBytes) /
                owner.bytes_per_second));
  link.Schedule(free_at - link.Now(), [&link, from, to, deliver] {
    link.Send(from, to, Transport::kDatagram, deliver);
  });
}

std::size_t FlowSimulation::Impl::CountSearchBytes(std::size_t bytes) {
  this->search_bytes += bytes + kIpUdpHeaderBytes;
  return bytes;
}

std::size_t FlowSimulation::Impl::NoticeBytes(const FlowNotice& notice) {
  const std::size_t packet =
      notice.packet.empty() ? 0 : PacketBytes(notice.packet);
  const std::size_t bytes = notice.lookups.empty()
                                ? kNoticeBytes + packet
                                : EncodeFlowNotice(notice).size();
  switch (notice.kind) {
    case NoticeKind::kLookup:
    case NoticeKind::kLookupReply:
    case NoticeKind::kHeld:
    case NoticeKind::kNotHeld:
    case NoticeKind::kRelay:
      return this->CountSearchBytes(bytes);
    default:
      return bytes;
  }
}

bool FlowSimulation::Impl::IsLost(const FlowNotice& notice) const {
  return (notice.kind == NoticeKind::kLookup &&
          this->lookup_fault == LookupFault::kLookups) ||
         (notice.kind == NoticeKind::kLookupReply &&
          this->lookup_fault == LookupFault::kReplies);
}

void FlowSimulation::Impl::TickBalancer(std::size_t index,
                                        FlowBalancerInbox inbox) {
  Balancer& balancer = this->balancers[index];
  if (balancer.core == nullptr) {
    return;
  }
  Link& link = this->simulation.link;
  inbox.stop_requested = balancer.stopping;
  FlowBalancerOutbox outbox = balancer.core->Tick(link.Now(), inbox);
  balancer.ready = outbox.ready;
  const LinkEnd own_end{balancer.host};
  for (FlowForward& forward : outbox.forwards) {
    for (std::size_t i = 0; i < this->servers.size(); ++i) {
      if (this->servers[i].host != forward.destination.address) {
        continue;
      }
      const std::size_t bytes = PacketBytes(forward.bytes);
      if (forward.mark.purpose == MarkPurpose::kSearch) {
        this->CountSearchBytes(bytes);
      }
      this->SendOverLink(
          index, LinkDirection::kOutbound, bytes,
          LinkEnd{forward.destination.address},
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
    link.Schedule(kResetDelay,
                  [this, reset] { this->DeliverResetToClient(reset); });
  }
  for (OutgoingNotice& notice : outbox.notices) {
    for (std::size_t i = 0; i < this->servers.size(); ++i) {
      if (this->servers[i].host != notice.host || this->IsLost(notice.notice)) {
        continue;
      }
      notice.notice.sender = balancer.host;
      this->SendOverLink(index, LinkDirection::kOutbound,
                         this->NoticeBytes(notice.notice), LinkEnd{notice.host},
                         [this, i, sent = notice.notice] {
                           FlowAgentInbox inbox;
                           inbox.notices.push_back(sent);
                           this->TickAgent(i, inbox);
                         });
    }
  }
  for (OutgoingGossip& outgoing : outbox.gossip) {
    for (std::size_t i = 0; i < this->balancers.size(); ++i) {
      if (this->balancers[i].host != outgoing.destination.address ||
          this->balancers[i].isolated || balancer.isolated) {
        continue;
      }
      link.Send(own_end, LinkEnd{outgoing.destination.address},
                Transport::kDatagram, [this, i, sent = outgoing.message] {
                  FlowBalancerInbox inbox;
                  inbox.gossip.push_back(sent);
                  this->TickBalancer(i, std::move(inbox));
                });
    }
  }
  for (const StoreCall& call : outbox.store_calls) {
    this->CallStore(index, call);
  }
  this->RecordEvents("b" + std::to_string(index), outbox.events);
  if (outbox.may_exit) {
    balancer.core.reset();
    balancer.ready = false;
    link.Schedule(kReadinessInterval,
                  [this, index] { this->StartBalancer(index); });
  }
}

void FlowSimulation::Impl::RelayToAgent(std::size_t index,
                                        const FlowForward& forward) {
  const std::uint32_t sender = this->servers[index].host;
  for (std::size_t i = 0; i < this->servers.size(); ++i) {
    if (this->servers[i].host == forward.destination.address) {
      this->simulation.link.Send(
          LinkEnd{sender}, LinkEnd{forward.destination.address},
          Transport::kDatagram, [this, i, forward, sender] {
            FlowAgentInbox inbox;
            inbox.from_balancers.push_back(Decode(forward.bytes));
            inbox.from_balancers[0].mark = forward.mark;
            inbox.from_balancers[0].sender = sender;
            this->TickAgent(i, inbox);
          });
    }
  }
}

void FlowSimulation::Impl::NotifyAgents(std::uint32_t host,
                                        const FlowNotice& notice) {
  for (std::size_t i = 0; i < this->servers.size(); ++i) {
    if (this->servers[i].host == host) {
      this->simulation.link.Send(LinkEnd{notice.sender}, LinkEnd{host},
                                 Transport::kDatagram, [this, i, notice] {
                                   FlowAgentInbox inbox;
                                   inbox.notices.push_back(notice);
                                   this->TickAgent(i, inbox);
                                 });
    }
  }
}

void FlowSimulation::Impl::TickAgent(std::size_t index,
                                     const FlowAgentInbox& inbox) {
  Server& server = this->servers[index];
  if (server.agent == nullptr) {
    return;
  }
  Link& link = this->simulation.link;
  const FlowAgentOutbox outbox = server.agent->Tick(link.Now(), inbox);
  for (const FlowForward& forward : outbox.to_server) {
    link.Schedule(kLoopbackDelay, [this, index, forward] {
      this->DeliverToServer(index, forward.bytes, forward.mark);
    });
  }
  for (const FlowForward& forward : outbox.to_clients) {
    link.Send(LinkEnd{server.host}, LinkEnd{kClientNetwork},
              Transport::kDatagram,
              [this, bytes = forward.bytes] { this->DeliverToClient(bytes); });
  }
  for (const FlowForward& forward : outbox.to_agents) {
    this->RelayToAgent(index, forward);
  }
  for (const FlowReset& reset : outbox.resets) {
    link.Schedule(kResetDelay,
                  [this, reset] { this->DeliverResetToClient(reset); });
  }
  for (const OutgoingNotice& notice : outbox.notices) {
    FlowNotice sent = notice.notice;
    sent.sender = server.host;
    this->NotifyAgents(notice.host, sent);
    for (std::size_t i = 0; i < this->balancers.size(); ++i) {
      if (this->balancers[i].host != notice.host ||
          this->IsLost(notice.notice)) {
        continue;
      }
      this->SendOverLink(i, LinkDirection::kInbound, this->NoticeBytes(sent),
                         LinkEnd{server.host}, [this, i, sent] {
                           FlowBalancerInbox inbox;
                           inbox.notices.push_back(sent);
                           this->TickBalancer(i, std::move(inbox));
                         });
    }
  }
  this->RecordEvents("a" + std::to_string(index), outbox.events);
  if (outbox.probe) {
    const ProbeResult result = server.up       ? ProbeResult::kAccepted
                               : server.silent ? ProbeResult::kTimedOut
                                               : ProbeResult::kRefused;
    // A probe times out after 150 ms.
    const Duration after =
        result == ProbeResult::kTimedOut ? Duration{150000} : kLoopbackDelay;
    link.Schedule(
        after, [this, index, result, start_count = server.agent_start_count] {
          if (this->servers[index].agent_start_count == start_count) {
            FlowAgentInbox inbox;
            inbox.probe = result;
            this->TickAgent(index, inbox);
          }
        });
  }
}

// Counts events. If CACTUSCROSS_FLOW_TRACE is set, they are also printed.
void FlowSimulation::Impl::RecordEvents(
    const std::string& process,
    const std::vector<FlowEvent>& reported) {
  static const bool trace = std::getenv("CACTUSCROSS_FLOW_TRACE") != nullptr;
  for (const FlowEvent& event : reported) {
    ++this->events.at(static_cast<std::size_t>(event.kind));
    if (event.kind == FlowEventKind::kLost) {
      this->last_lost_at = this->simulation.link.Now();
      this->lost_ages.push_back(event.age.value_or(Duration{0}));
      const auto found = this->flows.find(PackFlow(*event.flow));
      this->lost_in_use +=
          found != this->flows.end() && !found->second.dead ? 1 : 0;
    }
    if (trace) {
      std::clog << this->simulation.link.Now().time_since_epoch().count() << " "
                << process << " " << NameOf(event.kind) << " "
                << (event.flow ? ToString(*event.flow) : "") << " "
                << event.server << " " << event.reason << " "
                << event.count.value_or(0) << "\n";
    }
  }
}

}  // namespace cactuscross::testing
