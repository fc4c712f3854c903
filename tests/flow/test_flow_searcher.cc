#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <utility>
#include <vector>

#include "cactuscross/flow_balancer.h"
#include "src/wire/flow_codec.h"

namespace cactuscross::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeed = 1;
constexpr TimePoint kStart{seconds(100)};
constexpr FlowKey kFlow = {{0x64400007, 40001}, {0xC6120001, 8080}};
constexpr std::uint32_t kServers = 3;
constexpr char kService[] = "desk";

FlowBalancerSettings Settings() {
  FlowBalancerSettings settings;
  settings.node.data = {0x0A010001, 1};
  return settings;
}

std::vector<OutgoingNotice> Lookups(const FlowBalancerOutbox& outbox) {
  std::vector<OutgoingNotice> lookups;
  for (const OutgoingNotice& notice : outbox.notices) {
    if (notice.notice.kind == NoticeKind::kLookup) {
      lookups.push_back(notice);
    }
  }
  return lookups;
}

// A balancer without peers, with three servers on the hosts 1 to 3.
class BalancerBed {
 public:
  // `reused`: a server of another service has replaced the third one.
  // `leaving`: host of the server that is leaving; 0: none.
  explicit BalancerBed(bool reused = false,
                       std::uint32_t servers = kServers,
                       std::uint32_t leaving = 0)
      : reused(reused),
        servers(servers),
        leaving(leaving),
        balancer(Settings(), kSeed) {
    this->Tick({});
    this->Advance(seconds(1));
  }

  FlowBalancerOutbox Tick(FlowBalancerInbox inbox) {
    if (!this->store_down) {
      for (const StoreCall& call : std::exchange(this->calls, {})) {
        inbox.store_answers.push_back(AnswerTo(call));
      }
    }
    FlowBalancerOutbox outbox = this->balancer.Tick(this->now, inbox);
    this->calls.insert(this->calls.end(), outbox.store_calls.begin(),
                       outbox.store_calls.end());
    return outbox;
  }

  // Returns the number of resets.
  std::size_t Advance(Duration time) {
    std::size_t resets = 0;
    for (const TimePoint end = this->now + time; this->now < end;) {
      this->now += milliseconds(10);
      const FlowBalancerOutbox outbox = this->Tick({});
      resets += outbox.resets.size();
      this->last_lookups = Lookups(outbox);
    }
    return resets;
  }

  FlowBalancerOutbox Receive(const FlowPacket& packet) {
    FlowBalancerInbox inbox;
    inbox.packets = {packet};
    return this->Tick(std::move(inbox));
  }

  FlowBalancerOutbox Receive(FlowNotice notice, std::uint32_t host) {
    notice.sender = host;
    notice.service_tag = ServiceTag(MakeServiceId(kService));
    FlowBalancerInbox inbox;
    inbox.notices = {std::move(notice)};
    return this->Tick(std::move(inbox));
  }

  FlowBalancerOutbox ReplyTo(const OutgoingNotice& lookup,
                             LookupResult result) {
    FlowNotice reply;
    reply.kind = NoticeKind::kLookupReply;
    reply.lookups = lookup.notice.lookups;
    for (FlowLookup& entry : reply.lookups) {
      entry.result = result;
    }
    return this->Receive(std::move(reply), lookup.host);
  }

  bool store_down = false;
  std::vector<OutgoingNotice> last_lookups;  // of the last tick of Advance()

 private:
  StoreAnswer AnswerTo(const StoreCall& call) const {
    StoreAnswer answer;
    answer.subject = call.subject;
    answer.kind = call.kind;
    answer.generation = call.generation;
    answer.status = StoreStatus::kOk;
    answer.revision = 10;
    if (call.kind == StoreCallKind::kWatch) {
      return answer;
    }
    if (call.subject == StoreSubject::kRoutes) {
      FlowRoute route;
      route.service_address = kFlow.service_address;
      route.services = {{MakeServiceId(kService), 1}};
      answer.routes = {{10, {route}, {}, Duration{0}}};
      return answer;
    }
    for (std::uint32_t host = 1; host <= this->servers; ++host) {
      ServerChange change;
      change.position.revision = host;
      change.name = "s" + std::to_string(host);
      change.server.name = change.name;
      change.server.service = MakeServiceId(kService);
      change.server.host = host;
      change.server.phase =
          host == this->leaving ? ServerPhase::kLeaving : ServerPhase::kServing;
      answer.servers.push_back(change);
    }
    if (this->reused) {
      ServerChange change = answer.servers.back();
      ++change.position.revision;
      change.name = "t3";
      change.server.name = change.name;
      change.server.service = MakeServiceId("other");
      answer.servers.push_back(change);
    }
    return answer;
  }

  const bool reused;
  const std::uint32_t servers;
  const std::uint32_t leaving;
  FlowBalancer balancer;
  TimePoint now = kStart;
  std::vector<StoreCall> calls;
};

// How a balancer acts on the results of lookups: what it forwards and what it
// resets.
class FlowSearcherTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FlowSearcherTest);
  CPPUNIT_TEST(BufferedPacketsGoToTheHolder);
  CPPUNIT_TEST(FlowThatAllServersDenyIsReset);
  CPPUNIT_TEST(UnknownResultIsFollowedByThePacket);
  CPPUNIT_TEST(PacketForManyServersIsRelayed);
  CPPUNIT_TEST(LostLookupCausesNoReset);
  CPPUNIT_TEST(OpeningEndsTheSearch);
  CPPUNIT_TEST(DenialOfTheHolderReplacesACurrentView);
  CPPUNIT_TEST(StaleViewCausesNoReset);
  CPPUNIT_TEST(WrongServiceIsADenial);
  CPPUNIT_TEST(WrongServiceOfAnEarlierQueryDeniesNoNewServer);
  CPPUNIT_TEST(EndedServerIsNotAwaited);
  CPPUNIT_TEST(ServerThatStartsAgainIsAwaited);
  CPPUNIT_TEST(EndOfAServerThatIsNotLeavingIsIgnored);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Lookups carry no packet, so that the one that started the search must be
  // forwarded as well.
  void BufferedPacketsGoToTheHolder() {
    const auto lookups = Lookups(this->bed.Receive(this->MakePacket()));
    CPPUNIT_ASSERT_EQUAL(std::size_t{kServers}, lookups.size());
    CPPUNIT_ASSERT(this->bed.Receive(this->MakePacket()).forwards.empty());
    const auto outbox = this->bed.ReplyTo(lookups[1], LookupResult::kHeld);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, outbox.forwards.size());
    CPPUNIT_ASSERT_EQUAL(lookups[1].host,
                         outbox.forwards[0].destination.address);
    CPPUNIT_ASSERT(MarkPurpose::kCached == outbox.forwards[0].mark.purpose);
    // Later packets follow without a search.
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         this->bed.Receive(this->MakePacket()).forwards.size());
  }

  void FlowThatAllServersDenyIsReset() {
    const auto lookups = Lookups(this->bed.Receive(this->MakePacket()));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->Deny(lookups, 0, 2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->Deny(lookups, 2, 3));
  }

  // The agent was restarted beside a living server, or two servers accepted the
  // same opening.
  void UnknownResultIsFollowedByThePacket() {
    const auto lookups = Lookups(this->bed.Receive(this->MakePacket()));
    this->Deny(lookups, 0, 2);
    const auto outbox = this->bed.ReplyTo(lookups[2], LookupResult::kUnknown);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outbox.forwards.size());
    CPPUNIT_ASSERT(MarkPurpose::kSearch == outbox.forwards[0].mark.purpose);
    CPPUNIT_ASSERT_EQUAL(lookups[2].host,
                         outbox.forwards[0].destination.address);
    this->bed.Receive(this->MakePacket());
    FlowNotice held;
    held.kind = NoticeKind::kHeld;
    held.flow = kFlow;
    // The holder has received the first packet with the query.
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{1},
        this->bed.Receive(held, lookups[2].host).forwards.size());
  }

  // Agents that do not know all flows of their servers need the packet. Guards
  // against sending it to each of them over the balancer's link, and against a
  // relay that its receiver rejects because it does not name the flow.
  void PacketForManyServersIsRelayed() {
    constexpr std::uint32_t kManyServers = 8;
    BalancerBed many(false, kManyServers);
    auto lookups = Lookups(many.Receive(this->MakePacket()));
    FlowBalancerOutbox outbox;
    for (const OutgoingNotice& lookup : lookups) {
      outbox = many.ReplyTo(lookup, LookupResult::kNotHeld);
    }
    lookups = Lookups(outbox);
    CPPUNIT_ASSERT_EQUAL(std::size_t{kManyServers - 3}, lookups.size());
    for (const OutgoingNotice& lookup : lookups) {
      outbox = many.ReplyTo(lookup, LookupResult::kUnknown);
    }
    CPPUNIT_ASSERT(outbox.forwards.empty());
    const auto relay =
        std::find_if(outbox.notices.begin(), outbox.notices.end(),
                     [](const OutgoingNotice& notice) {
                       return notice.notice.kind == NoticeKind::kRelay;
                     });
    CPPUNIT_ASSERT(relay != outbox.notices.end());
    CPPUNIT_ASSERT_EQUAL(lookups.size(), relay->notice.relay_hosts.size());
    CPPUNIT_ASSERT(relay->notice.flow == kFlow);
    CPPUNIT_ASSERT(relay->notice.packet == this->bytes);
    CPPUNIT_ASSERT(relay->notice.collect_answers);
    // The relaying agent reports the answers of the others.
    FlowNotice reply;
    reply.kind = NoticeKind::kRelayReply;
    reply.lookups = {{kFlow, LookupResult::kNotHeld}};
    reply.relay_hosts = relay->notice.relay_hosts;
    const std::uint32_t last = reply.relay_hosts.back();
    reply.relay_hosts.pop_back();
    const std::uint32_t sender = relay->host;
    reply = *DecodeFlowNotice(EncodeFlowNotice(reply), sender);
    CPPUNIT_ASSERT(many.Receive(reply, sender).resets.empty());
    reply.relay_hosts = {last};
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         many.Receive(reply, sender).resets.size());
  }

  void LostLookupCausesNoReset() {
    const auto lookups = Lookups(this->bed.Receive(this->MakePacket()));
    this->Deny(lookups, 0, 2);
    // The search asks the third server alone again, and does not wait for the
    // client's retransmission.
    std::vector<OutgoingNotice> again;
    for (int i = 0; i < 20 && again.empty(); ++i) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->bed.Advance(milliseconds(10)));
      again = this->bed.last_lookups;
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, again.size());
    CPPUNIT_ASSERT_EQUAL(lookups[2].host, again[0].host);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->Deny(again, 0, 1));
  }

  // Answers to lookups from before the opening say nothing about the flow that
  // the client opens now.
  void OpeningEndsTheSearch() {
    const auto lookups = Lookups(this->bed.Receive(this->MakePacket()));
    FlowPacket opening = this->MakePacket();
    opening.opening = true;
    opening.acknowledges = false;
    const auto placed = this->bed.Receive(opening);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, placed.forwards.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->Deny(lookups, 0, kServers));
    FlowNotice accepted;
    accepted.kind = NoticeKind::kAccepted;
    accepted.flow = kFlow;
    this->bed.Receive(accepted, placed.forwards[0].destination.address);
    const auto outbox = this->bed.Receive(this->MakePacket());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outbox.forwards.size());
    CPPUNIT_ASSERT_EQUAL(placed.forwards[0].destination.address,
                         outbox.forwards[0].destination.address);
  }

  void DenialOfTheHolderReplacesACurrentView() {
    auto lookups = Lookups(this->bed.Receive(this->MakePacket()));
    this->bed.ReplyTo(lookups[0], LookupResult::kHeld);
    this->bed.store_down = true;
    this->bed.Advance(seconds(4));
    FlowNotice denial;
    denial.kind = NoticeKind::kNotHeld;
    denial.flow = kFlow;
    denial.packet = this->bytes;
    denial.acknowledgement = this->MakePacket().acknowledgement;
    lookups = Lookups(this->bed.Receive(denial, lookups[0].host));
    CPPUNIT_ASSERT_EQUAL(std::size_t{kServers}, lookups.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->Deny(lookups, 0, kServers));
  }

  // A server that this balancer does not know may hold the flow.
  void StaleViewCausesNoReset() {
    this->bed.store_down = true;
    this->bed.Advance(seconds(4));
    const auto lookups = Lookups(this->bed.Receive(this->MakePacket()));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->Deny(lookups, 0, kServers));
  }

  // The host was reused by another service.
  void WrongServiceIsADenial() {
    const auto lookups = Lookups(this->bed.Receive(this->MakePacket()));
    this->Deny(lookups, 0, 2);
    FlowBalancerInbox inbox;
    FlowNotice& notice = inbox.notices.emplace_back();
    notice.kind = NoticeKind::kWrongService;
    notice.sender = lookups[2].host;
    notice.service_tag = ServiceTag(MakeServiceId("other"));
    notice.lookups = lookups[2].notice.lookups;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         this->bed.Tick(std::move(inbox)).resets.size());
  }

  // The notice answers a query for the server that was replaced. It says
  // nothing of the one that runs on the host now.
  void WrongServiceOfAnEarlierQueryDeniesNoNewServer() {
    BalancerBed reused_bed(/*reused=*/true);
    const auto lookups = Lookups(reused_bed.Receive(this->MakePacket()));
    CPPUNIT_ASSERT_EQUAL(std::size_t{kServers}, lookups.size());
    for (const OutgoingNotice& lookup : lookups) {
      if (lookup.host != kServers) {
        reused_bed.ReplyTo(lookup, LookupResult::kNotHeld);
      }
    }
    FlowBalancerInbox inbox;
    FlowNotice& notice = inbox.notices.emplace_back();
    notice.kind = NoticeKind::kWrongService;
    notice.sender = kServers;
    notice.service_tag = ServiceTag(MakeServiceId("other"));
    notice.flow = kFlow;
    CPPUNIT_ASSERT(reused_bed.Tick(std::move(inbox)).resets.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, reused_bed.Advance(milliseconds(300)));
  }

  // Load: a release replaces a server each second while flows are searched
  // that were lost. Guards against searches that wait until the agent of a
  // server that has just left counts as silent (1.5 s).
  void EndedServerIsNotAwaited() {
    BalancerBed release(false, kServers, kServers);
    release.Receive(EndNotice(true), kServers);
    const auto lookups = Lookups(release.Receive(this->MakePacket()));
    CPPUNIT_ASSERT_EQUAL(std::size_t{kServers - 1}, lookups.size());
    release.ReplyTo(lookups[0], LookupResult::kNotHeld);
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{1},
        release.ReplyTo(lookups[1], LookupResult::kNotHeld).resets.size());
  }

  // The host was given to another server of the service while the entry of the
  // former one still says that it is leaving. Guards against a reset of a flow
  // that the new server holds.
  void ServerThatStartsAgainIsAwaited() {
    BalancerBed release(false, kServers, kServers);
    release.Receive(EndNotice(true), kServers);
    release.Receive(EndNotice(false), kServers);
    CPPUNIT_ASSERT_EQUAL(std::size_t{kServers},
                         Lookups(release.Receive(this->MakePacket())).size());
  }

  // A late announcement of a former server's end must not apply to the one that
  // the store lists as serving.
  void EndOfAServerThatIsNotLeavingIsIgnored() {
    this->bed.Receive(EndNotice(true), kServers);
    const auto lookups = Lookups(this->bed.Receive(this->MakePacket()));
    CPPUNIT_ASSERT_EQUAL(std::size_t{kServers}, lookups.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->Deny(lookups, 0, 2));
  }

 private:
  static FlowNotice EndNotice(bool ended) {
    FlowNotice notice;
    notice.load.down = ended;
    notice.load.ended = ended;
    return *DecodeFlowNotice(EncodeFlowNotice(notice), kServers);
  }

  FlowPacket MakePacket() const {
    FlowPacket packet;
    packet.flow = kFlow;
    packet.acknowledges = true;
    packet.acknowledgement = 501;
    packet.bytes = this->bytes;
    return packet;
  }

  // Denies the flow in the name of the servers of `lookups` from `first` to
  // before `end`. Returns the number of resets.
  std::size_t Deny(const std::vector<OutgoingNotice>& lookups,
                   std::size_t first,
                   std::size_t end) {
    std::size_t resets = 0;
    for (std::size_t i = first; i < end; ++i) {
      resets += this->bed.ReplyTo(lookups.at(i), LookupResult::kNotHeld)
                    .resets.size();
    }
    return resets;
  }

  const Bytes bytes = Bytes(100, 'x');
  BalancerBed bed;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FlowSearcherTest);

}  // namespace
}  // namespace cactuscross::testing
