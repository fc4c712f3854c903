#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "src/core/flow/view/reply_assembly.h"
#include "src/core/flow/view/store_view.h"
#include "src/core/flow/view/view_gossip.h"
#include "src/wire/flow_codec.h"

namespace cactuscross {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeed = 7;
constexpr std::uint32_t kRoutes = 1800;
const ServiceId kDesk = MakeServiceId("desk");
const ServiceId kLibrary = MakeServiceId("library");

Endpoint AddressOf(std::uint32_t number) {
  return {0xC6120000 + number, 443};
}

RouteSet MakeRoutes(std::uint64_t version, std::uint32_t count) {
  RouteSet routes;
  routes.version = version;
  for (std::uint32_t i = 0; i < count; ++i) {
    FlowRoute& route = routes.routes.emplace_back();
    route.service_address = AddressOf(i);
    route.services = {{kDesk, 1}};
    route.time_limit = seconds(3);
  }
  return routes;
}

// A balancer's view and its gossip, without a store.
class Peer {
 public:
  explicit Peer(std::uint32_t address)
      : control{address, 8166}, gossip(Settings()), view(kSeed, seconds(60)) {}

  void Load(TimePoint now, const RouteSet& routes) {
    this->view.ApplyRoutes(now, routes, "store", this->outbox.events);
    this->view.ApplyPeerServers(now, {}, {}, {1, 44}, this->outbox.events);
  }

  std::vector<OutgoingGossip> Tick(TimePoint now,
                                   const std::vector<GossipMessage>& messages) {
    this->outbox = FlowBalancerOutbox();
    this->gossip.Tick(now, messages, this->view, this->outbox);
    return this->outbox.gossip;
  }

  std::uint64_t Version() const { return this->view.Routes().Version(); }
  const ActiveRoutes& Routes() const { return this->view.Routes(); }

  const Endpoint control;

 private:
  FlowBalancerSettings Settings() const {
    FlowBalancerSettings settings;
    settings.control = this->control;
    return settings;
  }

  FlowBalancerOutbox outbox;
  ViewGossip gossip;
  StoreView view;
};

// Messages that pass between two peers, in encoded form.
class RouteTransferTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RouteTransferTest);
  CPPUNIT_TEST(OnlyChangedRoutesAreSent);
  CPPUNIT_TEST(PartsAreSentAsTheyAreRequested);
  CPPUNIT_TEST(LostPartsAloneAreSentAgain);
  CPPUNIT_TEST(VersionThatThePeerNeverHadIsReplacedAsAWhole);
  CPPUNIT_TEST(ChangesOfAnotherVersionAreNotApplied);
  CPPUNIT_TEST(FormerServicesAreSentWithoutTheOtherRoutes);
  CPPUNIT_TEST(PullOfThePreviousVersionIsAnsweredWithAllRoutes);
  CPPUNIT_TEST(ReplyOfThePreviousVersionIsNotRequestedAgain);
  CPPUNIT_TEST(FewTransfersAreServedAtATime);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Load: one of 1,800 routes changes, one is removed. Guards against a change
  // that costs each balancer a transfer of all routes.
  void OnlyChangedRoutesAreSent() {
    const RouteSet first = MakeRoutes(1, kRoutes);
    this->sender.Load(this->now, first);
    this->receiver.Load(this->now, first);
    RouteSet second = first;
    second.version = 2;
    second.routes[5].services = {{kLibrary, 1}};
    second.routes.erase(second.routes.begin() + 9);
    this->sender.Load(this->now, second);
    this->Exchange(milliseconds(900));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, this->receiver.Version());
    CPPUNIT_ASSERT_EQUAL(std::size_t{kRoutes - 1},
                         this->receiver.Routes().Size());
    CPPUNIT_ASSERT(this->receiver.Routes().Find(AddressOf(9)) == nullptr);
    const auto services =
        this->receiver.Routes().ServicesOfFlows(this->now, AddressOf(5));
    CPPUNIT_ASSERT((services == std::vector<ServiceId>{kLibrary, kDesk}));
    CPPUNIT_ASSERT_MESSAGE(std::to_string(this->route_bytes),
                           this->route_bytes < 2000);
  }

  // Load: a balancer behind 10 Mbit/s joins while there are 1,800 routes.
  // Guards against a reply that fills its link and delays the packets of
  // clients: at most 10 KB (8 ms) may be under way.
  void PartsAreSentAsTheyAreRequested() {
    this->sender.Load(this->now, MakeRoutes(1, kRoutes));
    this->Exchange(milliseconds(900));
    CPPUNIT_ASSERT_EQUAL(std::size_t{kRoutes}, this->receiver.Routes().Size());
    CPPUNIT_ASSERT_MESSAGE(std::to_string(this->largest_burst),
                           this->largest_burst <= 10000);
    // Each part is sent once.
    CPPUNIT_ASSERT_EQUAL(std::size_t{kRoutes / 12}, this->route_parts);
  }

  // Guards against a transfer that starts again with its first part, which a
  // full link would never let end.
  void LostPartsAloneAreSentAgain() {
    this->sender.Load(this->now, MakeRoutes(1, kRoutes));
    this->lose_every = 10;
    this->Exchange(seconds(6));
    CPPUNIT_ASSERT_EQUAL(std::size_t{kRoutes}, this->receiver.Routes().Size());
    CPPUNIT_ASSERT_MESSAGE(std::to_string(this->route_parts),
                           this->route_parts < 2 * kRoutes / 12);
  }

  // The receiver read a version from the store that the sender never had in
  // force. Guards against a removed route that stays: the sender does not know
  // that the version had it.
  void VersionThatThePeerNeverHadIsReplacedAsAWhole() {
    this->sender.Load(this->now, MakeRoutes(1, 20));
    this->receiver.Load(this->now, MakeRoutes(2, 30));
    this->sender.Load(this->now, MakeRoutes(3, 20));
    this->Exchange(milliseconds(900));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, this->receiver.Version());
    CPPUNIT_ASSERT_EQUAL(std::size_t{20}, this->receiver.Routes().Size());
  }

  // The routes changed here while the changes were under way.
  void ChangesOfAnotherVersionAreNotApplied() {
    ActiveRoutes routes(seconds(60));
    routes.Apply(this->now, MakeRoutes(4, 3));
    RouteChanges changes;
    changes.after = 3;
    changes.version = 5;
    changes.routes = MakeRoutes(5, 1).routes;
    CPPUNIT_ASSERT(!routes.ApplyChanges(this->now, changes));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, routes.Version());
    changes.after = 4;
    CPPUNIT_ASSERT(routes.ApplyChanges(this->now, changes));
    // An older version never returns.
    changes.after = 5;
    changes.version = 4;
    CPPUNIT_ASSERT(!routes.ApplyChanges(this->now, changes));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, routes.Version());
  }

  // A balancer that starts has read the routes from the store, which does not
  // name former services. Guards against resets of flows that they hold, and
  // against a transfer of all routes from each of three peers.
  void FormerServicesAreSentWithoutTheOtherRoutes() {
    RouteSet routes = MakeRoutes(1, kRoutes);
    this->sender.Load(this->now, routes);
    routes.version = 2;
    routes.routes[5].services = {{kLibrary, 1}};
    this->sender.Load(this->now + seconds(1), routes);
    this->now += seconds(62);
    this->receiver.Load(this->now, routes);
    CPPUNIT_ASSERT(!this->receiver.Routes().KnowsFormerServices(this->now));
    this->now -= seconds(4);
    this->Exchange(milliseconds(900));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                         this->receiver.Routes()
                             .ServicesOfFlows(this->now, AddressOf(5))
                             .size());
    CPPUNIT_ASSERT(
        this->receiver.Routes().KnowsFormerServices(this->now + seconds(5)));
    CPPUNIT_ASSERT_MESSAGE(std::to_string(this->route_bytes),
                           this->route_bytes < 2000);
  }

  void PullOfThePreviousVersionIsAnsweredWithAllRoutes() {
    this->sender.Load(this->now, MakeRoutes(1, kRoutes));
    GossipMessage pull;
    pull.kind = GossipKind::kPull;
    pull.sender = this->receiver.control;
    std::size_t routes = 0;
    for (const OutgoingGossip& outgoing :
         this->sender.Tick(this->now, {pull})) {
      routes += outgoing.message.routes.size();
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{kRoutes}, routes);
  }

  // A process of the previous version ignores which parts are requested. Guards
  // against a transfer of all routes for every eight parts.
  void ReplyOfThePreviousVersionIsNotRequestedAgain() {
    constexpr std::uint32_t kOldParts = 90;
    GossipMessage part;
    part.kind = GossipKind::kRoutes;
    part.sender = this->sender.control;
    part.view_version = {true, 3, {1, 44}};
    part.part.count = kOldParts;
    GossipMessage digest = part;
    digest.kind = GossipKind::kDigest;
    std::size_t pulls = CountPulls(this->receiver.Tick(this->now, {digest}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pulls);
    for (part.part.index = 0; part.part.index < kOldParts; ++part.part.index) {
      this->now += milliseconds(1);
      pulls += CountPulls(this->receiver.Tick(this->now, {part}));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pulls);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, this->receiver.Version());
  }

  // Load: all of 75 balancers restart, and one has routes before the others.
  // Guards against transfers that share its link until none of them ends.
  void FewTransfersAreServedAtATime() {
    this->sender.Load(this->now, MakeRoutes(1, kRoutes));
    const auto count_answered = [this](std::uint32_t first) {
      std::size_t answered = 0;
      for (std::uint32_t peer = first; peer < first + 74; ++peer) {
        GossipMessage pull;
        pull.kind = GossipKind::kPull;
        pull.sender = {peer, 8166};
        pull.max_parts = 8;
        for (const OutgoingGossip& outgoing :
             this->sender.Tick(this->now, {pull})) {
          answered += outgoing.message.kind == GossipKind::kRoutes &&
                              outgoing.message.part.index == 0
                          ? 1
                          : 0;
        }
      }
      return answered;
    };
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, count_answered(100));
    // The same ones may go on; others follow once these have ended.
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, count_answered(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, count_answered(1000));
    this->now += milliseconds(60);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, count_answered(1000));
  }

 private:
  static std::size_t CountPulls(const std::vector<OutgoingGossip>& messages) {
    return static_cast<std::size_t>(std::count_if(
        messages.begin(), messages.end(), [](const OutgoingGossip& outgoing) {
          return outgoing.message.kind == GossipKind::kPull;
        }));
  }

  // Passes messages between both peers, which know each other, for `time`.
  void Exchange(Duration time) {
    std::vector<GossipMessage> to_sender(1);
    to_sender[0].sender = this->receiver.control;
    std::vector<GossipMessage> to_receiver;
    for (const TimePoint end = this->now + time; this->now < end;
         this->now += milliseconds(1)) {
      const auto sent = this->sender.Tick(this->now, to_sender);
      to_sender = this->Deliver(this->receiver.Tick(this->now, to_receiver),
                                this->receiver.control);
      to_receiver = this->Deliver(sent, this->sender.control);
    }
  }

  std::vector<GossipMessage> Deliver(const std::vector<OutgoingGossip>& sent,
                                     const Endpoint& from) {
    std::vector<GossipMessage> delivered;
    std::size_t burst = 0;
    for (const OutgoingGossip& outgoing : sent) {
      const Bytes bytes = EncodeFlowGossip(outgoing.message);
      CPPUNIT_ASSERT(bytes.size() <= 1400);
      if (outgoing.message.kind == GossipKind::kRoutes &&
          from == this->sender.control) {
        burst += bytes.size();
        ++this->route_parts;
        if (this->lose_every > 0 && this->route_parts % this->lose_every == 0) {
          continue;
        }
      }
      delivered.push_back(*DecodeFlowGossip(bytes, from));
    }
    this->route_bytes += burst;
    this->largest_burst = std::max(this->largest_burst, burst);
    return delivered;
  }

  TimePoint now{seconds(100)};
  Peer sender{0x0A010001};
  Peer receiver{0x0A010002};
  std::size_t lose_every = 0;  // of the parts of routes; 0: none
  std::size_t route_parts = 0;
  std::size_t route_bytes = 0;
  std::size_t largest_burst = 0;  // bytes of routes sent at once
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouteTransferTest);

}  // namespace
}  // namespace cactuscross
