#include <cppunit/extensions/HelperMacros.h>

#include <poll.h>

#include <string>

#include "src/shell/operations_server.h"
#include "src/shell/platform_client.h"

namespace cactuscross {
namespace {

// Tests the text format of /metrics and the parsing of the platform's
// responses.
class ObservationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ObservationTest);
  CPPUNIT_TEST(MetricsAreGroupedByName);
  CPPUNIT_TEST(ContractsAreRead);
  CPPUNIT_TEST(HostsAreRead);
  CPPUNIT_TEST(HostOfAnUnknownRoleIsIgnored);
  CPPUNIT_TEST(NodeNumberAbove32BitsIsMalformed);
  CPPUNIT_TEST(MalformedResponsesAreNotOk);
  CPPUNIT_TEST(UnreachablePlatformIsNotOk);
  CPPUNIT_TEST_SUITE_END();

 public:
  void MetricsAreGroupedByName() {
    const std::string text =
        FormatMetrics({{"b_total", MetricKind::kCounter, "kind=\"x\"", 2},
                       {"a", MetricKind::kGauge, "", 0.5},
                       {"b_total", MetricKind::kCounter, "kind=\"y\"", 1e9}});
    CPPUNIT_ASSERT_EQUAL(
        std::string("# TYPE cactuscross_a gauge\ncactuscross_a 0.5\n"
                    "# TYPE cactuscross_b_total counter\n"
                    "cactuscross_b_total{kind=\"x\"} 2\n"
                    "cactuscross_b_total{kind=\"y\"} 1000000000\n"),
        text);
  }

  void ContractsAreRead() {
    const PlatformResult result = ParsePlatformResponse(
        PlatformReadKind::kWatchContracts,
        R"({"revision":9,"values":[{"customer":"a","version":7,)"
        R"("deleted":false,"text":"customer: a"},)"
        R"({"customer":"b","version":9,"deleted":true}]})");
    CPPUNIT_ASSERT(result.ok);
    CPPUNIT_ASSERT_EQUAL(ContractVersion{9}, result.revision);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, result.values.size());
    CPPUNIT_ASSERT_EQUAL(std::string("customer: a"), result.values[0].text);
    CPPUNIT_ASSERT(result.values[1].deleted);
  }

  void HostsAreRead() {
    const PlatformResult result = ParsePlatformResponse(
        PlatformReadKind::kReadHosts,
        R"({"hosts":[{"node":1,"role":"agent","zone":"north-1",)"
        R"("address":"127.0.0.1:7001","state":"leaving"}]})");
    CPPUNIT_ASSERT(result.ok);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, result.hosts.size());
    CPPUNIT_ASSERT(result.hosts[0].peer.role == Role::kAgent);
    CPPUNIT_ASSERT(result.hosts[0].leaving);
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:7001"),
                         ToString(result.hosts[0].peer.endpoint));
  }

  // A host of a role that this version does not know must not get the messages
  // for balancers.
  void HostOfAnUnknownRoleIsIgnored() {
    const PlatformResult result = ParsePlatformResponse(
        PlatformReadKind::kReadHosts, MakeHosts("7", "archive"));
    CPPUNIT_ASSERT(result.ok);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, result.hosts.size());
    CPPUNIT_ASSERT(result.hosts[0].peer.role == Role::kBalancer);
  }

  // 4294967297 has the lower 32 bits of node 1, which is another host.
  void NodeNumberAbove32BitsIsMalformed() {
    CPPUNIT_ASSERT(ParsePlatformResponse(PlatformReadKind::kReadHosts,
                                         MakeHosts("4294967295", "agent"))
                       .ok);
    CPPUNIT_ASSERT(!ParsePlatformResponse(PlatformReadKind::kReadHosts,
                                          MakeHosts("4294967297", "agent"))
                        .ok);
  }

  void MalformedResponsesAreNotOk() {
    const std::string oversize(2U << 20U, 'x');
    for (const std::string& body :
         {std::string(), std::string("[]"), std::string("{"),
          std::string(R"({"revision":-1,"values":[]})"),
          std::string(R"({"revision":1,"values":[{"customer":1}]})"),
          R"({"revision":1,"values":[{"customer":"a","version":1,"text":")" +
              oversize + "\"}]}"}) {
      const PlatformResult result =
          ParsePlatformResponse(PlatformReadKind::kWatchContracts, body);
      CPPUNIT_ASSERT(!result.ok && result.values.empty());
    }
    CPPUNIT_ASSERT(
        !ParsePlatformResponse(PlatformReadKind::kReadHosts,
                               R"({"hosts":[{"node":1,"role":"agent",)"
                               R"("zone":"z","address":"x",)"
                               R"("state":"live"}]})")
             .ok);
  }

  void UnreachablePlatformIsNotOk() {
    const WakeEvent wake;
    PlatformClient client({Endpoint{0x7F000001, 1}}, wake);
    client.Read(PlatformRead{PlatformReadKind::kReadHosts, 0, Duration(0)});
    std::vector<PlatformResult> results;
    while (results.empty()) {
      pollfd entry{wake.Get(), POLLIN, 0};
      poll(&entry, 1, -1);
      wake.Drain();
      results = client.TakeResults();
    }
    CPPUNIT_ASSERT(!results[0].ok);
  }

 private:
  // Returns a list of a balancer and another host.
  static std::string MakeHosts(const std::string& node,
                               const std::string& role) {
    const std::string rest =
        R"(,"zone":"z","address":"127.0.0.1:7001","state":"live"})";
    return R"({"hosts":[{"node":2,"role":"balancer")" + rest + R"(,{"node":)" +
           node + R"(,"role":")" + role + "\"" + rest + "]}";
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ObservationTest);

}  // namespace
}  // namespace cactuscross
