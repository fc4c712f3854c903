#include "bench/control/traffic_meter.h"

#include <algorithm>
#include <ctime>
#include <stdexcept>
#include <variant>

#include "src/wire/peer_codec.h"

namespace cactuscross {

namespace {

constexpr std::size_t kUdpHeaders = 28;   // IPv4 and UDP
constexpr std::size_t kTcpHeaders = 52;   // IPv4, TCP with time stamps
constexpr std::size_t kSegment = 1448;    // payload of one TCP segment
constexpr std::size_t kShortFrame = 255;  // longest with a 2 byte frame header
constexpr double kNanosecond = 1e-9;

bool IsStream(const PeerMessage& body) {
  return std::holds_alternative<ContractDigest>(body) ||
         std::holds_alternative<ContractPull>(body) ||
         std::holds_alternative<ContractPush>(body);
}

}  // namespace

double ThreadSeconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) * kNanosecond;
}

void TrafficMeter::Reset() {
  *this = TrafficMeter();
}

void TrafficMeter::Count(const PeerEnvelope& envelope) {
  const double before = ThreadSeconds();
  const Bytes bytes = EncodeEnvelope(envelope);
  const auto decoded = DecodeEnvelope(bytes);
  this->encode_seconds += ThreadSeconds() - before;
  ++this->messages;
  if (!decoded) {
    throw std::runtime_error("a control message exceeds the codec's bounds");
  }
  std::size_t forth = bytes.size() + kUdpHeaders;
  std::size_t back = 0;
  if (IsStream(envelope.body)) {
    const std::size_t payload =
        bytes.size() + (bytes.size() > kShortFrame ? 9 : 2);
    const std::size_t segments = (payload + kSegment - 1) / kSegment;
    forth = payload + segments * kTcpHeaders;
    back = (segments + 1) / 2 * kTcpHeaders;
    this->streams.insert(std::minmax(envelope.from.node, envelope.to.node));
  }
  NodeTraffic& sender = this->nodes[envelope.from.node];
  NodeTraffic& receiver = this->nodes[envelope.to.node];
  ++sender.sent;
  sender.sent_bytes += forth;
  sender.received_bytes += back;
  ++receiver.received;
  receiver.received_bytes += forth;
  receiver.sent_bytes += back;
  if (const auto* probe = std::get_if<Probe>(&envelope.body)) {
    this->NoteAccusations(probe->updates);
  } else if (const auto* reply = std::get_if<ProbeReply>(&envelope.body)) {
    this->NoteAccusations(reply->updates);
  }
}

void TrafficMeter::NoteAccusations(const std::vector<MemberUpdate>& updates) {
  for (const MemberUpdate& item : updates) {
    const bool down =
        item.state == MemberState::kSuspect || item.state == MemberState::kDead;
    if (down) {
      this->accused.insert(item.peer.node);
    }
  }
}

}  // namespace cactuscross
