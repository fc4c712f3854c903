#ifndef CACTUSCROSS_SRC_SHELL_PEER_CHANNEL_H_
#define CACTUSCROSS_SRC_SHELL_PEER_CHANNEL_H_

// Messages between processes over UDP. They go to the listening socket of the
// receiver and leave from that of the sender, but for three cases: the core
// renewed the path to a node, a probe or its answer asks for a fresh path, or
// the other side has taken a new port, which means that the pair of listening
// ports may have gone silent in both directions.

#include <poll.h>

#include <map>
#include <optional>
#include <vector>

#include <tl/expected.hpp>

#include "cactuscross/peer_message.h"
#include "src/shell/counters.h"
#include "src/shell/udp_socket.h"

namespace cactuscross {

class PeerChannel {
 public:
  // Fails with errno where `listen` cannot be bound.
  static tl::expected<PeerChannel, int> Open(const Endpoint& listen,
                                             ShellCounters& counters);

  void AppendPollEntries(std::vector<pollfd>& entries) const;

  // Receives and decodes what has arrived, at most a bounded number.
  std::vector<PeerEnvelope> Receive(TimePoint now);

  // Puts a message into the next Flush().
  void Queue(TimePoint now, const PeerEnvelope& envelope);
  void Flush();

  // Takes a new source port towards `node`; the old one stays open a while for
  // late answers.
  void RenewPath(TimePoint now, NodeId node);

  // Closes old ports whose time is over.
  void CloseRetired(TimePoint now);

 private:
  struct RetiredSocket {
    UdpSocket socket;
    TimePoint close_at;
  };

  PeerChannel(UdpSocket listener, ShellCounters& counters)
      : listener(std::move(listener)), counters(&counters) {}

  // A source port of its own towards one node.
  struct RenewedPath {
    UdpSocket socket;
    TimePoint renewed_at;
  };

  void ReceiveFrom(TimePoint now,
                   const UdpSocket& socket,
                   std::vector<PeerEnvelope>& envelopes);
  void RecordSource(TimePoint now,
                    const Endpoint& source,
                    const PeerAddress& from);
  void SendNow(const UdpSocket& socket, const OutgoingDatagram& datagram);
  void SendFromNewPort(TimePoint now, const OutgoingDatagram& datagram);
  void Retire(TimePoint now, UdpSocket socket);

  UdpSocket listener;
  ShellCounters* counters;
  std::vector<OutgoingDatagram> outgoing;  // from the listening socket
  std::map<NodeId, RenewedPath> renewed;
  std::vector<RetiredSocket> retired;  // oldest first
  // Last source of nodes that do not send from their listening socket.
  std::map<NodeId, Endpoint> alternate_sources;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_SHELL_PEER_CHANNEL_H_
