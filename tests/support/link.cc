#include "tests/support/link.h"

#include <algorithm>

namespace cactuscross::testing {
namespace {

// A stream on a blackholed path is replaced by a new one after this time.
constexpr Duration kStreamHeartbeatTimeout = std::chrono::seconds(3);
constexpr std::uint64_t kChanceSteps = 1000000;

}  // namespace

bool Random::Chance(double probability) {
  return probability > 0 && static_cast<double>(this->Below(kChanceSteps)) <
                                probability * static_cast<double>(kChanceSteps);
}

Duration Random::Between(Duration min, Duration max) {
  const auto width = static_cast<std::uint64_t>((max - min).count());
  return min + Duration(this->Below(width + 1));
}

Link::Link(std::uint64_t seed) : random(seed) {}

void Link::Schedule(Duration delay, Action action) {
  this->actions.emplace(this->now + delay, std::move(action));
}

void Link::Send(LinkEnd from,
                LinkEnd to,
                Transport transport,
                const Action& deliver) {
  if (this->IsLost(from, to, transport)) {
    return;
  }
  if (transport == Transport::kStream) {
    TimePoint& delivery_time = this->last_stream_delivery[{from, to}];
    delivery_time =
        std::max(delivery_time, this->now + this->DrawDelay(transport));
    this->actions.emplace(delivery_time, deliver);
    return;
  }
  const int copies = this->random.Chance(this->faults.duplication) ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    this->Schedule(this->DrawDelay(transport), deliver);
  }
}

bool Link::IsLost(LinkEnd from, LinkEnd to, Transport transport) {
  if (!this->Connected(from, to)) {
    return true;
  }
  const auto blackhole = this->blackholed.find({from, to});
  if (blackhole != this->blackholed.end()) {
    if (transport == Transport::kDatagram) {
      return true;
    }
    if (transport == Transport::kStream &&
        this->now < blackhole->second + kStreamHeartbeatTimeout) {
      return true;
    }
  }
  return transport != Transport::kStream &&
         this->random.Chance(this->faults.loss);
}

Duration Link::DrawDelay(Transport transport) {
  Duration delay = this->faults.delay +
                   this->random.Between(Duration(0), this->faults.jitter);
  if (transport != Transport::kStream &&
      this->random.Chance(this->faults.extra_delay)) {
    delay += this->random.Between(Duration(0), this->faults.max_extra_delay);
  }
  return delay;
}

void Link::Cut(LinkEnd a, LinkEnd b) {
  this->cuts.insert(std::minmax(a, b));
}

void Link::Heal(LinkEnd a, LinkEnd b) {
  this->cuts.erase(std::minmax(a, b));
}

void Link::HealAll() {
  this->cuts.clear();
  this->blackholed.clear();
}

bool Link::Connected(LinkEnd a, LinkEnd b) const {
  return this->cuts.count(std::minmax(a, b)) == 0;
}

void Link::Blackhole(LinkEnd from, LinkEnd to) {
  this->blackholed[{from, to}] = this->now;
}

void Link::RenewPath(LinkEnd from, LinkEnd to) {
  this->blackholed.erase({from, to});
}

std::optional<TimePoint> Link::NextAction() const {
  if (this->actions.empty()) {
    return std::nullopt;
  }
  return this->actions.begin()->first;
}

void Link::AdvanceTo(TimePoint time) {
  while (!this->actions.empty() && this->actions.begin()->first <= time) {
    const auto first = this->actions.begin();
    this->now = std::max(this->now, first->first);
    const Action action = std::move(first->second);
    this->actions.erase(first);
    action();
  }
  this->now = std::max(this->now, time);
}

}  // namespace cactuscross::testing
