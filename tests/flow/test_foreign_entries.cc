#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <vector>

#include "src/core/flow/view/server_table.h"
#include "tests/flow/flow_cores.h"

namespace cactuscross::testing {
namespace {

using std::chrono::seconds;

constexpr ServiceId kDesk{1};
constexpr ServiceId kParts{2};
constexpr ServiceId kExporter{3};
constexpr TimePoint kNow{seconds(100)};

ServerChange MakeChange(const std::string& name,
                        std::uint64_t revision,
                        ServiceId service) {
  ServerChange change;
  change.name = name;
  change.position = {1, revision};
  change.server.name = name;
  change.server.service = service;
  change.server.host = kHostA;
  return change;
}

// A table of servers of which the test says what the store and routes say.
class Table {
 public:
  void Apply(const ServerChange& change) {
    this->servers.Apply(kNow, change, this->events);
  }
  void Remove(ServerChange change, std::uint64_t revision) {
    change.removed = true;
    change.position.revision = revision;
    this->Apply(change);
  }
  void SetRouted(const std::vector<ServiceId>& services) {
    this->servers.SetRoutedServices(kNow, services, this->events);
  }
  // Names of the servers of `service` that new flows may be placed on.
  std::vector<std::string> Usable(ServiceId service) {
    std::vector<std::string> names;
    for (const ServerKey key : this->servers.OfService(service)) {
      const ServerEntry* entry = this->servers.Find(key);
      if (AcceptsNewFlows(kNow, *entry)) {
        names.push_back(entry->server.name);
      }
    }
    return names;
  }
  // Whether searches ask the agent on the host for flows of `service`.
  bool IsSearched(ServiceId service) {
    return !this->servers.OfService(service).empty() &&
           this->servers.FindByHost(kHostA, ServiceTag(service)) != nullptr;
  }

  ServerTable servers;
  std::vector<FlowEvent> events;
};

const std::vector<std::string> kNone;

// Entries of other writers on the hosts of servers, as when an exporter of
// metrics registers itself. They name no server; the others hold.
class ForeignEntriesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ForeignEntriesTest);
  CPPUNIT_TEST(EntryOfAnUnroutedServiceDisplacesNoServer);
  CPPUNIT_TEST(ForeignEntryFromBeforeTheRoutesDisplacesNoServer);
  CPPUNIT_TEST(ForeignEntryHidesNoServerThatAPeerKnows);
  CPPUNIT_TEST(PeersGetTheServerBesideAForeignEntry);
  CPPUNIT_TEST(HostReusedByARoutedServiceIsTaken);
  CPPUNIT_TEST(RemovalOfADisplacedServerDoesNotBringItBack);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against resets of open flows: the live server was displaced, so that
  // neither searches nor placement used it any more (review/1).
  void EntryOfAnUnroutedServiceDisplacesNoServer() {
    for (const bool watched : {true, false}) {
      BalancerAtStore site;
      if (watched) {
        site.Run(seconds(1));
      }
      site.Put("servers/exporter",
               MakeEntry("10.0.0.1:9100", "ready", R"("seq":1,"born":9000)",
                         "node-exporter"));
      site.Run(seconds(4));
      CPPUNIT_ASSERT((std::vector{kHostA, kHostB}) == site.HostsOfNewFlows());
      std::vector<std::uint32_t> asked;
      for (const OutgoingNotice& notice :
           site.Send(MakePacket(kFirstClient + 1, kFirstServer + 1)).notices) {
        if (notice.notice.kind == NoticeKind::kLookup) {
          asked.push_back(notice.host);
        }
      }
      // The host may be asked for the other service too, which an earlier
      // version of the routes may have named.
      std::sort(asked.begin(), asked.end());
      asked.erase(std::unique(asked.begin(), asked.end()), asked.end());
      CPPUNIT_ASSERT((std::vector{kHostA, kHostB}) == asked);
    }
  }

  // A balancer that starts may read the list of servers before the routes.
  void ForeignEntryFromBeforeTheRoutesDisplacesNoServer() {
    Table table;
    table.Apply(MakeChange("desk", 5, kDesk));
    table.Apply(MakeChange("exporter", 7, kExporter));
    table.SetRouted({kDesk});
    CPPUNIT_ASSERT(std::vector<std::string>{"desk"} == table.Usable(kDesk));
    CPPUNIT_ASSERT(table.IsSearched(kDesk));
    table.Remove(MakeChange("exporter", 7, kExporter), 9);
    CPPUNIT_ASSERT(std::vector<std::string>{"desk"} == table.Usable(kDesk));
  }

  // A server that has left may still hold flows. A balancer learns it from a
  // peer after it has read the foreign entry from the store.
  void ForeignEntryHidesNoServerThatAPeerKnows() {
    Table table;
    table.SetRouted({kDesk});
    table.Apply(MakeChange("exporter", 7, kExporter));
    table.Remove(MakeChange("desk", 5, kDesk), 6);
    CPPUNIT_ASSERT(table.IsSearched(kDesk));
  }

  // The table of a peer holds the server as well, in whatever order it gets the
  // entries.
  void PeersGetTheServerBesideAForeignEntry() {
    Table table;
    table.Apply(MakeChange("desk", 5, kDesk));
    table.Apply(MakeChange("exporter", 7, kExporter));
    std::vector<ServerChange> changes =
        table.servers.ChangesSince(kNow, StorePosition());
    for (int order = 0; order < 2; ++order) {
      Table peer;
      peer.SetRouted({kDesk});
      for (const ServerChange& change : changes) {
        peer.Apply(change);
      }
      CPPUNIT_ASSERT(std::vector<std::string>{"desk"} == peer.Usable(kDesk));
      CPPUNIT_ASSERT_EQUAL(table.servers.ListedHash(),
                           peer.servers.ListedHash());
      std::reverse(changes.begin(), changes.end());
    }
  }

  // The address of a server that is gone is used again by another service; its
  // route may come into force after its server has registered.
  void HostReusedByARoutedServiceIsTaken() {
    for (const bool routed_before : {true, false}) {
      Table table;
      table.SetRouted(routed_before ? std::vector{kDesk, kParts}
                                    : std::vector{kDesk});
      table.Apply(MakeChange("desk", 5, kDesk));
      table.Apply(MakeChange("parts", 7, kParts));
      table.SetRouted({kDesk, kParts});
      CPPUNIT_ASSERT(kNone == table.Usable(kDesk));
      CPPUNIT_ASSERT(!table.IsSearched(kDesk));
      CPPUNIT_ASSERT(std::vector<std::string>{"parts"} == table.Usable(kParts));
    }
  }

  // The store removes the entry of the displaced server later. Its removal is
  // newer than the entry of the server that has replaced it.
  void RemovalOfADisplacedServerDoesNotBringItBack() {
    Table table;
    table.SetRouted({kDesk, kParts});
    table.Apply(MakeChange("desk", 5, kDesk));
    table.Apply(MakeChange("parts", 7, kParts));
    table.Remove(MakeChange("desk", 5, kDesk), 9);
    table.SetRouted({kDesk});
    table.SetRouted({kDesk, kParts});
    CPPUNIT_ASSERT(std::vector<std::string>{"parts"} == table.Usable(kParts));
    CPPUNIT_ASSERT(!table.IsSearched(kDesk));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForeignEntriesTest);

}  // namespace
}  // namespace cactuscross::testing
