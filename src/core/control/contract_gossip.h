#ifndef CACTUSCROSS_SRC_CORE_CONTROL_CONTRACT_GOSSIP_H_
#define CACTUSCROSS_SRC_CORE_CONTROL_CONTRACT_GOSSIP_H_

// Gossips contracts among processes. Balancers announce new versions to a few
// neighbours, which pull them; periodic digests repair what was missed
// (anti-entropy). Agents poll a balancer for the version of their own
// customer's contract.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "cactuscross/peer_message.h"
#include "src/core/control/contract_store.h"
#include "src/core/control/control_random.h"
#include "src/core/control/neighbour_set.h"
#include "src/core/control/outbound.h"
#include "src/core/control/pull_queue.h"

namespace cactuscross {

struct GossipCounts {
  std::uint64_t polls = 0;
  std::uint64_t polls_unanswered = 0;
  std::uint64_t digests_differing = 0;
  std::uint64_t announcements = 0;
};

class ContractGossip {
 public:
  ContractGossip(const PeerAddress& self,
                 ContractStore& store,
                 MemberTable& members,
                 Outbound& outbound,
                 ControlRandom& random);

  // Sets the customer whose contract an agent needs and restricts the store to
  // it.
  void SubscribeTo(std::string_view customer);

  // A process that is `ready` announces new versions. One that was ever ready
  // answers polls: after a pause of all processes, their old views are the most
  // recent ones available.
  void SetReady(bool ready) {
    this->ready = ready;
    this->ever_ready = this->ever_ready || ready;
  }

  void HandleDigest(TimePoint now,
                    const PeerEnvelope& envelope,
                    const ContractDigest& digest);
  void HandlePull(const PeerEnvelope& envelope, const ContractPull& pull);
  void HandlePush(TimePoint now, const ContractPush& push);
  void NoteVersion(TimePoint now,
                   const PeerAddress& peer,
                   std::string_view customer,
                   ContractVersion version);

  // Offers a value from any source to the store and schedules its announcement.
  void OfferValue(const ContractValue& value);

  // Starts polling peers again; answers to earlier polls do not count.
  void BeginRefresh(TimePoint now);
  // Enough peers answered; polls continue at their regular interval.
  void FinishRefresh() { this->refreshing = false; }
  // Number of peers that answered since BeginRefresh().
  std::size_t Answers() const { return this->answered_peers.size(); }
  bool PullsOutstanding() const { return !this->pulls.Empty(); }

  // Records that the configuration service answered this process.
  void NoteServiceContact(TimePoint now) { this->service_last_contact = now; }
  // Returns when the configuration service last answered any process, as far as
  // this process knows; nullopt if never.
  std::optional<TimePoint> ServiceLastContact() const {
    return this->service_last_contact;
  }
  // Returns a version up to which all contracts are known: the highest version
  // of a digest that matched a peer's digest at least kSafeRevisionAge ago.
  ContractVersion SafeRevision(TimePoint now) const;
  // Returns when a peer last answered a poll; nullopt if never.
  std::optional<TimePoint> LastAnswer() const { return this->last_answer; }

  void Tick(TimePoint now);

  const NeighbourSet& Neighbours() const { return this->neighbours; }
  const GossipCounts& Counts() const { return this->counts; }

 private:
  struct Poll {
    std::uint64_t sequence = 0;
    NodeId node = kNoNode;
    TimePoint sent{};
  };

  struct MatchedDigest {
    TimePoint time{};
    ContractVersion highest = 0;
  };

  ContractDigest Summary(TimePoint now) const;
  void SendPoll(TimePoint now, const PeerAddress& to);
  void CheckPoll(TimePoint now);
  void RecordAnswer(TimePoint now, NodeId node, std::uint64_t sequence);
  void AnswerAgent(TimePoint now,
                   const PeerEnvelope& envelope,
                   const ContractDigest& digest);
  // Compares the store with the entries of a digest: enqueues pulls of versions
  // that are newer at the sender and sends entries that are newer here. Returns
  // the number of differences.
  std::size_t Compare(TimePoint now,
                      const PeerEnvelope& envelope,
                      const ContractDigest& digest);
  void SendEntries(TimePoint now,
                   const PeerAddress& to,
                   std::vector<ContractDigestEntry> entries);
  // Requests a larger window of older entries. Does nothing if the window of
  // `digest` reaches back to version 0, or if some but at most half of its
  // entries differ; the next poll then detects any remaining difference.
  void RequestOlderWindow(TimePoint now,
                          const PeerEnvelope& envelope,
                          const ContractDigest& digest,
                          std::size_t differences);
  void RecordMatch(TimePoint now);
  void Push(const PeerAddress& to, const std::vector<std::string>& customers);
  void FlushAnnouncements(TimePoint now);

  PeerAddress self;
  ContractStore& store;
  Outbound& outbound;
  ControlRandom& random;
  NeighbourSet neighbours;
  PullQueue pulls;
  std::string customer;  // set for an agent
  bool ready = false;
  bool ever_ready = false;

  std::map<std::string, ContractVersion> unannounced;  // by customer
  std::size_t announce_tokens;  // token bucket that limits announcement rounds
  TimePoint next_token{};

  std::uint64_t last_sequence = 0;
  std::uint64_t refresh_first_sequence = 1;  // first of the current refresh
  std::optional<Poll> poll;
  TimePoint next_poll{};
  std::set<NodeId> answered_peers;
  std::optional<TimePoint> last_answer;
  bool refreshing = true;

  std::optional<TimePoint> service_last_contact;
  MatchedDigest matched;  // at least kSafeRevisionAge old when it was set
  MatchedDigest recent;   // replaces `matched` at that age
  std::map<NodeId, TimePoint> next_advertise;  // see kAdvertiseInterval
  GossipCounts counts;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_CONTROL_CONTRACT_GOSSIP_H_
