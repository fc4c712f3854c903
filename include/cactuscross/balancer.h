#ifndef CACTUSCROSS_BALANCER_H_
#define CACTUSCROSS_BALANCER_H_

// Interface of one balancer. A program constructs the balancer, calls Tick()
// with the current time and all received input, and executes the returned
// actions. A balancer keeps no per-flow state.

#include <memory>
#include <optional>
#include <vector>

#include <nlohmann/json.hpp>

#include "cactuscross/core_dependencies.h"
#include "cactuscross/observation.h"
#include "cactuscross/peer_message.h"
#include "cactuscross/platform_message.h"
#include "cactuscross/settings.h"

namespace cactuscross {

// A message exchanged between a caller and a service address.
struct CallerDatagram {
  Endpoint caller;
  Endpoint service_address;
  CoapMessage message;
};

struct BalancerInbox {
  std::vector<CallerDatagram> caller_datagrams;
  std::vector<PeerEnvelope> peer_envelopes;
  std::vector<PlatformResult> platform_results;
  bool stop_requested = false;  // starts a graceful shutdown; stays true
};

struct BalancerOutbox {
  std::vector<CallerDatagram> caller_replies;  // sent from service_address
  std::vector<PeerEnvelope> peer_envelopes;
  std::vector<PlatformRead> platform_reads;
  std::vector<NodeId> renewed_paths;  // peers to reach from a new source port
  bool may_exit = false;  // after stop_requested: the shutdown is complete
};

class Balancer {
 public:
  Balancer(const BalancerSettings& settings,
           const CoreDependencies& dependencies);
  ~Balancer();
  Balancer(const Balancer&) = delete;
  Balancer& operator=(const Balancer&) = delete;

  // Runs every system once. `now` must not decrease between calls. The shell
  // calls this whenever input has arrived, and at least every 10 ms.
  BalancerOutbox Tick(TimePoint now, BalancerInbox inbox);

  // Returns the service addresses of all contracts in force. The shell listens
  // on these.
  std::vector<Endpoint> ServiceAddresses() const;

  // Returns the complete state, for operators and tests.
  nlohmann::json Dump() const;
  std::vector<MetricSample> Metrics() const;
  std::vector<Decision> Explain(const DecisionQuery& query) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_BALANCER_H_
