#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "src/config/settings_parser.h"

namespace cactuscross {
namespace {

constexpr char kBalancer[] = R"(node: 1
zone: north-1
listen: "127.0.0.1:7001"
operations: "127.0.0.1:8001"
platform: ["127.0.0.1:9000"]
seeds:
  - {node: 1, zone: north-1, address: "127.0.0.1:7001"}
  - {node: 2, role: balancer, zone: north-2, address: "127.0.0.1:7002"}
stop_bound_ms: 5000
bind_address: "127.0.0.1"
)";

constexpr char kAgent[] = R"(node: 11
zone: north-1
listen: "127.0.0.1:7011"
operations: "127.0.0.1:8011"
service: workshops/claims
server: "127.0.0.1:9011"
)";

class SettingsParserTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettingsParserTest);
  CPPUNIT_TEST(BalancerSettingsAreParsed);
  CPPUNIT_TEST(AgentSettingsAreParsed);
  CPPUNIT_TEST(ErrorsReportFileAndLine);
  CPPUNIT_TEST(SettingsOfTheOtherRoleAreRejected);
  CPPUNIT_TEST_SUITE_END();

 public:
  void BalancerSettingsAreParsed() {
    const auto settings = ParseBalancerSettings(kBalancer, "b.yaml");
    CPPUNIT_ASSERT(settings.has_value());
    CPPUNIT_ASSERT(NodeId{1} == settings->node.node);
    CPPUNIT_ASSERT(Role::kBalancer == settings->node.role);
    CPPUNIT_ASSERT(Endpoint({0x7F000001, 8001}) == settings->node.operations);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, settings->node.platform.size());
    CPPUNIT_ASSERT_EQUAL(std::string("north-2"),
                         settings->node.seeds.at(1).zone);
    CPPUNIT_ASSERT(Duration(5000000) == settings->node.max_stop_time);
    CPPUNIT_ASSERT_EQUAL(0x7F000001U, settings->bind_address.value());
    CPPUNIT_ASSERT_EQUAL(NodeSettings().contract_readers_per_zone,
                         settings->node.contract_readers_per_zone);
  }

  void AgentSettingsAreParsed() {
    const auto settings = ParseAgentSettings(kAgent, "a.yaml");
    CPPUNIT_ASSERT(settings.has_value());
    CPPUNIT_ASSERT(Role::kAgent == settings->node.role);
    CPPUNIT_ASSERT_EQUAL(std::string("workshops/claims"), settings->service);
    CPPUNIT_ASSERT(Endpoint({0x7F000001, 9011}) == settings->server);
  }

  void ErrorsReportFileAndLine() {
    const auto settings = ParseAgentSettings(
        "node: 11\nzone: North\nlisten: \"127.0.0.1:7011\"\n"
        "operations: \"127.0.0.1:7011\"\nservice: claims\n",
        "a.yaml");
    CPPUNIT_ASSERT(!settings.has_value());
    std::vector<std::string> error_prefixes;
    for (const Error& error : settings.error()) {
      error_prefixes.push_back(ToString(error).substr(0, 13));
    }
    const std::vector<std::string> expected_prefixes = {
        "a.yaml:1: E10", "a.yaml:2: E11", "a.yaml:4: E10", "a.yaml:5: E11"};
    CPPUNIT_ASSERT(expected_prefixes == error_prefixes);
    CPPUNIT_ASSERT(ResultCode::kMissingKey == settings.error()[0].code);
    CPPUNIT_ASSERT(ResultCode::kBadName == settings.error()[1].code);
    CPPUNIT_ASSERT(ResultCode::kDuplicateAddress == settings.error()[2].code);
    CPPUNIT_ASSERT(ResultCode::kBadName == settings.error()[3].code);
  }

  void SettingsOfTheOtherRoleAreRejected() {
    CPPUNIT_ASSERT(!ParseBalancerSettings(kAgent, "a.yaml").has_value());
    CPPUNIT_ASSERT(!ParseAgentSettings(kBalancer, "b.yaml").has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsParserTest);

}  // namespace
}  // namespace cactuscross
