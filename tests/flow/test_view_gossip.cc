#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <vector>

#include "src/core/flow/view/store_view.h"
#include "src/core/flow/view/view_gossip.h"
#include "src/wire/flow_codec.h"

namespace cactuscross {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};
constexpr Endpoint kOwnControl{0x0A010001, 8166};
constexpr Endpoint kPeer{0x0A010002, 8166};
constexpr std::uint64_t kSeed = 7;

FlowBalancerSettings Settings() {
  FlowBalancerSettings settings;
  settings.control = kOwnControl;
  return settings;
}

// Digest of a peer that has loaded its view.
GossipMessage MakeDigest(const Endpoint& sender) {
  GossipMessage digest;
  digest.kind = GossipKind::kDigest;
  digest.sender = sender;
  digest.view_version = {true, 3, {0, 44}};
  return digest;
}

std::size_t CountSent(const FlowBalancerOutbox& outbox, GossipKind kind) {
  return static_cast<std::size_t>(
      std::count_if(outbox.gossip.begin(), outbox.gossip.end(),
                    [kind](const OutgoingGossip& outgoing) {
                      return outgoing.message.kind == kind;
                    }));
}

// Replication of the view between balancers.
class ViewGossipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ViewGossipTest);
  CPPUNIT_TEST(DigestThatNamesManyUnknownPeers);
  CPPUNIT_TEST(DigestsPassOrdersOn);
  CPPUNIT_TEST(RoutesPassLimitsOn);
  CPPUNIT_TEST(PeersThatKnowNoUnlistedServers);
  CPPUNIT_TEST_SUITE_END();

 public:
  // The peer table grows while the digest is handled. What is recorded about
  // the sender must not go to the memory of the old table: a second digest
  // within the pull interval causes no second pull.
  void DigestThatNamesManyUnknownPeers() {
    ViewGossip gossip(Settings());
    StoreView view(kSeed, seconds(60));
    GossipMessage digest = MakeDigest(kPeer);
    for (std::uint32_t i = 0; i < 8; ++i) {
      digest.peers.push_back({kPeer.address + 1 + i, kPeer.port});
    }
    FlowBalancerOutbox outbox;
    gossip.Tick(kStart, {digest}, view, outbox);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, CountSent(outbox, GossipKind::kPull));
    gossip.Tick(kStart + milliseconds(50), {digest}, view, outbox);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, CountSent(outbox, GossipKind::kPull));
  }

  // Load: all balancers restart together, so that no peer has more to send than
  // the store. Guards against lost flows that are settled only after the time
  // in which a peer's view is awaited, and against a single peer that knows too
  // little.
  void PeersThatKnowNoUnlistedServers() {
    ViewGossip gossip(Settings());
    StoreView view(kSeed, seconds(60));
    FlowBalancerOutbox outbox;
    for (std::uint32_t i = 0; i < 4; ++i) {
      GossipMessage digest = MakeDigest({kPeer.address + i, kPeer.port});
      digest.lists_all_servers = i != 1;
      const auto decoded =
          DecodeFlowGossip(EncodeFlowGossip(digest), digest.sender);
      CPPUNIT_ASSERT(!gossip.HasSynced(kStart));
      gossip.Tick(kStart, {*decoded, *decoded}, view, outbox);
    }
    CPPUNIT_ASSERT(gossip.HasSynced(kStart));
  }

  // A balancer that starts while the store is down learns orders from its peers
  // before it has routes, and passes them on at once.
  void DigestsPassOrdersOn() {
    ViewGossip gossip(Settings());
    StoreView view(kSeed, seconds(60), /*uses_zone_orders=*/true);
    FlowBalancerOutbox outbox;
    gossip.Tick(kStart, {MakeDigest(kPeer)}, view, outbox);
    GossipMessage digest = MakeDigest(kPeer);
    digest.zone_orders = {{"z1", true, {1, 44}}};
    outbox.gossip.clear();
    gossip.Tick(kStart + milliseconds(50), {digest}, view, outbox);
    CPPUNIT_ASSERT(view.Orders().IsEvacuated("z1"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         CountSent(outbox, GossipKind::kDigest));
    const auto sent =
        std::find_if(outbox.gossip.begin(), outbox.gossip.end(),
                     [](const OutgoingGossip& outgoing) {
                       return outgoing.message.kind == GossipKind::kDigest;
                     });
    CPPUNIT_ASSERT_EQUAL(std::string("z1"),
                         sent->message.zone_orders.at(0).zone);
  }

  // Balancers that do not read the store must know the limits of servers that
  // warm up.
  void RoutesPassLimitsOn() {
    ViewGossip gossip(Settings());
    StoreView view(kSeed, seconds(60));
    GossipMessage routes = MakeDigest(kPeer);
    routes.kind = GossipKind::kRoutes;
    routes.warmup_limits = {{ServiceId{8}, 4.0, seconds(2)}};
    FlowBalancerOutbox outbox;
    gossip.Tick(kStart, {routes}, view, outbox);
    CPPUNIT_ASSERT(view.Routes().FindWarmupLimit(ServiceId{8}) != nullptr);
    view.ApplyPeerServers(kStart, {}, {}, {0, 44}, outbox.events);
    GossipMessage pull = MakeDigest(kPeer);
    pull.kind = GossipKind::kPull;
    pull.view_version = ViewVersion();
    outbox.gossip.clear();
    gossip.Tick(kStart, {pull}, view, outbox);
    const auto sent =
        std::find_if(outbox.gossip.begin(), outbox.gossip.end(),
                     [](const OutgoingGossip& outgoing) {
                       return outgoing.message.kind == GossipKind::kRoutes;
                     });
    CPPUNIT_ASSERT(sent != outbox.gossip.end());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent->message.warmup_limits.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ViewGossipTest);

}  // namespace
}  // namespace cactuscross
