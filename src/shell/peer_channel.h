#ifndef CACTUSCROSS_SRC_SHELL_PEER_CHANNEL_H_
#define CACTUSCROSS_SRC_SHELL_PEER_CHANNEL_H_

// Messages between processes over UDP. The network path of a message is defined
// by source and destination address and port; the network may drop the packets
// of one path while others between the same nodes work. A message is sent to
// the listening port of the receiver, and by default from the listening port of
// the sender. Another source port is used in three cases: the core renewed the
// path to the node, a probe or its reply requests a new path, or the peer has
// changed its own source port. A changed source port indicates that the network
// may drop packets between the two listening ports in both directions.

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
  // Returns errno if `listen` cannot be bound.
  static tl::expected<PeerChannel, int> Open(const Endpoint& listen,
                                             ShellCounters& counters);

  void AppendPollEntries(std::vector<pollfd>& entries) const;

  // Receives and decodes messages, up to a fixed number per socket.
  std::vector<PeerEnvelope> Receive(TimePoint now);

  // Queues a message for the next Flush(). A message that needs another source
  // port than the listening port is sent immediately.
  void Queue(TimePoint now, const PeerEnvelope& envelope);
  void Flush();

  // Uses a new source port for messages to `node`. A source port that this
  // replaces stays open for a limited time to receive late replies.
  void RenewPath(TimePoint now, NodeId node);

  // Closes replaced source ports whose lifetime has expired.
  void CloseRetired(TimePoint now);

 private:
  struct RetiredSocket {
    UdpSocket socket;
    TimePoint close_at;
  };

  PeerChannel(UdpSocket listener, ShellCounters& counters)
      : listener(std::move(listener)), counters(&counters) {}

  // A source port that is used for one destination node only.
  struct RenewedPath {
    UdpSocket socket;
    TimePoint renewed_at;
  };

  struct AlternateSource {
    Endpoint source;
    TimePoint heard_at;
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
  std::vector<OutgoingDatagram> outgoing;  // sent from the listening socket
  std::map<NodeId, RenewedPath> renewed_paths;
  std::vector<RetiredSocket> retired_sockets;  // oldest first
  // Last source address of each node that has sent from another port than its
  // listening port.
  std::map<NodeId, AlternateSource> alternate_sources;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_SHELL_PEER_CHANNEL_H_
