#ifndef CACTUSCROSS_BENCH_CONTROL_TRAFFIC_METER_H_
#define CACTUSCROSS_BENCH_CONTROL_TRAFFIC_METER_H_

// Counts what control messages cost on the network: encoded size plus headers
// of UDP or of ZeroMQ over TCP, at sender and receiver.

#include <cstdint>
#include <map>
#include <set>
#include <utility>

#include "cactuscross/peer_message.h"

namespace cactuscross {

// Bytes and messages of one process, headers included.
struct NodeTraffic {
  std::uint64_t sent_bytes = 0;
  std::uint64_t received_bytes = 0;
  std::uint64_t sent = 0;
  std::uint64_t received = 0;
};

class TrafficMeter {
 public:
  // Forgets what was counted.
  void Reset();

  void Count(const PeerEnvelope& envelope);

  const NodeTraffic& TrafficOf(NodeId node) { return this->nodes[node]; }

  // Pairs that exchanged messages over a stream, each counted once.
  std::size_t StreamCount() const { return this->streams.size(); }
  const std::set<NodeId>& SuspectedNodes() const {
    return this->suspected_nodes;
  }
  double CodecCpuSeconds() const { return this->codec_cpu_seconds; }
  std::uint64_t MessageCount() const { return this->messages; }

 private:
  void RecordSuspicions(const std::vector<MemberUpdate>& updates);

  std::map<NodeId, NodeTraffic> nodes;
  std::set<std::pair<NodeId, NodeId>> streams;
  std::set<NodeId>
      suspected_nodes;  // said to be suspect or dead by any message
  double codec_cpu_seconds = 0;
  std::uint64_t messages = 0;
};

// CPU time of this thread, seconds.
double ThreadCpuSeconds();

}  // namespace cactuscross

#endif  // CACTUSCROSS_BENCH_CONTROL_TRAFFIC_METER_H_
