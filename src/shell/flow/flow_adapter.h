#ifndef CACTUSCROSS_SRC_SHELL_FLOW_FLOW_ADAPTER_H_
#define CACTUSCROSS_SRC_SHELL_FLOW_FLOW_ADAPTER_H_

// What the processes of the flow path need of the platform that they run on.
// Implementations translate names and formats; they decide nothing.

#include <poll.h>

#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "cactuscross/flow_types.h"
#include "cactuscross/flow_view.h"

namespace cactuscross {

// Layout of the packets of a flow.
class FlowPacketCodec {
 public:
  virtual ~FlowPacketCodec() = default;

  // Empty if `bytes` is no packet. The result points into `bytes`.
  // `from_server`: it came from the server beside this process.
  virtual std::optional<FlowPacket> Decode(ByteView bytes,
                                           bool from_server) const = 0;

  // Writes `mark` into an encoded packet, and that it is not returned.
  virtual void SetMark(Bytes& packet, const RouteMark& mark) const = 0;

  virtual Bytes EncodeReset(const FlowReset& reset) const = 0;
};

// Reads the platform's store; the calls run side by side.
class FlowStore {
 public:
  virtual ~FlowStore() = default;

  virtual void Begin(TimePoint now, const StoreCall& call) = 0;
  virtual void AppendPollEntries(std::vector<pollfd>& entries) const = 0;
  // Goes on with all calls after a poll; returns those that have ended.
  virtual std::vector<StoreAnswer> Continue(TimePoint now) = 0;
};

struct FlowAdapter {
  std::unique_ptr<FlowPacketCodec> codec;
  std::unique_ptr<FlowStore> (*open_store)(const Endpoint& address);
  std::string_view readiness_path;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_SHELL_FLOW_FLOW_ADAPTER_H_
