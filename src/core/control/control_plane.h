#ifndef CACTUSCROSS_SRC_CORE_CONTROL_CONTROL_PLANE_H_
#define CACTUSCROSS_SRC_CORE_CONTROL_CONTROL_PLANE_H_

// The control plane of one process: contracts in force and liveness of the
// other processes, as known to this one. Used by Balancer and Agent; see
// docs/DESIGN.md, "Control".

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "cactuscross/core_dependencies.h"
#include "cactuscross/observation.h"
#include "cactuscross/peer_message.h"
#include "cactuscross/platform_message.h"
#include "cactuscross/settings.h"

namespace cactuscross {

// A contract in force.
struct ActiveContract {
  Contract contract;
  ContractVersion version = 0;
  std::uint64_t fingerprint = 0;  // hash of the contract text
};

// A service together with its contract. Pointers are valid until the next call
// of a non-const member of ControlPlane.
struct ServiceView {
  const ActiveContract* active = nullptr;
  const ContractService* service = nullptr;

  explicit operator bool() const { return this->service != nullptr; }
};

// Output of one tick.
struct ControlOutbox {
  std::vector<PeerEnvelope> peer_envelopes;
  std::vector<PlatformRead> platform_reads;
  std::vector<NodeId> renewed_paths;  // peers to reach from a new source port
};

class ControlPlane {
 public:
  ControlPlane(const NodeSettings& settings,
               const CoreDependencies& dependencies);
  ~ControlPlane();
  ControlPlane(const ControlPlane&) = delete;
  ControlPlane& operator=(const ControlPlane&) = delete;

  // Restricts an agent to its own customer's contract.
  void SubscribeTo(std::string_view customer);

  // Handles a control message (digest, pull, push and probe kinds). Returns
  // false and does nothing for all other kinds.
  bool Handle(TimePoint now,
              const PeerEnvelope& envelope,
              const std::optional<LoadReport>& own_load);
  void HandlePlatform(TimePoint now, const PlatformResult& result);

  // Records a data message from a process as evidence that it is alive, and the
  // load in a reply. If this process is leaving, answers each reply with a
  // membership update that says so.
  void NoteTraffic(TimePoint now, const PeerEnvelope& envelope);

  // Records that a message that is usually answered was sent to `peer`. If no
  // message arrives from `peer` within kForwardAnswerTimeout, it is probed.
  void NoteForwarded(TimePoint now, const PeerAddress& peer);

  // Records that `peer` uses `version` of a contract. Pulls the contract if
  // `version` is newer than the local one, and advertises the local version if
  // `version` is older.
  void NoteVersion(TimePoint now,
                   const PeerAddress& peer,
                   std::string_view customer,
                   ContractVersion version);

  // Announces that this process is leaving.
  void Leave(TimePoint now);

  // Runs timers and appends outgoing messages and reads to `outbox`.
  void Tick(TimePoint now, ControlOutbox& outbox);

  // Returns false until the configuration service or enough peers have
  // answered, and after a pause of this process until its view of contracts and
  // members is refreshed.
  bool ReadyForNewWork() const;

  ServiceView FindByAddress(const Endpoint& service_address) const;
  ServiceView FindById(ServiceId service) const;
  std::vector<Endpoint> ServiceAddresses() const;

  // Returns the state of `node`, kAlive for an unknown one. A suspect or dead
  // process that is queried here is probed soon, so that it can receive new
  // work again if it is alive.
  MemberState StateOf(NodeId node) const;

  // Returns alive balancers to send replies through, those with the most
  // recently received message first.
  std::vector<PeerAddress> LiveBalancers(TimePoint now) const;

  // Returns the last load reported by `node`, with its age.
  std::optional<std::pair<LoadReport, Duration>> LoadOf(TimePoint now,
                                                        NodeId node) const;

  nlohmann::json Dump() const;
  std::vector<MetricSample> Metrics() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_CONTROL_CONTROL_PLANE_H_
