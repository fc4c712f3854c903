#ifndef CACTUSCROSS_SRC_SHELL_CONTROL_CHANNEL_H_
#define CACTUSCROSS_SRC_SHELL_CONTROL_CHANNEL_H_

// Transport of control messages, by which processes exchange contracts, over
// ZeroMQ. One ROUTER socket receives, and one DEALER socket per destination
// peer sends. Heartbeats detect dead connections. Queues are bounded; messages
// that exceed them are dropped.

#include <poll.h>

#include <map>
#include <string>
#include <vector>

#include <zmq.hpp>

#include "cactuscross/peer_message.h"
#include "src/shell/counters.h"

namespace cactuscross {

// True for messages that are sent over ZeroMQ instead of UDP.
bool IsControlMessage(const PeerEnvelope& envelope);

class ControlChannel {
 public:
  // Throws zmq::error_t if `listen` cannot be bound.
  ControlChannel(const Endpoint& listen, ShellCounters& counters);

  pollfd PollEntry() const;

  // Receives and decodes up to a fixed number of messages. Must be called after
  // each poll because the descriptor of a ZeroMQ socket is edge-triggered.
  std::vector<PeerEnvelope> Receive();

  void Send(TimePoint now, const PeerEnvelope& envelope);

  // Closes connections that have exceeded the idle lifetime.
  void CloseIdle(TimePoint now);

 private:
  struct Connection {
    zmq::socket_t socket;
    TimePoint last_used;
  };

  Connection& ConnectionTo(TimePoint now, const Endpoint& endpoint);

  ShellCounters& counters;
  zmq::context_t context;
  zmq::socket_t router;
  std::map<Endpoint, Connection> connections;  // by destination
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_SHELL_CONTROL_CHANNEL_H_
