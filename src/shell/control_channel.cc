#include "src/shell/control_channel.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "src/wire/peer_codec.h"

namespace cactuscross {
namespace {

// Maximum number of messages in the send queue and in the receive queue of each
// connection.
constexpr int kMaxQueuedMessages = 64;
constexpr int kHeartbeatIntervalMs = 5000;
constexpr int kHeartbeatTimeoutMs = 15000;
constexpr int kReconnectIntervalMs = 100;
constexpr int kMaxReconnectIntervalMs = 5000;
// Maximum number of outgoing connections. Above it the least recently used one
// is closed.
constexpr std::size_t kMaxConnections = 128;
// Time after the last message to a peer until the connection to it is closed.
constexpr Duration kIdleLifetime{60000000};  // 60 s
// Bounds the time that one tick spends on receiving.
constexpr int kMaxMessagesPerTick = 256;

std::string ToAddress(const Endpoint& endpoint) {
  return "tcp://" + ToString(endpoint);
}

void SetOptions(zmq::socket_t& socket) {
  socket.set(zmq::sockopt::linger, 0);
  socket.set(zmq::sockopt::sndhwm, kMaxQueuedMessages);
  socket.set(zmq::sockopt::rcvhwm, kMaxQueuedMessages);
  socket.set(zmq::sockopt::maxmsgsize,
             static_cast<std::int64_t>(kMaxEnvelopeBytes));
  socket.set(zmq::sockopt::heartbeat_ivl, kHeartbeatIntervalMs);
  socket.set(zmq::sockopt::heartbeat_timeout, kHeartbeatTimeoutMs);
  socket.set(zmq::sockopt::reconnect_ivl, kReconnectIntervalMs);
  socket.set(zmq::sockopt::reconnect_ivl_max, kMaxReconnectIntervalMs);
}

ByteView ToView(const zmq::message_t& frame) {
  return ByteView(frame.data<std::uint8_t>(), frame.size());
}

}  // namespace

bool IsControlMessage(const PeerEnvelope& envelope) {
  return std::holds_alternative<ContractDigest>(envelope.body) ||
         std::holds_alternative<ContractPull>(envelope.body) ||
         std::holds_alternative<ContractPush>(envelope.body);
}

ControlChannel::ControlChannel(const Endpoint& listen, ShellCounters& counters)
    : counters(counters),
      context(1),
      router(this->context, zmq::socket_type::router) {
  SetOptions(this->router);
  this->router.bind(ToAddress(listen));
}

pollfd ControlChannel::PollEntry() const {
  return {this->router.get(zmq::sockopt::fd), POLLIN, 0};
}

std::vector<PeerEnvelope> ControlChannel::Receive() {
  std::vector<PeerEnvelope> envelopes;
  for (int i = 0; i < kMaxMessagesPerTick; ++i) {
    zmq::message_t identity;
    if (!this->router.recv(identity, zmq::recv_flags::dontwait)) {
      break;
    }
    // A valid message consists of the sender's identity and one frame. Messages
    // with another number of frames are counted as malformed and dropped.
    zmq::message_t frame;
    int frames = 0;
    bool more = identity.more();
    while (more) {
      static_cast<void>(this->router.recv(frame));
      more = frame.more();
      ++frames;
    }
    ++this->counters.control_messages_received;
    this->counters.control_bytes_received += frame.size();
    auto envelope = DecodeEnvelope(ToView(frame));
    if (frames == 1 && envelope && IsControlMessage(*envelope)) {
      envelopes.push_back(*std::move(envelope));
    } else {
      ++this->counters.control_messages_malformed;
    }
  }
  return envelopes;
}

void ControlChannel::Send(TimePoint now, const PeerEnvelope& envelope) {
  const Bytes bytes = EncodeEnvelope(envelope);
  if (bytes.empty()) {
    ++this->counters.messages_unencodable;
    return;
  }
  Connection& connection = this->ConnectionTo(now, envelope.to.endpoint);
  const auto sent =
      connection.socket.send(zmq::buffer(bytes), zmq::send_flags::dontwait);
  if (sent) {
    ++this->counters.control_messages_sent;
    this->counters.control_bytes_sent += bytes.size();
  } else {
    ++this->counters.control_messages_dropped;
  }
}

void ControlChannel::CloseIdle(TimePoint now) {
  for (auto it = this->connections.begin(); it != this->connections.end();) {
    const bool idle = it->second.last_used + kIdleLifetime <= now;
    it = idle ? this->connections.erase(it) : std::next(it);
  }
}

ControlChannel::Connection& ControlChannel::ConnectionTo(
    TimePoint now,
    const Endpoint& endpoint) {
  auto found = this->connections.find(endpoint);
  if (found == this->connections.end()) {
    if (this->connections.size() >= kMaxConnections) {
      this->connections.erase(
          std::min_element(this->connections.begin(), this->connections.end(),
                           [](const auto& a, const auto& b) {
                             return a.second.last_used < b.second.last_used;
                           }));
    }
    zmq::socket_t socket(this->context, zmq::socket_type::dealer);
    SetOptions(socket);
    socket.connect(ToAddress(endpoint));
    found =
        this->connections.emplace(endpoint, Connection{std::move(socket), now})
            .first;
  }
  found->second.last_used = now;
  return found->second;
}

}  // namespace cactuscross
