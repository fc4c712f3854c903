#ifndef CACTUSCROSS_SRC_SHELL_FLOW_FLOW_ADAPTER_H_
#define CACTUSCROSS_SRC_SHELL_FLOW_FLOW_ADAPTER_H_

// Interfaces that the processes of the flow path require from the platform that
// they run on. Implementations only convert names and formats; they make no
// load balancing decisions.

#include <poll.h>

#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "cactuscross/flow_settings.h"
#include "cactuscross/flow_types.h"
#include "cactuscross/flow_view.h"

namespace cactuscross {

// Codec of the packets of a flow.
class FlowPacketCodec {
 public:
  virtual ~FlowPacketCodec() = default;

  // Returns nullopt if `bytes` is not a valid packet. The result points into
  // `bytes`. `from_server`: received from the backend server on this host.
  virtual std::optional<FlowPacket> Decode(ByteView bytes,
                                           bool from_server) const = 0;

  // Writes `mark` into an encoded packet and clears its `returned` flag. Does
  // nothing if `packet` is too short to be one.
  virtual void SetMark(Bytes& packet, const RouteMark& mark) const = 0;

  virtual Bytes EncodeReset(const FlowReset& reset) const = 0;
};

// Client of the platform's key-value store; calls run concurrently.
class FlowStore {
 public:
  virtual ~FlowStore() = default;

  virtual void Begin(TimePoint now, const StoreCall& call) = 0;
  virtual void AppendPollEntries(std::vector<pollfd>& entries) const = 0;
  // Continues all calls after a poll; returns the results of finished ones.
  virtual std::vector<StoreAnswer> Continue(TimePoint now) = 0;
};

struct FlowAdapter {
  std::unique_ptr<FlowPacketCodec> codec;
  std::unique_ptr<FlowStore> (*open_store)(
      const FlowBalancerSettings& settings);
  std::string_view readiness_path;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_SHELL_FLOW_FLOW_ADAPTER_H_
