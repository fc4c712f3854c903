#include "bench/control/traffic_meter.h"

#include <algorithm>
#include <ctime>
#include <stdexcept>
#include <variant>

#include "src/wire/peer_codec.h"

namespace cactuscross {

namespace {

constexpr std::size_t kUdpHeaderBytes = 28;  // IPv4 and UDP
constexpr std::size_t kTcpHeaderBytes = 52;  // IPv4 and TCP with timestamps
constexpr std::size_t kSegmentPayloadBytes = 1448;  // of TCP
// Longest ZeroMQ frame with a header of 2 bytes; longer ones have 9 bytes.
constexpr std::size_t kMaxShortFrameBytes = 255;
constexpr double kNanosecond = 1e-9;

bool UsesStream(const PeerMessage& body) {
  return std::holds_alternative<ContractDigest>(body) ||
         std::holds_alternative<ContractPull>(body) ||
         std::holds_alternative<ContractPush>(body);
}

}  // namespace

double ThreadCpuSeconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) * kNanosecond;
}

void TrafficMeter::Reset() {
  *this = TrafficMeter();
}

void TrafficMeter::Count(const PeerEnvelope& envelope) {
  const double before = ThreadCpuSeconds();
  const Bytes bytes = EncodeEnvelope(envelope);
  const auto decoded = DecodeEnvelope(bytes);
  this->codec_cpu_seconds += ThreadCpuSeconds() - before;
  ++this->messages;
  if (!decoded) {
    throw std::runtime_error(
        "encoded control message can't be decoded; it exceeds the codec's "
        "bounds");
  }
  std::size_t forward_bytes = bytes.size() + kUdpHeaderBytes;
  std::size_t return_bytes = 0;
  if (UsesStream(envelope.body)) {
    const std::size_t payload =
        bytes.size() + (bytes.size() > kMaxShortFrameBytes ? 9 : 2);
    const std::size_t segments =
        (payload + kSegmentPayloadBytes - 1) / kSegmentPayloadBytes;
    forward_bytes = payload + segments * kTcpHeaderBytes;
    // TCP acknowledges every second segment.
    return_bytes = (segments + 1) / 2 * kTcpHeaderBytes;
    this->streams.insert(std::minmax(envelope.from.node, envelope.to.node));
  }
  NodeTraffic& sender = this->nodes[envelope.from.node];
  NodeTraffic& receiver = this->nodes[envelope.to.node];
  ++sender.sent;
  sender.sent_bytes += forward_bytes;
  sender.received_bytes += return_bytes;
  ++receiver.received;
  receiver.received_bytes += forward_bytes;
  receiver.sent_bytes += return_bytes;
  if (const auto* probe = std::get_if<Probe>(&envelope.body)) {
    this->RecordSuspicions(probe->updates);
  } else if (const auto* reply = std::get_if<ProbeReply>(&envelope.body)) {
    this->RecordSuspicions(reply->updates);
  }
}

void TrafficMeter::RecordSuspicions(const std::vector<MemberUpdate>& updates) {
  for (const MemberUpdate& update : updates) {
    const bool is_suspected = update.state == MemberState::kSuspect ||
                              update.state == MemberState::kDead;
    if (is_suspected) {
      this->suspected_nodes.insert(update.peer.node);
    }
  }
}

}  // namespace cactuscross
