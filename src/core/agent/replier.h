#ifndef CACTUSCROSS_SRC_CORE_AGENT_REPLIER_H_
#define CACTUSCROSS_SRC_CORE_AGENT_REPLIER_H_

// Sends messages to callers through balancers, and retransmits confirmable ones
// until the caller acknowledges them (RFC 7252, 4.2). Retransmissions rotate
// over the live balancers, so that they do not depend on a single one.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "cactuscross/coap_message.h"
#include "cactuscross/peer_message.h"
#include "src/core/agent/agent_context.h"

namespace cactuscross {

// The origin of a request, to which the response is addressed.
struct Origin {
  Endpoint caller;
  Endpoint service_address;
  PeerAddress balancer;
  CoapType type = CoapType::kConfirmable;
  std::uint16_t message_id = 0;
  Bytes token;
};

Origin MakeOrigin(const ForwardedRequest& request);

// Makes a message with the type, message id and token of the request from
// `origin`. A response can be built from it.
CoapMessage MakeRequestHeader(const Origin& origin);

// Identifies a confirmable message that awaits its acknowledgement.
using ConfirmableKey = std::pair<Endpoint, std::uint16_t>;

class Replier {
 public:
  // Returns the load report that is attached to every message.
  using LoadSource = std::function<LoadReport()>;

  Replier(AgentContext& agent_context, LoadSource load_source)
      : context(agent_context), load(std::move(load_source)) {}

  // Sends `message` to the caller through the balancer of `origin`, or through
  // another one if that balancer is not alive.
  void Send(const Origin& origin, CoapMessage message);

  // Sends `message` as confirmable with a new message id. Returns the id.
  std::uint16_t SendConfirmable(const Origin& origin, CoapMessage message);
  // Sends `message` as non-confirmable with a new message id. Returns the id.
  std::uint16_t SendNonConfirmable(const Origin& origin, CoapMessage message);

  // Sends an error response, counts it and adds it to the decision log.
  void Refuse(const Origin& origin,
              const CoapMessage& request,
              ResultCode code,
              std::optional<std::uint32_t> retry_after_s);

  // Handles an acknowledgement or reset. Returns false if no pending message of
  // this agent has `key`.
  bool Acknowledge(const ConfirmableKey& key);
  void StopRetransmission(const ConfirmableKey& key);
  bool IsPending(const ConfirmableKey& key) const {
    return this->pending.count(key) != 0;
  }

  // Retransmits messages that are due. Returns the keys of messages that were
  // not acknowledged within the last retransmission timeout.
  std::vector<ConfirmableKey> Tick();

  std::size_t PendingCount() const { return this->pending.size(); }

 private:
  struct Confirmable {
    Origin origin;
    CoapMessage message;
    int attempts = 1;
    Duration timeout{0};
    TimePoint due;
  };

  const PeerAddress& ChooseBalancer(const Origin& origin, int attempts);
  void SendThrough(const PeerAddress& balancer,
                   const Origin& origin,
                   CoapMessage message);
  std::uint16_t NextMessageId();

  AgentContext& context;
  LoadSource load;
  std::map<ConfirmableKey, Confirmable> pending;
  // Pending messages by the time of their next retransmission.
  std::set<std::pair<TimePoint, ConfirmableKey>> due;
  std::optional<std::uint16_t> last_message_id;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_AGENT_REPLIER_H_
