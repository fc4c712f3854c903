#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cstdint>
#include <set>
#include <string>

#include "src/core/control/control_limits.h"
#include "src/core/control/control_random.h"
#include "src/core/control/member_table.h"
#include "src/core/control/neighbour_set.h"

namespace cactuscross::testing {
namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr std::uint32_t kSelf = 21;
constexpr std::uint32_t kBalancers = 3;

PeerAddress MakePeer(std::uint32_t node, Role role) {
  PeerAddress peer;
  peer.node = NodeId{node};
  peer.role = role;
  peer.zone = "a";
  return peer;
}

// Tests the choice of the balancers with which a process exchanges contracts. A
// balancer that does not answer is excluded for a while.
class NeighbourSetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NeighbourSetTest);
  CPPUNIT_TEST(ExcludedNeighbourIsNotPicked);
  CPPUNIT_TEST(NeighboursArePickedWhileAllAreExcluded);
  CPPUNIT_TEST(ExclusionEndsOnTime);
  CPPUNIT_TEST_SUITE_END();

 public:
  NeighbourSetTest()
      : random(1),
        members(MakePeer(kSelf, Role::kAgent), Incarnation{1}),
        set("a", members, random) {}

  void setUp() override {
    for (std::uint32_t node = 1; node <= kBalancers; ++node) {
      this->members.AddMember(kStart, MakePeer(node, Role::kBalancer));
    }
    this->set.Tick(kStart);
  }

  void ExcludedNeighbourIsNotPicked() {
    this->ExcludeAt(kStart, 1);
    for (int i = 0; i < 50; ++i) {
      CPPUNIT_ASSERT(this->PickOne() != NodeId{1});
    }
  }

  // A partition from all balancers excludes all of them. The agent still has to
  // contact some, to detect the end of the partition.
  void NeighboursArePickedWhileAllAreExcluded() {
    for (std::uint32_t node = 1; node <= kBalancers; ++node) {
      this->ExcludeAt(kStart, node);
    }
    std::set<NodeId> picked_nodes;
    for (int i = 0; i < 50; ++i) {
      picked_nodes.insert(this->PickOne());
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{kBalancers}, picked_nodes.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, picked_nodes.count(kNoNode));
  }

  // The end of one exclusion must not delay the end of another.
  void ExclusionEndsOnTime() {
    constexpr Duration kStep = std::chrono::milliseconds(100);
    const TimePoint second_exclusion = kStart + kNeighbourExclusion / 2;
    this->ExcludeAt(kStart, 1);
    for (TimePoint now = kStart;
         now <= second_exclusion + kNeighbourExclusion + kStep; now += kStep) {
      this->set.Tick(now);
      if (now == second_exclusion) {
        this->ExcludeAt(now, 2);
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{kBalancers}, this->set.All().size());
  }

 private:
  void ExcludeAt(TimePoint now, std::uint32_t node) {
    this->set.Exclude(now, NodeId{node});
    this->set.Tick(now);
  }

  NodeId PickOne() {
    const auto picked = this->set.Pick(1);
    return picked.empty() ? kNoNode : picked.front().node;
  }

  ControlRandom random;
  MemberTable members;
  NeighbourSet set;
};

CPPUNIT_TEST_SUITE_REGISTRATION(NeighbourSetTest);

}  // namespace
}  // namespace cactuscross::testing
