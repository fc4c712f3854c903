#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <string>

#include "platform/entry_decoder.h"

namespace cactuscross::platform {
namespace {

constexpr char kEntry[] =
    R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"z1",)"
    R"("version":"v1","slots":7,"state":"ready","coldRemainingMs":250,)"
    R"("seq":4,"born":1700000000123})";

// Values that are no valid server entry.
constexpr std::array kUnreadableEntries = {
    R"({"service":"s","address":"10.0.0.1:1","zone":"z","slots":7,)"
    R"("state":"ready","coldRemainingMs":0,"version":"v","seq":1,)"
    R"("born":"yesterday"})",
    R"({"service":"s","address":"10.0.0.1:1","zone":"z","slots":7,)"
    R"("state":"ready","coldRemainingMs":0,"version":2,"seq":1})",
    R"({"service":"s","address":"10.0.0.1:1","zone":"z","slots":7,)"
    R"("state":"ready","coldRemainingMs":0,"version":"v"})",
    "",
    "no json",
    "[]",
    R"({"service":"s"})",
    R"({"service":5,"address":"10.0.0.1:1","zone":"z","slots":7,)"
    R"("state":"ready","coldRemainingMs":0,"version":"v","seq":1})",
    R"({"service":"s","address":"10.0.0.1","zone":"z","slots":7,)"
    R"("state":"ready","coldRemainingMs":0,"version":"v","seq":1})",
    R"({"service":"s","address":"10.0.0.1:1","zone":"z","slots":0,)"
    R"("state":"ready","coldRemainingMs":0,"version":"v","seq":1})",
    R"({"service":"s","address":"10.0.0.1:1","zone":"z","slots":"7",)"
    R"("state":"ready","coldRemainingMs":0,"version":"v","seq":1})",
    R"({"service":"s","address":"10.0.0.1:1","zone":"z","slots":7,)"
    R"("state":"resting","coldRemainingMs":0,"version":"v","seq":1})",
    R"({"service":"s","address":"10.0.0.1:1","zone":"z","slots":7,)"
    R"("state":"ready","coldRemainingMs":-1,"version":"v","seq":1})",
};

constexpr char kConfig[] =
    R"({"version":7,"routes":[)"
    R"({"name":"a","host":"198.18.0.1","prefix":"/8080/","service":"s1"},)"
    R"({"name":"b","host":"198.18.0.1","prefix":"/8443/","backends":[)"
    R"({"service":"s1","weight":90},{"service":"s2","weight":10}]},)"
    R"({"name":"c","host":"198.18.0.1","prefix":"/path/","service":"s1"}],)"
    R"("limits":{"idleTimeoutMs":15000}})";

StoreCall Call(StoreSubject subject, StoreCallKind kind) {
  StoreCall call;
  call.subject = subject;
  call.kind = kind;
  return call;
}

// Tests the decoding of server entries, routes and answers of the store.
class EntryDecoderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EntryDecoderTest);
  CPPUNIT_TEST(EraIsADecimalNumber);
  CPPUNIT_TEST(ServerIsDecoded);
  CPPUNIT_TEST(UnreadableEntriesAreRejected);
  CPPUNIT_TEST(RoutesAreDecoded);
  CPPUNIT_TEST(ListReportsUnreadableEntries);
  CPPUNIT_TEST(WatchReportsRemovals);
  CPPUNIT_TEST(UnreadableEventIsARemoval);
  CPPUNIT_TEST(TruncatedListWithoutProgressIsMalformed);
  CPPUNIT_TEST(IdleTimeoutIsBounded);
  CPPUNIT_TEST(UnparsableBodiesAreMalformed);
  CPPUNIT_TEST(Base64IsDecoded);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EraIsADecimalNumber() {
    CPPUNIT_ASSERT(std::optional<std::uint64_t>(17) == DecodeEra("17"));
    CPPUNIT_ASSERT(std::optional<std::uint64_t>(0) == DecodeEra("0"));
    for (const char* malformed :
         {"", "-1", "1.5", "seven", "7 8", "99999999999999999999"}) {
      CPPUNIT_ASSERT_MESSAGE(malformed, !DecodeEra(malformed));
    }
  }

  void ServerIsDecoded() {
    const auto server = DecodeServer("i-1", kEntry);
    CPPUNIT_ASSERT(server.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("i-1"), server->name);
    CPPUNIT_ASSERT(MakeServiceId("huvo11a") == server->service);
    CPPUNIT_ASSERT_EQUAL(0x0A800009U, server->host);
    CPPUNIT_ASSERT_EQUAL(std::string("z1"), server->zone);
    CPPUNIT_ASSERT_EQUAL(7U, server->slots);
    CPPUNIT_ASSERT(ServerPhase::kServing == server->phase);
    CPPUNIT_ASSERT(Duration(250000) == server->warmup_time);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1700000000123}, server->started_ms);
  }

  void UnreadableEntriesAreRejected() {
    for (const char* entry : kUnreadableEntries) {
      CPPUNIT_ASSERT_MESSAGE(entry, !DecodeServer("i", entry).has_value());
    }
  }

  void RoutesAreDecoded() {
    std::size_t unreadable = 0;
    const auto routes = DecodeRoutes(kConfig, unreadable);
    CPPUNIT_ASSERT(routes.has_value());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, routes->version);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, routes->routes.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, unreadable);
    CPPUNIT_ASSERT(Endpoint({0xC6120001, 8080}) ==
                   routes->routes[0].service_address);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, routes->routes[1].services.size());
    CPPUNIT_ASSERT_EQUAL(90U, routes->routes[1].services[0].weight);
    CPPUNIT_ASSERT(Duration(15000000) == routes->idle_timeout);
  }

  void ListReportsUnreadableEntries() {
    // The first value is {"x":1} in Base64, which is no server entry.
    const std::string body =
        R"({"items":[{"key":"servers/a","value":"eyJ4IjoxfQ==","rev":3},)"
        R"({"key":"servers/b","value":"%%%%","rev":4},{"key":5,"rev":1}],)"
        R"("truncated":true,"at":9})";
    const StoreAnswer answer =
        DecodeAnswer(Call(StoreSubject::kServers, StoreCallKind::kList), body);
    CPPUNIT_ASSERT(StoreStatus::kOk == answer.status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, answer.unreadable.size());
    CPPUNIT_ASSERT(answer.servers.empty());
    CPPUNIT_ASSERT(answer.more);
    CPPUNIT_ASSERT_EQUAL(std::string("servers/b"), answer.last_key);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, answer.revision);
  }

  void WatchReportsRemovals() {
    const std::string body =
        R"({"events":[{"key":"servers/a","rev":12,"deleted":true}],"at":12})";
    const StoreAnswer answer =
        DecodeAnswer(Call(StoreSubject::kServers, StoreCallKind::kWatch), body);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, answer.servers.size());
    CPPUNIT_ASSERT(answer.servers[0].removed);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), answer.servers[0].name);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{12},
                         answer.servers[0].position.revision);
  }

  // The entry that the event replaces must not remain in use.
  void UnreadableEventIsARemoval() {
    const std::string body =
        R"({"events":[{"key":"servers/a","value":"eyJ4IjoxfQ==","rev":12}],)"
        R"("at":12})";
    const StoreAnswer answer =
        DecodeAnswer(Call(StoreSubject::kServers, StoreCallKind::kWatch), body);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, answer.unreadable.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, answer.servers.size());
    CPPUNIT_ASSERT(answer.servers[0].removed);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), answer.servers[0].name);
  }

  // A list that breaks off must not count as complete, since all servers that
  // it lacks would be unlisted. One that returns the same page again would be
  // read forever.
  void TruncatedListWithoutProgressIsMalformed() {
    StoreCall call = Call(StoreSubject::kServers, StoreCallKind::kList);
    CPPUNIT_ASSERT(
        StoreStatus::kMalformed ==
        DecodeAnswer(call, R"({"items":[],"truncated":true,"at":9})").status);
    const std::string page =
        R"({"items":[{"key":"servers/b","value":"","rev":4}],)"
        R"("truncated":true,"at":9})";
    call.page_after = "servers/a";
    CPPUNIT_ASSERT(StoreStatus::kOk == DecodeAnswer(call, page).status);
    call.page_after = "servers/b";
    CPPUNIT_ASSERT(StoreStatus::kMalformed == DecodeAnswer(call, page).status);
  }

  // Larger numbers overflow the internal unit.
  void IdleTimeoutIsBounded() {
    std::size_t unreadable = 0;
    const auto routes =
        DecodeRoutes(R"({"version":1,"routes":[],)"
                     R"("limits":{"idleTimeoutMs":18446744073709551615}})",
                     unreadable);
    CPPUNIT_ASSERT(Duration(3600000000) == routes->idle_timeout);
  }

  void UnparsableBodiesAreMalformed() {
    for (const char* body : {"", "{}", "{\"items\":5,\"at\":1}",
                             "{\"items\":[],\"at\":\"x\"}", "\xFF\xFE"}) {
      const StoreAnswer answer = DecodeAnswer(
          Call(StoreSubject::kServers, StoreCallKind::kList), body);
      CPPUNIT_ASSERT(StoreStatus::kMalformed == answer.status);
    }
  }

  void Base64IsDecoded() {
    CPPUNIT_ASSERT_EQUAL(std::string("node-1"), *DecodeBase64("bm9kZS0x"));
    CPPUNIT_ASSERT_EQUAL(std::string("a"), *DecodeBase64("YQ=="));
    CPPUNIT_ASSERT_EQUAL(std::string(), *DecodeBase64(""));
    CPPUNIT_ASSERT(!DecodeBase64("YQ=").has_value());
    CPPUNIT_ASSERT(!DecodeBase64("Y*==").has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryDecoderTest);

}  // namespace
}  // namespace cactuscross::platform
