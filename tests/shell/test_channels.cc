#include <cppunit/extensions/HelperMacros.h>

#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <vector>

#include <zmq.hpp>

#include "src/shell/control_channel.h"
#include "src/shell/peer_channel.h"
#include "src/shell/service_sockets.h"
#include "src/wire/coap_codec.h"
#include "src/wire/peer_codec.h"

namespace cactuscross {
namespace {

// A loopback address that only this process uses, 127.91.x.y. On a shared
// address, another process could hold the TCP port of the same number as the
// UDP port that FreeEndpoint() found.
const std::uint32_t kLoopback =
    0x7F5B0000U | (static_cast<std::uint32_t>(getpid()) & 0xFFFFU);
constexpr TimePoint kStart{Duration(1000000)};
// Max number of polls, 1 ms each, in which a test waits for messages. It is
// also the timeout of SendAndGetSource() in ms.
constexpr int kMaxPolls = 5000;

// Returns an endpoint whose port is free for UDP and TCP.
Endpoint FreeEndpoint() {
  return UdpSocket::Open(Endpoint{kLoopback, 0})->Local();
}

PeerEnvelope MakeProbe(const Endpoint& to, std::uint64_t sequence) {
  PeerEnvelope envelope;
  envelope.from.node = NodeId{1};
  envelope.to.node = NodeId{2};
  envelope.to.endpoint = to;
  envelope.body = Probe{sequence, false, {}};
  return envelope;
}

PeerEnvelope MakeDigest(const Endpoint& to) {
  PeerEnvelope envelope = MakeProbe(to, 0);
  envelope.body = ContractDigest{};
  return envelope;
}

std::vector<PeerEnvelope> WaitFor(PeerChannel& channel, std::size_t count) {
  std::vector<PeerEnvelope> all;
  for (int i = 0; i < kMaxPolls && all.size() < count; ++i) {
    std::vector<pollfd> entries;
    channel.AppendPollEntries(entries);
    poll(entries.data(), entries.size(), 1);
    for (PeerEnvelope& envelope : channel.Receive(kStart)) {
      all.push_back(std::move(envelope));
    }
  }
  return all;
}

std::vector<PeerEnvelope> WaitFor(ControlChannel& channel) {
  std::vector<PeerEnvelope> received;
  for (int i = 0; i < kMaxPolls && received.empty(); ++i) {
    pollfd entry = channel.PollEntry();
    poll(&entry, 1, 1);
    received = channel.Receive();
  }
  return received;
}

// Sends `envelope` and returns the source address that `receiver` sees.
Endpoint SendAndGetSource(PeerChannel& channel,
                          const PeerEnvelope& envelope,
                          const UdpSocket& receiver) {
  channel.Queue(kStart, envelope);
  channel.Flush();
  pollfd entry{receiver.Get(), POLLIN, 0};
  poll(&entry, 1, kMaxPolls);
  return receiver.Receive().at(0).source;
}

// Linux enables receive timestamps asynchronously when the first socket of the
// host asks for them. A datagram that arrives earlier is stamped only when it
// is read. Returns whether `socket` has received one stamped on arrival.
bool WaitForArrivalTimestamps(const UdpSocket& socket) {
  constexpr useconds_t kWaitUs = 1000;
  const OutgoingDatagram datagram{socket.Local(), Bytes{1}};
  for (int i = 0; i < kMaxPolls; ++i) {
    socket.Send(gsl::make_span(&datagram, 1));
    usleep(kWaitUs);
    for (const ReceivedDatagram& received : socket.Receive()) {
      if (received.age >= Duration(kWaitUs)) {
        return true;
      }
    }
  }
  return false;
}

// Tests the sockets of a process: the UDP channel between processes, the ZeroMQ
// channel for control messages, and the service addresses for callers.
class ChannelsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ChannelsTest);
  CPPUNIT_TEST(EveryDatagramOfABurstArrives);
  CPPUNIT_TEST(MalformedDatagramsAreCounted);
  CPPUNIT_TEST(RenewedPathUsesANewPort);
  CPPUNIT_TEST(SocketQueueTimeCountsAgainstTheDeadline);
  CPPUNIT_TEST(NewPathProbeUsesAPortOfItsOwn);
  CPPUNIT_TEST(NewPortOfAPeerCausesOneReciprocalRenewal);
  CPPUNIT_TEST(ReciprocalRenewalsEnd);
  CPPUNIT_TEST(DigestIsSentOverZeroMq);
  CPPUNIT_TEST(MalformedControlMessagesAreDropped);
  CPPUNIT_TEST(QueueToADeadPeerIsBounded);
  CPPUNIT_TEST(FailedBindIsRetried);
  CPPUNIT_TEST(RejectionsFollowTheRfc);
  CPPUNIT_TEST(RejectionThatIsNotSentIsCounted);
  CPPUNIT_TEST(OldestRenewedPathIsReplaced);
  CPPUNIT_TEST(OldestAlternateSourceIsForgotten);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EveryDatagramOfABurstArrives() {
    ShellCounters counters;
    const Endpoint a = FreeEndpoint();
    const Endpoint b = FreeEndpoint();
    auto sender = PeerChannel::Open(a, counters);
    auto receiver = PeerChannel::Open(b, counters);
    CPPUNIT_ASSERT(sender && receiver);
    constexpr std::uint64_t kBurst = 100;
    for (std::uint64_t i = 0; i < kBurst; ++i) {
      sender->Queue(kStart, MakeProbe(b, i));
    }
    sender->Flush();
    const auto received = WaitFor(*receiver, kBurst);
    CPPUNIT_ASSERT_EQUAL(std::size_t{kBurst}, received.size());
    for (std::uint64_t i = 0; i < kBurst; ++i) {
      CPPUNIT_ASSERT_EQUAL(i, std::get<Probe>(received[i].body).sequence);
    }
    CPPUNIT_ASSERT_EQUAL(kBurst, counters.peer_datagrams_sent);
  }

  void MalformedDatagramsAreCounted() {
    ShellCounters counters;
    const Endpoint local = FreeEndpoint();
    auto channel = PeerChannel::Open(local, counters);
    auto unknown_sender = UdpSocket::Open(Endpoint{kLoopback, 0});
    const std::vector<OutgoingDatagram> datagrams{
        {local, Bytes{1, 2, 3}}, {local, EncodeEnvelope(MakeProbe(local, 7))}};
    unknown_sender->Send(datagrams);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, WaitFor(*channel, 1).size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, counters.peer_datagrams_malformed);
  }

  void RenewedPathUsesANewPort() {
    ShellCounters counters;
    auto receiver = UdpSocket::Open(Endpoint{kLoopback, 0});
    const Endpoint local = FreeEndpoint();
    auto channel = PeerChannel::Open(local, counters);
    const PeerEnvelope probe = MakeProbe(receiver->Local(), 1);
    std::vector<Endpoint> sources;
    for (int i = 0; i < 3; ++i) {
      sources.push_back(SendAndGetSource(*channel, probe, *receiver));
      channel->RenewPath(kStart, probe.to.node);
    }
    CPPUNIT_ASSERT(sources[0] == local);
    CPPUNIT_ASSERT(sources[1] != local);
    CPPUNIT_ASSERT(sources[2] != local && sources[2] != sources[1]);
    // A late answer to the second source port, now replaced, is still received.
    auto peer = UdpSocket::Open(Endpoint{kLoopback, 0});
    const OutgoingDatagram late_answer{
        sources[1], EncodeEnvelope(MakeProbe(sources[1], 5))};
    peer->Send(gsl::make_span(&late_answer, 1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, WaitFor(*channel, 1).size());
  }

  // A process that was paused receives requests that have waited in its socket.
  // It must not run those whose deadline passed meanwhile.
  void SocketQueueTimeCountsAgainstTheDeadline() {
    // Stays open until the end of the test, so that timestamps stay enabled.
    const auto timestamped = UdpSocket::Open(Endpoint{kLoopback, 0});
    CPPUNIT_ASSERT(timestamped);
    CPPUNIT_ASSERT_MESSAGE("no datagram was stamped on arrival",
                           WaitForArrivalTimestamps(*timestamped));
    ShellCounters counters;
    const Endpoint local = FreeEndpoint();
    auto channel = PeerChannel::Open(local, counters);
    PeerEnvelope envelope = MakeProbe(local, 1);
    ForwardedRequest request;
    request.message.code = CoapCode::kGet;
    for (const Duration budget :
         {Duration(0), Duration(10000), Duration(60000000)}) {
      request.budget = budget;
      envelope.body = request;
      channel->Queue(kStart, envelope);
    }
    channel->Flush();
    constexpr useconds_t kPauseUs = 30000;
    usleep(kPauseUs);
    const auto received = WaitFor(*channel, 3);
    const auto budget = [&received](std::size_t i) {
      return std::get<ForwardedRequest>(received[i].body).budget;
    };
    CPPUNIT_ASSERT(budget(0) == Duration(0));  // deadline has not started
    CPPUNIT_ASSERT(budget(1) == Duration(1));  // deadline has passed
    CPPUNIT_ASSERT(budget(2) <= Duration(60000000 - kPauseUs));
    CPPUNIT_ASSERT(budget(2) > Duration(1));
  }

  void NewPathProbeUsesAPortOfItsOwn() {
    ShellCounters counters;
    auto receiver = UdpSocket::Open(Endpoint{kLoopback, 0});
    const Endpoint local = FreeEndpoint();
    auto channel = PeerChannel::Open(local, counters);
    PeerEnvelope new_path_message = MakeProbe(receiver->Local(), 1);
    std::get<Probe>(new_path_message.body).new_path = true;
    const PeerEnvelope plain_message = MakeProbe(receiver->Local(), 2);
    CPPUNIT_ASSERT(SendAndGetSource(*channel, new_path_message, *receiver) !=
                   local);
    CPPUNIT_ASSERT(SendAndGetSource(*channel, plain_message, *receiver) ==
                   local);
    ProbeReply reply;
    reply.new_path = true;
    new_path_message.body = reply;
    CPPUNIT_ASSERT(SendAndGetSource(*channel, new_path_message, *receiver) !=
                   local);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, counters.paths_renewed);
  }

  void NewPortOfAPeerCausesOneReciprocalRenewal() {
    ShellCounters counters;
    const Endpoint local = FreeEndpoint();
    auto channel = PeerChannel::Open(local, counters);
    auto peer = UdpSocket::Open(Endpoint{kLoopback, 0});
    auto new_port = UdpSocket::Open(Endpoint{kLoopback, 0});
    PeerEnvelope from_peer = MakeProbe(local, 1);
    from_peer.from.node = NodeId{2};
    from_peer.from.endpoint = peer->Local();
    const OutgoingDatagram datagram{local, EncodeEnvelope(from_peer)};
    const PeerEnvelope answer = MakeProbe(peer->Local(), 2);
    peer->Send(gsl::make_span(&datagram, 1));
    WaitFor(*channel, 1);
    CPPUNIT_ASSERT(SendAndGetSource(*channel, answer, *peer) == local);
    // The second message from the new port causes no further renewal.
    for (int i = 0; i < 2; ++i) {
      new_port->Send(gsl::make_span(&datagram, 1));
      WaitFor(*channel, 1);
      CPPUNIT_ASSERT(SendAndGetSource(*channel, answer, *peer) != local);
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, counters.paths_renewed);
  }

  // A new source port of one node makes the other renew its path too. Two nodes
  // must not renew their paths in response to each other forever.
  void ReciprocalRenewalsEnd() {
    ShellCounters counters;
    const Endpoint a = FreeEndpoint();
    const Endpoint b = FreeEndpoint();
    auto first = PeerChannel::Open(a, counters);
    auto second = PeerChannel::Open(b, counters);
    PeerEnvelope to_second = MakeProbe(b, 1);
    to_second.from.endpoint = a;
    PeerEnvelope to_first = MakeProbe(a, 1);
    to_first.from.endpoint = b;
    std::swap(to_first.from.node, to_first.to.node);
    first->RenewPath(kStart, to_second.to.node);
    for (int i = 0; i < 5; ++i) {
      first->Queue(kStart, to_second);
      first->Flush();
      WaitFor(*second, 1);
      second->Queue(kStart, to_first);
      second->Flush();
      WaitFor(*first, 1);
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, counters.paths_renewed);
  }

  void DigestIsSentOverZeroMq() {
    ShellCounters counters;
    const Endpoint a = FreeEndpoint();
    const Endpoint b = FreeEndpoint();
    ControlChannel sender(a, counters);
    ControlChannel receiver(b, counters);
    sender.Send(kStart, MakeDigest(b));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, WaitFor(receiver).size());
    // The next message reopens a connection that was closed as idle.
    sender.CloseIdle(kStart + Duration(3600000000));
    sender.Send(kStart, MakeDigest(b));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, WaitFor(receiver).size());
    CPPUNIT_ASSERT(!IsControlMessage(MakeProbe(b, 1)));
  }

  void MalformedControlMessagesAreDropped() {
    ShellCounters counters;
    const Endpoint local = FreeEndpoint();
    ControlChannel channel(local, counters);
    zmq::context_t context(1);
    zmq::socket_t unknown_sender(context, zmq::socket_type::dealer);
    unknown_sender.set(zmq::sockopt::linger, 0);
    unknown_sender.connect("tcp://" + ToString(local));
    unknown_sender.send(zmq::str_buffer("noise"));
    unknown_sender.send(zmq::str_buffer("two"), zmq::send_flags::sndmore);
    unknown_sender.send(zmq::str_buffer("frames"));
    const Bytes probe = EncodeEnvelope(MakeProbe(local, 1));
    unknown_sender.send(zmq::buffer(probe));  // probes are sent over UDP only
    const Bytes digest = EncodeEnvelope(MakeDigest(local));
    unknown_sender.send(zmq::buffer(digest));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, WaitFor(channel).size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, counters.control_messages_malformed);
  }

  void QueueToADeadPeerIsBounded() {
    ShellCounters counters;
    ControlChannel channel(FreeEndpoint(), counters);
    const PeerEnvelope digest = MakeDigest(FreeEndpoint());
    constexpr std::uint64_t kMessages = 1000;
    for (std::uint64_t i = 0; i < kMessages; ++i) {
      channel.Send(kStart, digest);
    }
    CPPUNIT_ASSERT(counters.control_messages_dropped > kMessages / 2);
    CPPUNIT_ASSERT_EQUAL(kMessages, counters.control_messages_dropped +
                                        counters.control_messages_sent);
  }

  void FailedBindIsRetried() {
    ShellCounters counters;
    ServiceSockets sockets(BalancerSettings{}, counters);
    std::vector<Endpoint> addresses;
    {
      auto blocker = UdpSocket::Open(Endpoint{kLoopback, 0});
      addresses = {blocker->Local()};
      sockets.Update(kStart, addresses);
      sockets.Update(kStart, addresses);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, counters.service_binds_failed);
    }
    sockets.Update(kStart + Duration(2000000), addresses);
    std::vector<pollfd> entries;
    sockets.AppendPollEntries(entries);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, entries.size());
    sockets.Update(kStart + Duration(2000000), {});
    entries.clear();
    sockets.AppendPollEntries(entries);
    CPPUNIT_ASSERT(entries.empty());
  }

  // Datagrams that the kernel refuses must be counted, whether they answer a
  // request or reject one.
  void RejectionThatIsNotSentIsCounted() {
    ShellCounters counters;
    ServiceSockets sockets(BalancerSettings{}, counters);
    const Endpoint address = FreeEndpoint();
    sockets.Update(kStart, {address});
    std::vector<pollfd> entries;
    sockets.AppendPollEntries(entries);
    auto caller = UdpSocket::Open(Endpoint{kLoopback, 0});
    const OutgoingDatagram malformed{address,
                                     Bytes{0x41, 1, 0x12, 0x34, 0xAA, 0x91, 1}};
    caller->Send(gsl::make_span(&malformed, 1));
    poll(entries.data(), entries.size(), kMaxPolls);
    // Makes the kernel refuse all further datagrams of the socket. The call
    // reports an error because the socket is not connected.
    shutdown(entries.at(0).fd, SHUT_WR);
    CPPUNIT_ASSERT(sockets.Receive().empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, counters.caller_datagrams_sent);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, counters.datagrams_not_sent);
  }

  // The path that was renewed last is the one that most likely still needs its
  // own port, whatever the id of its node.
  void OldestRenewedPathIsReplaced() {
    constexpr std::uint32_t kMaxRenewedPaths = 256;
    ShellCounters counters;
    auto receiver = UdpSocket::Open(Endpoint{kLoopback, 0});
    const Endpoint local = FreeEndpoint();
    auto channel = PeerChannel::Open(local, counters);
    // In descending order of the ids, so that the lowest is the newest.
    for (std::uint32_t i = 0; i <= kMaxRenewedPaths; ++i) {
      channel->RenewPath(kStart + Duration(i), NodeId{1000 - i});
    }
    PeerEnvelope probe = MakeProbe(receiver->Local(), 1);
    probe.to.node = NodeId{1000};
    CPPUNIT_ASSERT(SendAndGetSource(*channel, probe, *receiver) == local);
    probe.to.node = NodeId{1000 - kMaxRenewedPaths + 1};
    CPPUNIT_ASSERT(SendAndGetSource(*channel, probe, *receiver) != local);
  }

  // The table of source ports is bounded. When it is full of nodes that have
  // gone, the new port of another node must still renew the path to it.
  void OldestAlternateSourceIsForgotten() {
    constexpr std::uint32_t kMaxAlternateSources = 4096;
    ShellCounters counters;
    const Endpoint local = FreeEndpoint();
    auto channel = PeerChannel::Open(local, counters);
    auto new_port = UdpSocket::Open(Endpoint{kLoopback, 0});
    PeerEnvelope probe = MakeProbe(local, 1);
    probe.from.endpoint = FreeEndpoint();
    for (std::uint32_t i = 1; i <= kMaxAlternateSources + 1; ++i) {
      probe.from.node = NodeId{i};
      const OutgoingDatagram datagram{local, EncodeEnvelope(probe)};
      new_port->Send(gsl::make_span(&datagram, 1));
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, WaitFor(*channel, 1).size());
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{kMaxAlternateSources + 1},
                         counters.paths_renewed);
  }

  // RFC 7252, 4.2 and 5.4.1: a confirmable request with an unknown critical
  // option is answered by 4.02, any other confirmable message that cannot be
  // decoded by a Reset.
  void RejectionsFollowTheRfc() {
    const Bytes request = {0x41, 1, 0x12, 0x34, 0xAA, 0x91, 1};
    const auto rejection =
        MakeRejection(request, ResultCode::kUnsupportedOption);
    CPPUNIT_ASSERT(rejection->type == CoapType::kAcknowledgement);
    CPPUNIT_ASSERT(rejection->code == CoapCode::kBadOption);
    CPPUNIT_ASSERT(rejection->token == Bytes{0xAA});
    const auto reset = MakeRejection(request, ResultCode::kMalformedDatagram);
    CPPUNIT_ASSERT(reset->type == CoapType::kReset);
    CPPUNIT_ASSERT(IsEmpty(*reset));
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{0x1234}, reset->message_id);
    // Non-confirmable messages, resets and datagrams without a full header are
    // not answered.
    CPPUNIT_ASSERT(!MakeRejection(Bytes{0x50, 1, 0, 1, 0x91, 1},
                                  ResultCode::kUnsupportedOption));
    CPPUNIT_ASSERT(!MakeRejection(Bytes{0x70, 0, 0, 1, 1},
                                  ResultCode::kMalformedDatagram));
    CPPUNIT_ASSERT(!MakeRejection(Bytes{0x40}, ResultCode::kMalformedDatagram));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChannelsTest);

}  // namespace
}  // namespace cactuscross
