#include "src/core/flow/search/lookup_batcher.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cactuscross {
namespace {

// Headers of IP and UDP, and the fields of a notice besides the lookups.
constexpr std::size_t kDatagramBytes = 28 + 12;

// Consecutive datagrams that an agent must ignore until it is queried by
// packet. A single one may be lost, or its answer late on a congested link. An
// agent that has answered before is of this version, unless an older one
// replaced it.
constexpr int kMaxIgnored = 2;
constexpr int kMaxIgnoredAfterReply = 3;
// Time after which an agent that ignored lookups gets one again: it may have
// been replaced by a newer version.
constexpr Duration kIgnoredRetryInterval{10000000};

// Minimum time between two datagrams to an agent. Answers arrive within a
// millisecond, so that without it a balancer that looks up 100 flows a second
// would send nearly every lookup on its own: 4.7 KB of traffic for a lost flow
// at 44 servers instead of 3.6 KB, and up to 98 datagrams a second to each
// agent instead of 50. Callers wait at most for three of them.
constexpr Duration kMinLookupInterval{20000};

bool IsReplyTo(const LookupDatagram& datagram,
               const std::vector<FlowLookup>& lookups) {
  return !datagram.targets.empty() &&
         std::equal(datagram.targets.begin(), datagram.targets.end(),
                    lookups.begin(), lookups.end(),
                    [](const LookupTarget& target, const FlowLookup& lookup) {
                      return target.flow == lookup.flow;
                    });
}

}  // namespace

std::size_t LookupDatagram::Bytes() const {
  return kDatagramBytes +
         this->targets.size() * LookupBatcher::kLookupFlowBytes;
}

void LookupBatcher::Add(ServerKey server, const LookupTarget& target) {
  Agent& agent = this->agents[server];
  agent.queue.push_back(target);
  this->AddToReady(server, agent);
}

std::vector<LookupDatagram> LookupBatcher::TakeReady(
    TimePoint now,
    SearchCongestionWindow& congestion_window,
    const IsWanted& is_wanted) {
  std::vector<LookupDatagram> datagrams;
  for (std::size_t left = this->ready.size(); left > 0; --left) {
    const ServerKey server = this->ready.front();
    Agent& agent = this->agents[server];
    if (now - agent.last_sent_at < kMinLookupInterval) {
      this->ready.pop_front();
      this->ready.push_back(server);
      continue;
    }
    LookupDatagram datagram{server, {}, now};
    while (!agent.queue.empty() && datagram.targets.size() < kMaxLookups) {
      if (is_wanted(server, agent.queue.front())) {
        datagram.targets.push_back(agent.queue.front());
      }
      agent.queue.pop_front();
    }
    if (!datagram.targets.empty() &&
        !congestion_window.MaySend(datagram.Bytes())) {
      agent.queue.insert(agent.queue.begin(), datagram.targets.begin(),
                         datagram.targets.end());
      return datagrams;
    }
    this->ready.pop_front();
    agent.ready = false;
    if (!datagram.targets.empty()) {
      congestion_window.NoteSent(datagram.Bytes());
      agent.in_flight = datagram;
      agent.last_sent_at = now;
      this->sent.push_back({server, now});
      datagrams.push_back(std::move(datagram));
    }
  }
  return datagrams;
}

std::vector<LookupAnswer> LookupBatcher::NoteReply(
    ServerKey server,
    const std::vector<FlowLookup>& lookups,
    SearchCongestionWindow& congestion_window) {
  std::vector<LookupAnswer> answers;
  const auto found = this->agents.find(server);
  if (found == this->agents.end()) {
    return answers;
  }
  Agent& agent = found->second;
  LookupDatagram answered_datagram;
  if (IsReplyTo(agent.in_flight, lookups)) {
    answered_datagram = std::exchange(agent.in_flight, {});
    congestion_window.NoteAnswered(answered_datagram.Bytes());
    ++this->answered;
    this->AddToReady(server, agent);
  } else if (IsReplyTo(agent.timed_out, lookups)) {
    answered_datagram = std::exchange(agent.timed_out, {});
  } else {
    return answers;
  }
  agent.has_replied = true;
  agent.ignored = 0;
  agent.ignores_until = TimePoint();
  for (std::size_t i = 0; i < lookups.size(); ++i) {
    answers.push_back({answered_datagram.targets[i], lookups[i].result});
  }
  return answers;
}

std::vector<LookupDatagram> LookupBatcher::TakeTimedOut(
    TimePoint now,
    Duration response_timeout,
    SearchCongestionWindow& congestion_window) {
  std::vector<LookupDatagram> timed_out;
  std::size_t bytes = 0;
  while (!this->sent.empty() &&
         now - this->sent.front().sent_at >= response_timeout) {
    const Sent oldest = this->sent.front();
    this->sent.pop_front();
    const auto found = this->agents.find(oldest.server);
    if (found == this->agents.end() ||
        found->second.in_flight.targets.empty() ||
        found->second.in_flight.sent_at != oldest.sent_at) {
      continue;
    }
    Agent& agent = found->second;
    bytes += agent.in_flight.Bytes();
    agent.timed_out = std::exchange(agent.in_flight, {});
    timed_out.push_back(agent.timed_out);
    this->AddToReady(oldest.server, agent);
  }
  if (!timed_out.empty()) {
    congestion_window.NoteTimeout(
        now, timed_out.size() + std::exchange(this->answered, 0),
        timed_out.size(), bytes);
  }
  return timed_out;
}

void LookupBatcher::NoteIgnored(TimePoint now, ServerKey server) {
  Agent& agent = this->agents[server];
  ++agent.ignored;
  if (agent.ignored >=
      (agent.has_replied ? kMaxIgnoredAfterReply : kMaxIgnored)) {
    agent.ignores_until = now + kIgnoredRetryInterval;
  }
}

bool LookupBatcher::IgnoresLookups(TimePoint now, ServerKey server) const {
  const auto found = this->agents.find(server);
  return found != this->agents.end() && now < found->second.ignores_until;
}

bool LookupBatcher::HasReplied(ServerKey server) const {
  const auto found = this->agents.find(server);
  return found != this->agents.end() && found->second.has_replied &&
         found->second.ignored == 0;
}

void LookupBatcher::Prune(const std::function<bool(ServerKey)>& exists) {
  for (auto entry = this->agents.begin(); entry != this->agents.end();) {
    const Agent& agent = entry->second;
    const bool idle = !agent.ready && agent.in_flight.targets.empty();
    entry = idle && !exists(entry->first) ? this->agents.erase(entry)
                                          : std::next(entry);
  }
}

void LookupBatcher::AddToReady(ServerKey server, Agent& agent) {
  if (!agent.ready && !agent.queue.empty() && agent.in_flight.targets.empty()) {
    agent.ready = true;
    this->ready.push_back(server);
  }
}

}  // namespace cactuscross
