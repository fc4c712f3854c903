#include "src/core/control/contract_gossip.h"

#include <algorithm>
#include <limits>
#include <utility>
#include <vector>

#include "src/core/control/control_limits.h"

namespace cactuscross {

namespace {

constexpr ContractVersion kMaxVersion =
    std::numeric_limits<ContractVersion>::max();

// Returns the upper bound of the version window of a digest; an `until` of 0
// means no bound.
ContractVersion UpperBound(const ContractDigest& digest) {
  return digest.until == 0 ? kMaxVersion : digest.until;
}

}  // namespace

ContractGossip::ContractGossip(const PeerAddress& self,
                               ContractStore& store,
                               MemberTable& members,
                               Outbound& outbound,
                               ControlRandom& random)
    : self(self),
      store(store),
      outbound(outbound),
      random(random),
      neighbours(self.zone, members, random),
      pulls(outbound),
      announce_tokens(kAnnounceBurst) {}

void ContractGossip::SubscribeTo(std::string_view subscribed_customer) {
  this->customer = std::string(subscribed_customer);
  this->store.KeepOnly(subscribed_customer);
}

void ContractGossip::HandleDigest(TimePoint now,
                                  const PeerEnvelope& envelope,
                                  const ContractDigest& digest) {
  if (digest.service_age) {
    const TimePoint last_contact = now - *digest.service_age;
    this->service_last_contact =
        this->service_last_contact
            ? std::max(*this->service_last_contact, last_contact)
            : last_contact;
  }
  if (envelope.from.role == Role::kAgent && digest.reply_requested) {
    this->AnswerAgent(now, envelope, digest);
    return;
  }
  const std::size_t differences = this->Compare(now, envelope, digest);
  if (!digest.reply_requested) {
    this->RecordAnswer(now, envelope.from.node, digest.sequence);
  }
  if (this->self.role == Role::kAgent) {
    return;
  }
  const bool summary_only = !digest.since && digest.entries.empty();
  if (digest.hash == this->store.Hash()) {
    this->RecordMatch(now);
    if (digest.reply_requested && summary_only && this->ever_ready) {
      ContractDigest reply = this->Summary(now);
      reply.sequence = digest.sequence;
      this->outbound.Send(envelope.from, std::move(reply));
    }
    return;
  }
  if (digest.since) {
    this->RequestOlderWindow(now, envelope, digest, differences);
  } else if (digest.reply_requested && summary_only) {
    ++this->counts.digests_differing;
    ContractDigest reply = this->Summary(now);
    DigestWindow window =
        this->store.WindowUpTo(kMaxVersion, kInitialDigestWindow);
    // Sequence 0 keeps a reply of a process that was never ready from counting
    // as an answer.
    reply.sequence = this->ever_ready ? digest.sequence : 0;
    reply.since = window.since;
    reply.entries = std::move(window.entries);
    this->outbound.Send(envelope.from, std::move(reply));
  }
}

std::size_t ContractGossip::Compare(TimePoint now,
                                    const PeerEnvelope& envelope,
                                    const ContractDigest& digest) {
  std::size_t differences = 0;
  std::map<std::string_view, ContractVersion> remote_versions;
  std::vector<ContractDigestEntry> newer_local;
  for (const ContractDigestEntry& entry : digest.entries) {
    const bool relevant =
        this->self.role == Role::kBalancer || entry.customer == this->customer;
    const ContractVersion own = this->store.NewestOf(entry.customer);
    remote_versions[entry.customer] = entry.version;
    if (relevant && entry.version > own) {
      this->pulls.Enqueue(entry.customer, entry.version, envelope.from);
      ++differences;
    }
  }
  if (!digest.since) {
    return differences;
  }
  for (ContractDigestEntry& own :
       this->store.EntriesIn(*digest.since, UpperBound(digest))) {
    const auto listed = remote_versions.find(own.customer);
    if (listed == remote_versions.end() || listed->second < own.version) {
      newer_local.push_back(std::move(own));
      ++differences;
    }
  }
  this->SendEntries(now, envelope.from, std::move(newer_local));
  return differences;
}

void ContractGossip::SendEntries(TimePoint now,
                                 const PeerAddress& to,
                                 std::vector<ContractDigestEntry> entries) {
  for (std::size_t first = 0; first < entries.size();
       first += kMaxDigestWindow) {
    const std::size_t last = std::min(entries.size(), first + kMaxDigestWindow);
    ContractDigest digest = this->Summary(now);
    digest.entries.assign(
        std::make_move_iterator(entries.begin() +
                                static_cast<std::ptrdiff_t>(first)),
        std::make_move_iterator(entries.begin() +
                                static_cast<std::ptrdiff_t>(last)));
    this->outbound.Send(to, std::move(digest));
  }
}

void ContractGossip::RequestOlderWindow(TimePoint now,
                                        const PeerEnvelope& envelope,
                                        const ContractDigest& digest,
                                        std::size_t differences) {
  const bool settled =
      differences > 0 && differences * 2 <= digest.entries.size();
  if (settled || *digest.since == 0) {
    return;
  }
  const std::size_t count = std::min(
      kMaxDigestWindow, std::max(kInitialDigestWindow, digest.entries.size()) *
                            kDigestWindowGrowth);
  ContractDigest next = this->Summary(now);
  DigestWindow window = this->store.WindowUpTo(*digest.since, count);
  next.since = window.since;
  next.until = *digest.since;
  next.entries = std::move(window.entries);
  next.reply_requested = true;
  this->outbound.Send(envelope.from, std::move(next));
}

void ContractGossip::AnswerAgent(TimePoint now,
                                 const PeerEnvelope& envelope,
                                 const ContractDigest& digest) {
  if (!this->ever_ready) {
    return;
  }
  ContractDigest reply = this->Summary(now);
  reply.sequence = digest.sequence;
  std::vector<std::string> newer_local;
  for (const ContractDigestEntry& entry : digest.entries) {
    const ContractVersion own = this->store.NewestOf(entry.customer);
    reply.entries.push_back({entry.customer, own});
    if (own > entry.version) {
      newer_local.push_back(entry.customer);
    } else if (own < entry.version) {
      this->pulls.Enqueue(entry.customer, entry.version, envelope.from);
    }
  }
  this->Push(envelope.from, newer_local);
  this->outbound.Send(envelope.from, std::move(reply));
}

void ContractGossip::HandlePull(const PeerEnvelope& envelope,
                                const ContractPull& pull) {
  this->Push(envelope.from, pull.customers);
}

void ContractGossip::Push(const PeerAddress& to,
                          const std::vector<std::string>& customers) {
  ContractPush push;
  std::size_t bytes = 0;
  for (const std::string& name : customers) {
    for (ContractValue& value : this->store.ValuesOf(name)) {
      if (!push.values.empty() && bytes + value.text.size() > kMaxPushBytes) {
        this->outbound.Send(to, std::exchange(push, {}));
        bytes = 0;
      }
      bytes += value.text.size() + value.customer.size();
      push.values.push_back(std::move(value));
    }
  }
  if (!push.values.empty()) {
    this->outbound.Send(to, std::move(push));
  }
}

void ContractGossip::HandlePush(TimePoint /*now*/, const ContractPush& push) {
  for (const ContractValue& value : push.values) {
    this->OfferValue(value);
  }
}

void ContractGossip::OfferValue(const ContractValue& value) {
  const OfferOutcome outcome = this->store.Offer(value);
  this->pulls.NoteArrival(value.customer, value.version);
  const bool is_new =
      outcome == OfferOutcome::kApplied || outcome == OfferOutcome::kRejected;
  if (is_new && this->ready && this->self.role == Role::kBalancer) {
    this->unannounced[value.customer] = this->store.NewestOf(value.customer);
  }
}

void ContractGossip::NoteVersion(TimePoint now,
                                 const PeerAddress& peer,
                                 std::string_view name,
                                 ContractVersion version) {
  const ContractVersion own = this->store.NewestOf(name);
  if (version == own) {
    return;
  }
  if (version > own) {
    this->pulls.Enqueue(name, version, peer);
    return;
  }
  if (this->next_advertise.size() > kMaxTrackedPeers) {
    this->next_advertise.clear();
  }
  TimePoint& next = this->next_advertise[peer.node];
  if (now < next) {
    return;
  }
  next = now + kAdvertiseInterval;
  this->SendEntries(now, peer, {{std::string(name), own}});
}

void ContractGossip::BeginRefresh(TimePoint now) {
  this->refresh_first_sequence = this->last_sequence + 1;
  this->answered_peers.clear();
  this->poll.reset();
  this->refreshing = true;
  this->next_poll = now;
  this->neighbours.ClearExclusions();
}

ContractVersion ContractGossip::SafeRevision(TimePoint now) const {
  const bool settled = now - this->recent.time >= kSafeRevisionAge;
  return settled ? std::max(this->recent.highest, this->matched.highest)
                 : this->matched.highest;
}

void ContractGossip::RecordMatch(TimePoint now) {
  if (now - this->recent.time >= kSafeRevisionAge) {
    this->matched = this->recent;
    this->recent = {now, this->store.Highest()};
  }
}

void ContractGossip::RecordAnswer(TimePoint now,
                                  NodeId node,
                                  std::uint64_t sequence) {
  if (sequence == 0 || sequence < this->refresh_first_sequence ||
      sequence > this->last_sequence) {
    return;
  }
  this->answered_peers.insert(node);
  this->last_answer = now;
  if (this->poll && this->poll->node == node) {
    this->poll.reset();
  }
}

ContractDigest ContractGossip::Summary(TimePoint now) const {
  ContractDigest digest;
  digest.hash = this->store.Hash();
  digest.count = static_cast<std::uint32_t>(this->store.Size());
  digest.highest = this->store.Highest();
  if (this->service_last_contact) {
    digest.service_age =
        std::min<Duration>(now - *this->service_last_contact, kMaxServiceAge);
  }
  return digest;
}

void ContractGossip::SendPoll(TimePoint now, const PeerAddress& to) {
  ContractDigest digest = this->Summary(now);
  digest.sequence = ++this->last_sequence;
  digest.reply_requested = true;
  if (this->self.role == Role::kAgent) {
    digest.service_age.reset();
    digest.entries.push_back(
        {this->customer, this->store.NewestOf(this->customer)});
  }
  this->poll = Poll{digest.sequence, to.node, now};
  ++this->counts.polls;
  this->outbound.Send(to, std::move(digest));
}

void ContractGossip::CheckPoll(TimePoint now) {
  if (this->poll && now - this->poll->sent >= kPollTimeout) {
    this->neighbours.Exclude(now, this->poll->node);
    this->poll.reset();
    ++this->counts.polls_unanswered;
    this->next_poll = now;
  }
  if (now < this->next_poll) {
    return;
  }
  if (this->poll && !this->refreshing) {
    return;
  }
  // During a refresh, several random peers are polled at once, redrawn for each
  // round.
  const std::vector<PeerAddress> polled =
      this->refreshing ? this->neighbours.PickFromAll(kMinJoinAnswers + 1)
                       : this->neighbours.Pick(1);
  for (const PeerAddress& peer : polled) {
    this->SendPoll(now, peer);
  }
  this->next_poll =
      now + (this->refreshing ? kJoinRetryInterval
                              : this->random.Jittered(kPollInterval));
}

void ContractGossip::FlushAnnouncements(TimePoint now) {
  if (this->announce_tokens < kAnnounceBurst && now >= this->next_token) {
    ++this->announce_tokens;
    this->next_token = now + kAnnounceRefill;
  }
  if (this->unannounced.empty() || this->announce_tokens == 0) {
    return;
  }
  if (this->announce_tokens == kAnnounceBurst) {
    this->next_token = now + kAnnounceRefill;
  }
  --this->announce_tokens;
  std::vector<ContractDigestEntry> entries;
  entries.reserve(this->unannounced.size());
  for (const auto& [name, version] : this->unannounced) {
    entries.push_back({name, version});
  }
  this->unannounced.clear();
  for (const PeerAddress& peer : this->neighbours.Pick(kAnnounceFanOut)) {
    this->SendEntries(now, peer, entries);
    ++this->counts.announcements;
  }
}

void ContractGossip::Tick(TimePoint now) {
  this->neighbours.Tick(now);
  this->CheckPoll(now);
  this->pulls.Tick(now, this->neighbours.All());
  this->FlushAnnouncements(now);
}

}  // namespace cactuscross
