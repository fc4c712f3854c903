#include <algorithm>
#include <utility>

#include "tests/support/flow_world_impl.h"

namespace cactuscross::testing {
namespace {

constexpr std::array<Duration, 2> kCopiesAfter = {Duration{200000},
                                                  Duration{600000}};
constexpr Duration kOpeningLife{1400000};
constexpr Duration kFirstRetransmission{200000};
constexpr Duration kMostRetransmission{1600000};
constexpr int kMaxRetries = 2;

}  // namespace

void FlowWorld::Impl::Schedule(std::size_t kind) {
  const FlowRequestShape& shape = this->shape.requests[kind];
  const double gap = 1000000.0 / shape.per_second;
  const Duration next = this->world.link.GetRandom().Between(
      Duration{0}, Duration(static_cast<std::int64_t>(2 * gap)));
  this->world.link.Schedule(next, [this, kind] {
    if (this->world.traffic) {
      this->Ask(kind, this->world.link.GetRandom().Below(this->shape.users));
    }
    this->Schedule(kind);
  });
}

void FlowWorld::Impl::Ask(std::size_t kind, std::size_t user) {
  const std::uint64_t id = this->next_request++;
  Request& request = this->requests[id];
  request.shape = &this->shape.requests[kind];
  request.began_at = this->world.link.Now();
  request.user = user;
  ++this->totals.asked;
  this->world.link.Schedule(request.shape->deadline, [this, id] {
    if (!this->requests[id].over) {
      this->Finish(id, false);
    }
  });
  this->Try(id);
}

void FlowWorld::Impl::Try(std::uint64_t id) {
  const Request& request = this->requests[id];
  if (!request.shape->long_flows) {
    this->OpenFlow(id);
    return;
  }
  const std::size_t kind = request.shape - this->shape.requests.data();
  const auto found = this->long_flows.find({kind, request.user});
  if (found != this->long_flows.end()) {
    ClientFlow& flow = this->flows[found->second];
    if (!flow.dead && flow.open && flow.request == 0) {
      flow.request = id;
      this->SendRequest(found->second, kFirstRetransmission);
      return;
    }
    if (!flow.dead) {
      // Busy with another request: this one takes a flow of its own.
      this->OpenFlow(id);
      return;
    }
  }
  this->OpenFlow(id);
  this->long_flows[{kind, request.user}] =
      (std::uint64_t{kClientNet} << 16U) + this->next_client - 1;
}

void FlowWorld::Impl::OpenFlow(std::uint64_t id) {
  const std::uint64_t packed =
      (std::uint64_t{kClientNet} << 16U) + this->next_client++;
  const Request& request = this->requests[id];
  ClientFlow& flow = this->flows[packed];
  flow.key.client = {static_cast<std::uint32_t>(packed >> 16U),
                     static_cast<std::uint16_t>(packed & 0xFFFFU)};
  flow.key.service_address = {
      kRouteAddress, this->shape.services[request.shape->service].port};
  flow.request = id;
  flow.user = request.user;
  this->SendOpening(packed, 0);
  for (std::size_t i = 0; i < kCopiesAfter.size(); ++i) {
    this->world.link.Schedule(kCopiesAfter.at(i), [this, packed, i] {
      this->SendOpening(packed, static_cast<std::uint32_t>(i + 1));
    });
  }
  this->world.link.Schedule(kOpeningLife, [this, packed] {
    const ClientFlow& flow = this->flows[packed];
    if (!flow.open && !flow.dead) {
      this->TryFailed(packed, true);
    }
  });
}

void FlowWorld::Impl::SendOpening(std::uint64_t packed, std::uint32_t copy) {
  const ClientFlow& flow = this->flows[packed];
  if (flow.open || flow.dead) {
    return;
  }
  Head head{};
  head.flow = flow.key;
  head.opening = true;
  head.retransmit_count = copy;
  this->SendFromClient(head);
}

void FlowWorld::Impl::SendRequest(std::uint64_t packed, Duration again_after) {
  const ClientFlow& flow = this->flows[packed];
  if (flow.dead || flow.request == 0) {
    return;
  }
  Head head{};
  head.flow = flow.key;
  head.sequence = flow.next_sequence;
  head.acknowledgement = flow.server_sequence + 1;
  head.data_bytes = 100;
  head.request = flow.request;
  this->SendFromClient(head);
  this->world.link.Schedule(again_after, [this, packed, again_after,
                                          sequence = head.sequence] {
    if (this->flows[packed].next_sequence == sequence) {
      this->SendRequest(packed, std::min(again_after * 2, kMostRetransmission));
    }
  });
}

void FlowWorld::Impl::SendFromClient(const Head& head) {
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
      ready[(head.flow.client.port * 2654435761ULL >> 7U) % ready.size()];
  const Bytes bytes = Encode(head);
  this->SendOver(index, LinkSide::kIn, PacketBytes(bytes), Point{kClientNet},
                 [this, index, bytes] {
                   FlowBalancerInbox inbox;
                   inbox.packets.push_back(Decode(bytes));
                   this->TickBalancer(index, std::move(inbox));
                 });
}

void FlowWorld::Impl::ToClient(const Bytes& bytes) {
  const Head head = DecodeHead(bytes);
  const std::uint64_t packed = PackFlow(head.flow);
  const auto found = this->flows.find(packed);
  if (found == this->flows.end() || found->second.dead) {
    return;
  }
  ClientFlow& flow = found->second;
  if (head.opening) {
    if (!flow.open) {
      flow.open = true;
      flow.server_sequence = head.sequence;
      this->SendRequest(packed, kFirstRetransmission);
    }
    return;
  }
  if (head.request != flow.request || flow.request == 0) {
    return;  // a copy of an earlier answer
  }
  if (head.not_run) {
    this->TryFailed(packed, true);
    return;
  }
  const std::uint64_t id = std::exchange(flow.request, 0);
  ++flow.next_sequence;
  const bool closes = !this->requests[id].shape->long_flows;
  if (closes) {
    flow.dead = true;
    Head last{};
    last.flow = flow.key;
    last.closing = true;
    last.sequence = flow.next_sequence;
    last.acknowledgement = flow.server_sequence + 1;
    this->SendFromClient(last);
  }
  this->Finish(id, true);
}

void FlowWorld::Impl::ResetAtClient(const FlowReset& reset) {
  const std::uint64_t packed = PackFlow(reset.flow);
  const auto found = this->flows.find(packed);
  if (found == this->flows.end() || found->second.dead) {
    return;
  }
  const ClientFlow& flow = found->second;
  if (flow.open) {
    for (const Server& server : this->servers) {
      const auto held = server.flows.find(packed);
      if (server.up && held != server.flows.end() && held->second.open &&
          held->second.sequence == flow.server_sequence) {
        this->totals.violations.push_back("reset of flow " +
                                          ToString(flow.key) + " that " +
                                          server.name + " holds");
      }
    }
  }
  this->TryFailed(packed, !flow.open);
}

void FlowWorld::Impl::TryFailed(std::uint64_t packed, bool not_run) {
  ClientFlow& flow = this->flows[packed];
  flow.dead = true;
  const std::uint64_t id = std::exchange(flow.request, 0);
  if (id == 0 || this->requests[id].over) {
    return;
  }
  Request& request = this->requests[id];
  const bool may_retry = request.shape->idempotent || not_run;
  if (!may_retry || request.retries >= kMaxRetries) {
    this->Finish(id, false);
    return;
  }
  ++request.retries;
  this->Try(id);
}

void FlowWorld::Impl::Finish(std::uint64_t id, bool served) {
  Request& request = this->requests[id];
  if (request.over) {
    return;
  }
  request.over = true;
  const Duration took = this->world.link.Now() - request.began_at;
  if (!served) {
    ++this->totals.failed;
    for (auto& [packed, flow] : this->flows) {
      if (flow.request == id) {
        flow.request = 0;
        flow.dead = true;
      }
    }
  } else if (took <= request.shape->aim) {
    ++this->totals.in_aim;
  } else {
    ++this->totals.late;
  }
}

}  // namespace cactuscross::testing
