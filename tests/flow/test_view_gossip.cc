#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <vector>

#include "src/core/flow/view/store_view.h"
#include "src/core/flow/view/view_gossip.h"

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
};

CPPUNIT_TEST_SUITE_REGISTRATION(ViewGossipTest);

}  // namespace
}  // namespace cactuscross
