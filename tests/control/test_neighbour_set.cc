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

class NeighbourSetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NeighbourSetTest);
  CPPUNIT_TEST(OneThatRestsIsNotAsked);
  CPPUNIT_TEST(SomeoneIsAskedWhileAllRest);
  CPPUNIT_TEST(RestEndsOnTime);
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

  void OneThatRestsIsNotAsked() {
    this->RestAt(kStart, 1);
    for (int i = 0; i < 50; ++i) {
      CPPUNIT_ASSERT(this->Asked() != NodeId{1});
    }
  }

  // A cut from every balancer makes all of them rest; the agent must find out
  // that it is over.
  void SomeoneIsAskedWhileAllRest() {
    for (std::uint32_t node = 1; node <= kBalancers; ++node) {
      this->RestAt(kStart, node);
    }
    std::set<NodeId> asked;
    for (int i = 0; i < 50; ++i) {
      asked.insert(this->Asked());
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{kBalancers}, asked.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, asked.count(kNoNode));
  }

  // The end of one rest must not put off that of another.
  void RestEndsOnTime() {
    constexpr Duration kStep = std::chrono::milliseconds(100);
    const TimePoint second = kStart + kNeighbourExclusion / 2;
    this->RestAt(kStart, 1);
    for (TimePoint now = kStart; now <= second + kNeighbourExclusion + kStep;
         now += kStep) {
      this->set.Tick(now);
      if (now == second) {
        this->RestAt(now, 2);
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{kBalancers}, this->set.All().size());
  }

 private:
  void RestAt(TimePoint now, std::uint32_t node) {
    this->set.Exclude(now, NodeId{node});
    this->set.Tick(now);
  }

  NodeId Asked() {
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
