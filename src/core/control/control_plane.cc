#include "src/core/control/control_plane.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "src/core/control/config_service_reader.h"
#include "src/core/control/contract_gossip.h"
#include "src/core/control/contract_store.h"
#include "src/core/control/control_dump.h"
#include "src/core/control/control_limits.h"
#include "src/core/control/control_random.h"
#include "src/core/control/host_list_reader.h"
#include "src/core/control/member_table.h"
#include "src/core/control/outbound.h"
#include "src/core/control/prober.h"
#include "src/core/control/reader_election.h"
#include "src/core/control/readiness.h"
#include "src/core/control/update_disseminator.h"
#include "src/core/control/watch_planner.h"

namespace cactuscross {

namespace {

PeerAddress SelfAddress(const NodeSettings& settings) {
  return {settings.node, settings.role, settings.zone, settings.listen};
}

}  // namespace

class ControlPlane::Impl {
 public:
  Impl(const NodeSettings& settings, const CoreDependencies& dependencies)
      : self(SelfAddress(settings)),
        random(dependencies.seed),
        store(dependencies.parse_contract),
        members(this->self, dependencies.incarnation),
        outbound(this->self, dependencies.incarnation),
        prober(settings.role, this->members, this->outbound, this->random),
        disseminator(this->members, this->outbound, this->random),
        gossip(this->self,
               this->store,
               this->members,
               this->outbound,
               this->random),
        reader_election(this->self,
                        settings.contract_readers_per_zone,
                        this->members,
                        this->random),
        config_service_reader(settings.role == Role::kBalancer
                                  ? kContractReadInterval
                                  : kAgentReadInterval,
                              this->random),
        host_list_reader(settings.role, this->members, this->random),
        planner(this->self, this->store, this->members),
        seeds(settings.seeds) {}

  // Sets the current time and checks for a pause. After a pause, messages may
  // be handled before Tick() and must not be acted on with the view from before
  // the pause.
  void Advance(TimePoint time);
  void Start(TimePoint start_time);
  void NoteReceived(TimePoint received_at, const PeerEnvelope& envelope);
  void ApplyUpdates(TimePoint received_at,
                    const std::vector<MemberUpdate>& updates);
  void InvalidateView(TimePoint resumed_at);
  void SendLeavingNotice(const PeerAddress& peer);
  void UpdateReadiness();
  void ReadPlatform(std::vector<PlatformRead>& reads);

  PeerAddress self;
  ControlRandom random;
  ContractStore store;
  MemberTable members;
  Outbound outbound;
  Prober prober;
  UpdateDisseminator disseminator;
  ContractGossip gossip;
  ReaderElection reader_election;
  ConfigServiceReader config_service_reader;
  HostListReader host_list_reader;
  WatchPlanner planner;
  Readiness readiness;
  PauseDetector pause_detector;
  std::vector<PeerAddress> seeds;
  bool started = false;
  TimePoint now{};
  TimePoint next_eviction{};
};

void ControlPlane::Impl::Start(TimePoint start_time) {
  this->started = true;
  for (const PeerAddress& seed : this->seeds) {
    this->members.AddMember(start_time, seed);
  }
  this->readiness.InvalidateView(start_time);
  this->gossip.BeginRefresh(start_time);
  if (this->self.role == Role::kBalancer) {
    this->config_service_reader.ReadAll();
  }
}

void ControlPlane::Impl::Advance(TimePoint time) {
  this->now = time;
  if (!this->started) {
    this->Start(time);
  }
  if (this->pause_detector.Tick(time)) {
    this->InvalidateView(time);
  }
}

void ControlPlane::Impl::NoteReceived(TimePoint received_at,
                                      const PeerEnvelope& envelope) {
  const NodeId node = envelope.from.node;
  this->prober.NoteReceived(node);
  const bool recorded_down = this->members.NoteReceived(
      received_at, envelope.from, envelope.from_incarnation);
  const Member* member = this->members.Find(node);
  if (recorded_down && member != nullptr) {
    this->prober.ProbeForRefutation(
        received_at, {member->peer, member->incarnation, member->state});
  }
}

void ControlPlane::Impl::ApplyUpdates(
    TimePoint received_at,
    const std::vector<MemberUpdate>& updates) {
  for (const MemberUpdate& item : updates) {
    if (this->members.Apply(received_at, item)) {
      this->prober.ProbeForRefutation(received_at, item);
    }
  }
}

void ControlPlane::Impl::InvalidateView(TimePoint resumed_at) {
  this->readiness.InvalidateView(resumed_at);
  this->gossip.BeginRefresh(resumed_at);
  this->prober.Reset(resumed_at);
  this->config_service_reader.InvalidateOutstanding();
}

// Updates are gossiped to random processes, so a process that still sends
// replies through this one may receive them late. It is notified directly.
void ControlPlane::Impl::SendLeavingNotice(const PeerAddress& peer) {
  Probe notice;  // sequence 0: no reply
  notice.updates = {this->members.SelfUpdate()};
  this->outbound.Send(peer, notice);
}

void ControlPlane::Impl::UpdateReadiness() {
  RefreshProgress progress;
  progress.peers = this->members.LiveBalancers().size();
  progress.answers = this->gossip.Answers();
  progress.pulls_outstanding = this->gossip.PullsOutstanding();
  if (this->readiness.Update(this->now, progress)) {
    this->gossip.FinishRefresh();
  }
  this->gossip.SetReady(this->readiness.Ready());
}

void ControlPlane::Impl::ReadPlatform(std::vector<PlatformRead>& reads) {
  const bool is_reader = this->reader_election.Update(
      this->now, this->gossip.ServiceLastContact(), this->gossip.LastAnswer());
  if (is_reader) {
    this->config_service_reader.Start(this->now,
                                      this->gossip.SafeRevision(this->now));
  } else {
    this->config_service_reader.Stop();
  }
  this->config_service_reader.Tick(this->now, reads);
  const bool needs_host_list =
      this->self.role == Role::kBalancer && !this->members.Leaving();
  this->host_list_reader.Tick(this->now, is_reader || needs_host_list, reads);
}

ControlPlane::ControlPlane(const NodeSettings& settings,
                           const CoreDependencies& dependencies)
    : impl(std::make_unique<Impl>(settings, dependencies)) {}

ControlPlane::~ControlPlane() = default;

void ControlPlane::SubscribeTo(std::string_view customer) {
  this->impl->gossip.SubscribeTo(customer);
}

bool ControlPlane::Handle(TimePoint now,
                          const PeerEnvelope& envelope,
                          const std::optional<LoadReport>& own_load) {
  Impl& state = *this->impl;
  state.Advance(now);
  if (const auto* probe = std::get_if<Probe>(&envelope.body)) {
    state.NoteReceived(now, envelope);
    state.ApplyUpdates(now, probe->updates);
    state.prober.HandleProbe(envelope, *probe, own_load);
  } else if (const auto* reply = std::get_if<ProbeReply>(&envelope.body)) {
    state.NoteReceived(now, envelope);
    state.ApplyUpdates(now, reply->updates);
    state.prober.HandleReply(now, envelope, *reply);
  } else if (const auto* indirect_probe =
                 std::get_if<IndirectProbe>(&envelope.body)) {
    state.NoteReceived(now, envelope);
    state.prober.HandleIndirect(now, envelope, *indirect_probe);
  } else if (const auto* indirect_reply =
                 std::get_if<IndirectProbeReply>(&envelope.body)) {
    state.NoteReceived(now, envelope);
    state.prober.HandleIndirectReply(*indirect_reply);
  } else if (const auto* digest = std::get_if<ContractDigest>(&envelope.body)) {
    state.NoteReceived(now, envelope);
    state.gossip.HandleDigest(now, envelope, *digest);
  } else if (const auto* pull = std::get_if<ContractPull>(&envelope.body)) {
    state.NoteReceived(now, envelope);
    state.gossip.HandlePull(envelope, *pull);
  } else if (const auto* push = std::get_if<ContractPush>(&envelope.body)) {
    state.NoteReceived(now, envelope);
    state.gossip.HandlePush(now, *push);
  } else {
    return false;
  }
  return true;
}

void ControlPlane::HandlePlatform(TimePoint now, const PlatformResult& result) {
  Impl& state = *this->impl;
  state.Advance(now);
  if (result.kind == PlatformReadKind::kReadHosts) {
    state.host_list_reader.HandleResult(now, result);
    return;
  }
  const bool proves_fresh =
      state.config_service_reader.HandleResult(now, result);
  if (!result.ok) {
    return;
  }
  state.gossip.NoteServiceContact(now);
  for (const ContractValue& value : result.values) {
    state.gossip.OfferValue(value);
  }
  if (proves_fresh) {
    state.readiness.NoteServiceAnswer();
  }
}

void ControlPlane::NoteTraffic(TimePoint now, const PeerEnvelope& envelope) {
  this->impl->Advance(now);
  this->impl->NoteReceived(now, envelope);
  if (const auto* reply = std::get_if<ForwardedReply>(&envelope.body)) {
    this->impl->members.NoteLoad(now, envelope.from.node, reply->load);
    if (this->impl->members.Leaving()) {
      this->impl->SendLeavingNotice(envelope.from);
    }
  }
}

void ControlPlane::NoteForwarded(TimePoint now, const PeerAddress& peer) {
  this->impl->prober.NoteForwarded(now, peer);
}

void ControlPlane::NoteVersion(TimePoint now,
                               const PeerAddress& peer,
                               std::string_view customer,
                               ContractVersion version) {
  this->impl->gossip.NoteVersion(now, peer, customer, version);
}

void ControlPlane::Leave(TimePoint now) {
  if (!this->impl->members.Leaving()) {
    this->impl->members.Leave(now);
  }
}

void ControlPlane::Tick(TimePoint now, ControlOutbox& outbox) {
  Impl& state = *this->impl;
  // Detects a pause of this process before anything else, so that peers are not
  // suspected for the time in which this process did not run.
  state.Advance(now);
  state.UpdateReadiness();
  state.ReadPlatform(outbox.platform_reads);
  // Notices go out before probes, which carry the remaining updates.
  state.disseminator.Tick(now, state.self.role == Role::kAgent
                                   ? state.planner.Agents()
                                   : std::vector<PeerAddress>());
  if (auto targets = state.planner.Update(now)) {
    state.prober.SetTargets(now, *targets);
  }
  state.prober.Tick(now, outbox.renewed_paths);
  state.gossip.Tick(now);
  if (now >= state.next_eviction) {
    state.next_eviction = now + kMemberEvictionInterval;
    state.members.EvictDead(now);
  }
  state.outbound.Drain(outbox.peer_envelopes);
}

bool ControlPlane::ReadyForNewWork() const {
  return this->impl->readiness.Ready();
}

ServiceView ControlPlane::FindByAddress(const Endpoint& service_address) const {
  return this->impl->store.Services().FindByAddress(service_address);
}

ServiceView ControlPlane::FindById(ServiceId service) const {
  return this->impl->store.Services().FindById(service);
}

std::vector<Endpoint> ControlPlane::ServiceAddresses() const {
  return this->impl->store.Services().Addresses();
}

MemberState ControlPlane::StateOf(NodeId node) const {
  const MemberState state = this->impl->members.StateOf(node);
  if (state == MemberState::kSuspect || state == MemberState::kDead) {
    this->impl->prober.RequestProbe(node);
  }
  return state;
}

std::vector<PeerAddress> ControlPlane::LiveBalancers(TimePoint /*now*/) const {
  std::vector<const Member*> live = this->impl->members.LiveBalancers();
  std::stable_sort(live.begin(), live.end(),
                   [](const Member* a, const Member* b) {
                     return a->last_received.value_or(TimePoint::min()) >
                            b->last_received.value_or(TimePoint::min());
                   });
  std::vector<PeerAddress> balancers;
  balancers.reserve(live.size());
  for (const Member* member : live) {
    balancers.push_back(member->peer);
  }
  return balancers;
}

std::optional<std::pair<LoadReport, Duration>> ControlPlane::LoadOf(
    TimePoint now,
    NodeId node) const {
  const Member* member = this->impl->members.Find(node);
  if (member == nullptr || !member->load) {
    return std::nullopt;
  }
  return std::pair(*member->load, now - member->load_time);
}

nlohmann::json ControlPlane::Dump() const {
  const Impl& state = *this->impl;
  const auto milliseconds_since = [&state](std::optional<TimePoint> time) {
    nlohmann::json age;
    if (time) {
      age = std::chrono::duration_cast<std::chrono::milliseconds>(state.now -
                                                                  *time)
                .count();
    }
    return age;
  };
  nlohmann::json dump;
  dump["ready"] = state.readiness.Ready();
  dump["times_distrusted"] = state.readiness.Invalidations();
  dump["longest_tick_gap_ms"] =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          state.pause_detector.MaxGap())
          .count();
  dump["contracts"] = DumpContracts(state.store);
  dump["contracts_hash"] = state.store.Hash();
  dump["highest_version"] = state.store.Highest();
  dump["pulls_outstanding"] = state.gossip.PullsOutstanding();
  dump["reads_service"] = state.reader_election.IsReader();
  dump["service_fails"] = state.config_service_reader.Failing();
  dump["service_revision"] = state.config_service_reader.Revision();
  dump["service_heard_ms_ago"] =
      milliseconds_since(state.gossip.ServiceLastContact());
  dump["peer_answered_ms_ago"] = milliseconds_since(state.gossip.LastAnswer());
  dump["members"] = DumpMembers(state.members, state.now);
  dump["watched"] = state.prober.Watched();
  nlohmann::json neighbours = nlohmann::json::array();
  for (const PeerAddress& peer : state.gossip.Neighbours().All()) {
    neighbours.push_back(ToNumber(peer.node));
  }
  dump["neighbours"] = std::move(neighbours);
  dump["sent"] = DumpTraffic(state.outbound.Counts());
  return dump;
}

std::vector<MetricSample> ControlPlane::Metrics() const {
  const Impl& state = *this->impl;
  std::vector<MetricSample> samples;
  AppendContractMetrics(state.store, samples);
  AppendMemberMetrics(state.members, samples);
  AppendTrafficMetrics(state.outbound.Counts(), samples);
  const auto add = [&samples](const char* name, MetricKind kind, double value) {
    samples.push_back({name, kind, "", value});
  };
  add("control_ready", MetricKind::kGauge, state.readiness.Ready() ? 1 : 0);
  add("control_reads_service", MetricKind::kGauge,
      state.reader_election.IsReader() ? 1 : 0);
  if (const auto last_contact = state.gossip.ServiceLastContact()) {
    add("control_service_age_seconds", MetricKind::kGauge,
        std::chrono::duration<double>(state.now - *last_contact).count());
  }
  add("control_distrusts_total", MetricKind::kCounter,
      static_cast<double>(state.readiness.Invalidations()));
  add("control_service_reads_total", MetricKind::kCounter,
      static_cast<double>(state.config_service_reader.Counts().reads));
  add("control_service_failures_total", MetricKind::kCounter,
      static_cast<double>(state.config_service_reader.Counts().failures));
  add("control_service_stale_total", MetricKind::kCounter,
      static_cast<double>(state.config_service_reader.Counts().stale_answers));
  add("control_host_list_reads_total", MetricKind::kCounter,
      static_cast<double>(state.host_list_reader.Reads()));
  add("control_polls_unanswered_total", MetricKind::kCounter,
      static_cast<double>(state.gossip.Counts().polls_unanswered));
  add("control_digests_differing_total", MetricKind::kCounter,
      static_cast<double>(state.gossip.Counts().digests_differing));
  add("control_probes_total", MetricKind::kCounter,
      static_cast<double>(state.prober.Counts().probes));
  add("control_renewed_paths_total", MetricKind::kCounter,
      static_cast<double>(state.prober.Counts().renewed_paths));
  return samples;
}

}  // namespace cactuscross
