#ifndef CACTUSCROSS_BENCH_CONTROL_TRAFFIC_METER_H_
#define CACTUSCROSS_BENCH_CONTROL_TRAFFIC_METER_H_

// Counts the network traffic of control messages at sender and receiver: the
// encoded size plus the headers of UDP or of ZeroMQ over TCP.

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
  // Resets all counters.
  void Reset();

  // Throws std::runtime_error if the encoded message can't be decoded.
  void Count(const PeerEnvelope& envelope);

  const NodeTraffic& TrafficOf(NodeId node) { return this->nodes[node]; }

  // Returns the number of process pairs that exchanged messages over a stream.
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
  // Nodes that a message reported as suspect or dead.
  std::set<NodeId> suspected_nodes;
  double codec_cpu_seconds = 0;
  std::uint64_t messages = 0;
};

// Returns the CPU time of this thread in seconds.
double ThreadCpuSeconds();

}  // namespace cactuscross

#endif  // CACTUSCROSS_BENCH_CONTROL_TRAFFIC_METER_H_
