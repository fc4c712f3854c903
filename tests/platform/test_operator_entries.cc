#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "platform/entry_decoder.h"
#include "platform/store_client.h"

namespace cactuscross::platform {
namespace {

StoreCall Call(StoreCallKind kind) {
  StoreCall call;
  call.subject = StoreSubject::kRoutes;
  call.kind = kind;
  return call;
}

// Entries of the operator: orders to evacuate zones, and limits of services
// whose servers warm up.
class OperatorEntriesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OperatorEntriesTest);
  CPPUNIT_TEST(PrefixDependsOnTheBound);
  CPPUNIT_TEST(ListHasOrdersAndRoutes);
  CPPUNIT_TEST(WatchHasWithdrawals);
  CPPUNIT_TEST(OrderWithoutAZoneIsUnreadable);
  CPPUNIT_TEST(WarmupLimitsAreDecoded);
  CPPUNIT_TEST(UnreadableWarmupLimitsAreNoLimits);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Deployments without evacuations must call the store as before.
  void PrefixDependsOnTheBound() {
    const StoreCall call = Call(StoreCallKind::kList);
    const std::string without = TargetOf(call, false);
    const std::string with = TargetOf(call, true);
    CPPUNIT_ASSERT(without.find("config") != std::string::npos);
    CPPUNIT_ASSERT(with.find("config") == std::string::npos);
    CPPUNIT_ASSERT_EQUAL(with + "config", without);
  }

  // The value of an order is not read; here it is no base64.
  void ListHasOrdersAndRoutes() {
    // The value of the routes is {"version":3,"routes":[]} in Base64.
    const StoreAnswer answer =
        DecodeAnswer(Call(StoreCallKind::kList),
                     R"({"items":[{"key":"op/config","rev":7,)"
                     R"("value":"eyJ2ZXJzaW9uIjozLCJyb3V0ZXMiOltdfQ=="},)"
                     R"({"key":"op/evacuate/z1","value":"%%%","rev":9},)"
                     R"({"key":"op/evacuate/z2","value":5,"rev":8},)"
                     R"({"key":"op/other","value":"e30=","rev":5}],"at":12})");
    CPPUNIT_ASSERT(StoreStatus::kOk == answer.status);
    CPPUNIT_ASSERT(answer.unreadable.empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, answer.routes.at(0).version);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, answer.zone_orders.size());
    const ZoneOrder& order = answer.zone_orders[0];
    CPPUNIT_ASSERT_EQUAL(std::string("z1"), order.zone);
    CPPUNIT_ASSERT(order.evacuated);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, order.position.revision);
  }

  void WatchHasWithdrawals() {
    const StoreAnswer answer = DecodeAnswer(
        Call(StoreCallKind::kWatch),
        R"({"events":[{"key":"op/evacuate/z1","rev":14,"deleted":true}],)"
        R"("at":14})");
    CPPUNIT_ASSERT(answer.routes.empty() && answer.unreadable.empty());
    CPPUNIT_ASSERT_EQUAL(std::string("z1"), answer.zone_orders.at(0).zone);
    CPPUNIT_ASSERT(!answer.zone_orders[0].evacuated);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{14},
                         answer.zone_orders[0].position.revision);
  }

  // A name that cannot be one of a zone must not get into digests and metrics.
  void OrderWithoutAZoneIsUnreadable() {
    for (const std::string& zone :
         {std::string(), std::string(64, 'z'), std::string("a\\\"b")}) {
      const StoreAnswer answer =
          DecodeAnswer(Call(StoreCallKind::kList),
                       R"({"items":[{"key":"op/evacuate/)" + zone +
                           R"(","value":"e30=","rev":1}],"at":1})");
      CPPUNIT_ASSERT_MESSAGE(zone, answer.zone_orders.empty());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(zone, std::size_t{1},
                                   answer.unreadable.size());
    }
  }

  void WarmupLimitsAreDecoded() {
    for (const char* services :
         {R"([{"name":"s1","coldS":2.5,"coldPerS":8.5},{"name":"s2"}])",
          R"({"s1":{"coldS":2.5,"coldPerS":8.5},"s2":{"coldPerS":0}})"}) {
      const RouteSet routes = Decode(services);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, routes.warmup_limits.size());
      const WarmupLimit& limit = routes.warmup_limits[0];
      CPPUNIT_ASSERT(MakeServiceId("s1") == limit.service);
      CPPUNIT_ASSERT_EQUAL(8.5, limit.openings_per_second);
      CPPUNIT_ASSERT(Duration(2500000) == limit.warmup_time);
    }
  }

  // Whatever else the configuration holds, its routes stay valid.
  void UnreadableWarmupLimitsAreNoLimits() {
    for (const char* services :
         {"5", "[5]", "[]", "{}", R"({"s1":7})", R"([{"coldPerS":3}])",
          R"([{"name":"s1","coldPerS":"3"}])",
          R"([{"name":"s1","coldPerS":-3}])"}) {
      CPPUNIT_ASSERT_MESSAGE(services, Decode(services).warmup_limits.empty());
    }
  }

 private:
  static RouteSet Decode(const std::string& services) {
    std::size_t unreadable = 0;
    const auto routes = DecodeRoutes(
        R"({"version":3,"routes":[],"services":)" + services + "}", unreadable);
    CPPUNIT_ASSERT(routes.has_value());
    return *routes;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OperatorEntriesTest);

}  // namespace
}  // namespace cactuscross::platform
