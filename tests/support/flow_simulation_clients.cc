#include <algorithm>
#include <utility>

#include "tests/support/flow_simulation_impl.h"

namespace cactuscross::testing {
namespace {

// Durations in microseconds. A client sends an opening packet again at these
// times after the first transmission.
constexpr std::array<Duration, 2> kOpeningRetransmitTimes = {Duration{200000},
                                                             Duration{600000}};
constexpr Duration kOpeningTimeout{1400000};
constexpr Duration kInitialRetransmissionTimeout{200000};
constexpr Duration kMaxRetransmissionTimeout{1600000};
constexpr int kMaxRetries = 2;

}  // namespace

void FlowSimulation::Impl::ScheduleRequests(std::size_t kind) {
  const FlowRequestConfig& config = this->config.requests[kind];
  const double gap = 1000000.0 / config.per_second;
  const Duration next = this->simulation.link.GetRandom().Between(
      Duration{0}, Duration(static_cast<std::int64_t>(2 * gap)));
  this->simulation.link.Schedule(next, [this, kind] {
    if (this->simulation.traffic) {
      this->StartRequest(
          kind, this->simulation.link.GetRandom().Below(this->config.users));
    }
    this->ScheduleRequests(kind);
  });
}

void FlowSimulation::Impl::StartRequest(std::size_t kind, std::size_t user) {
  const std::uint64_t id = this->next_request++;
  Request& request = this->requests[id];
  request.config = &this->config.requests[kind];
  request.started_at = this->simulation.link.Now();
  request.user = user;
  ++this->totals.request_count;
  this->simulation.link.Schedule(request.config->deadline, [this, id] {
    if (!this->requests[id].finished) {
      this->Finish(id, false);
    }
  });
  this->StartAttempt(id);
}

std::uint16_t FlowSimulation::Impl::PortOf(
    const FlowRequestConfig& request) const {
  return request.port != 0 ? request.port
                           : this->config.services[request.service].port;
}

void FlowSimulation::Impl::StartAttempt(std::uint64_t id) {
  const Request& request = this->requests[id];
  if (!request.config->long_flows) {
    this->OpenFlow(id);
    return;
  }
  const std::size_t kind = request.config - this->config.requests.data();
  const auto found = this->long_flows.find({kind, request.user});
  if (found != this->long_flows.end()) {
    ClientFlow& flow = this->flows[found->second];
    if (!flow.dead && flow.open && flow.request == 0) {
      flow.request = id;
      this->SendRequest(found->second, kInitialRetransmissionTimeout);
      return;
    }
    if (!flow.dead) {
      // The flow is busy with another request, so this one opens a new flow.
      this->OpenFlow(id);
      return;
    }
  }
  this->OpenFlow(id);
  this->long_flows[{kind, request.user}] =
      (std::uint64_t{kClientNetwork} << 16U) + this->next_client - 1;
}

void FlowSimulation::Impl::OpenFlow(std::uint64_t id) {
  const std::uint64_t packed =
      (std::uint64_t{kClientNetwork} << 16U) + this->next_client++;
  const Request& request = this->requests[id];
  ClientFlow& flow = this->flows[packed];
  flow.key.client = {static_cast<std::uint32_t>(packed >> 16U),
                     static_cast<std::uint16_t>(packed & 0xFFFFU)};
  flow.key.service_address = {kRouteAddress, this->PortOf(*request.config)};
  flow.request = id;
  flow.user = request.user;
  this->SendOpening(packed, 0);
  for (std::size_t i = 0; i < kOpeningRetransmitTimes.size(); ++i) {
    this->simulation.link.Schedule(
        kOpeningRetransmitTimes.at(i), [this, packed, i] {
          this->SendOpening(packed, static_cast<std::uint32_t>(i + 1));
        });
  }
  this->simulation.link.Schedule(kOpeningTimeout, [this, packed] {
    const ClientFlow& flow = this->flows[packed];
    if (!flow.open && !flow.dead) {
      this->HandleFailedAttempt(packed, true);
    }
  });
}

void FlowSimulation::Impl::SendOpening(std::uint64_t packed,
                                       std::uint32_t retransmit_count) {
  const ClientFlow& flow = this->flows[packed];
  if (flow.open || flow.dead) {
    return;
  }
  PacketHeader header{};
  header.flow = flow.key;
  header.opening = true;
  header.retransmit_count = retransmit_count;
  this->SendFromClient(header);
}

void FlowSimulation::Impl::SendRequest(std::uint64_t packed,
                                       Duration retransmission_timeout) {
  const ClientFlow& flow = this->flows[packed];
  if (flow.dead || flow.request == 0) {
    return;
  }
  PacketHeader header{};
  header.flow = flow.key;
  header.sequence = flow.next_sequence;
  header.acknowledgement = flow.server_sequence + 1;
  header.data_bytes = this->requests[flow.request].config->request_bytes;
  header.request = flow.request;
  this->SendFromClient(header);
  this->simulation.link.Schedule(
      retransmission_timeout,
      [this, packed, retransmission_timeout, sequence = header.sequence] {
        if (this->flows[packed].next_sequence == sequence) {
          this->SendRequest(packed, std::min(retransmission_timeout * 2,
                                             kMaxRetransmissionTimeout));
        }
      });
}

// Routers select a balancer by a hash of the client's port, among those in
// rotation, or among all if none is.
void FlowSimulation::Impl::SendFromClient(const PacketHeader& header) {
  std::vector<std::size_t> ready;
  for (std::size_t i = 0; i < this->balancers.size(); ++i) {
    if (this->balancers[i].in_rotation) {
      ready.push_back(i);
    }
  }
  if (ready.empty()) {
    for (std::size_t i = 0; i < this->balancers.size(); ++i) {
      ready.push_back(i);
    }
  }
  const std::size_t index =
      ready[(header.flow.client.port * 2654435761ULL >> 7U) % ready.size()];
  const Bytes bytes = Encode(header);
  this->SendOverLink(index, LinkDirection::kInbound, PacketBytes(bytes),
                     LinkEnd{kClientNetwork}, [this, index, bytes] {
                       FlowBalancerInbox inbox;
                       inbox.packets.push_back(Decode(bytes));
                       this->TickBalancer(index, std::move(inbox));
                     });
}

void FlowSimulation::Impl::DeliverToClient(const Bytes& bytes) {
  const PacketHeader header = DecodeHeader(bytes);
  const std::uint64_t packed = PackFlow(header.flow);
  const auto found = this->flows.find(packed);
  if (found == this->flows.end() || found->second.dead) {
    return;
  }
  ClientFlow& flow = found->second;
  if (header.opening) {
    if (!flow.open) {
      flow.open = true;
      flow.server_sequence = header.sequence;
      this->SendRequest(packed, kInitialRetransmissionTimeout);
    }
    return;
  }
  if (header.request != flow.request || flow.request == 0) {
    return;  // a duplicate of an earlier response
  }
  if (header.not_run) {
    this->HandleFailedAttempt(packed, true);
    return;
  }
  const std::uint64_t id = std::exchange(flow.request, 0);
  ++flow.next_sequence;
  const bool closes = !this->requests[id].config->long_flows;
  if (closes) {
    flow.dead = true;
    PacketHeader closing_header{};
    closing_header.flow = flow.key;
    closing_header.closing = true;
    closing_header.sequence = flow.next_sequence;
    closing_header.acknowledgement = flow.server_sequence + 1;
    this->SendFromClient(closing_header);
  }
  this->Finish(id, true);
}

void FlowSimulation::Impl::DeliverResetToClient(const FlowReset& reset) {
  const std::uint64_t packed = PackFlow(reset.flow);
  const auto found = this->flows.find(packed);
  if (found == this->flows.end() || found->second.dead) {
    return;
  }
  const ClientFlow& flow = found->second;
  if (flow.open) {
    for (const Server& server : this->servers) {
      const auto server_flow = server.flows.find(packed);
      if (server.up && server_flow != server.flows.end() &&
          server_flow->second.open &&
          server_flow->second.sequence == flow.server_sequence) {
        this->totals.violations.push_back(
            "reset of flow " + ToString(flow.key) + " although server " +
            server.name + " has it open");
      }
    }
  }
  this->HandleFailedAttempt(packed, !flow.open);
}

void FlowSimulation::Impl::HandleFailedAttempt(std::uint64_t packed,
                                               bool not_run) {
  ClientFlow& flow = this->flows[packed];
  flow.dead = true;
  const std::uint64_t id = std::exchange(flow.request, 0);
  if (id == 0 || this->requests[id].finished) {
    return;
  }
  Request& request = this->requests[id];
  const bool may_retry = request.config->idempotent || not_run;
  if (!may_retry || request.retries >= kMaxRetries) {
    this->Finish(id, false);
    return;
  }
  ++request.retries;
  this->StartAttempt(id);
}

void FlowSimulation::Impl::Finish(std::uint64_t id, bool served) {
  Request& request = this->requests[id];
  if (request.finished) {
    return;
  }
  request.finished = true;
  const Duration elapsed = this->simulation.link.Now() - request.started_at;
  if (served) {
    request.answered_after = elapsed;
  }
  if (!served) {
    ++this->totals.failed;
    for (auto& [packed, flow] : this->flows) {
      if (flow.request == id) {
        flow.request = 0;
        flow.dead = true;
      }
    }
  } else if (elapsed <= request.config->latency_target) {
    ++this->totals.within_target;
  } else {
    ++this->totals.late;
  }
}

}  // namespace cactuscross::testing
