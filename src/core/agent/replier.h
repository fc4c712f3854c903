#ifndef CACTUSCROSS_SRC_CORE_AGENT_REPLIER_H_
#define CACTUSCROSS_SRC_CORE_AGENT_REPLIER_H_

// Sends messages to callers through balancers, and repeats confirmable ones
// until the caller acknowledges them (RFC 7252, 4.2). A repeat goes through
// another balancer than the try before.

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

// Where a request came from: what an answer needs.
struct Origin {
  Endpoint caller;
  Endpoint service_address;
  PeerAddress balancer;
  CoapType type = CoapType::kConfirmable;
  std::uint16_t message_id = 0;
  Bytes token;
};

Origin MakeOrigin(const ForwardedRequest& request);

// A message with the type, message id and token of the request from `origin`:
// all that an answer is built from.
CoapMessage MakeRequestHeader(const Origin& origin);

// Identifies a confirmable message that waits for its acknowledgement.
using ConfirmableKey = std::pair<Endpoint, std::uint16_t>;

class Replier {
 public:
  // Load that is sent along with every answer.
  using LoadSource = std::function<LoadReport()>;

  Replier(AgentContext& agent_context, LoadSource load_source)
      : context(agent_context), load(std::move(load_source)) {}

  // Sends `message` to the caller through the balancer of `origin`, or another
  // one if that is no longer heard.
  void Send(const Origin& origin, CoapMessage message);

  // Sends `message` as confirmable with a new message id, which is returned.
  std::uint16_t SendConfirmable(const Origin& origin, CoapMessage message);
  // Sends `message` as non-confirmable with a new message id (returned).
  std::uint16_t SendNonConfirmable(const Origin& origin, CoapMessage message);

  // Answers with a numbered error. Counts and records it.
  void Refuse(const Origin& origin,
              const CoapMessage& request,
              ResultCode code,
              std::optional<std::uint32_t> retry_after_s);

  // Takes an acknowledgement or reset. Returns false if no message of this
  // agent waits for it.
  bool Acknowledge(const ConfirmableKey& key);
  void StopRetransmission(const ConfirmableKey& key);
  bool IsPending(const ConfirmableKey& key) const {
    return this->pending.count(key) != 0;
  }

  // Repeats what is due; returns the keys of messages that were given up.
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
  std::set<std::pair<TimePoint, ConfirmableKey>> due;
  std::optional<std::uint16_t> last_message_id;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_AGENT_REPLIER_H_
