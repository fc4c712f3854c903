#include "bench/bench_run.h"

#include <algorithm>
#include <numeric>
#include <set>

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>

namespace cactuscross::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kFirstBalancerNode = 1;
constexpr std::array<std::uint32_t, 2> kFirstServerNodes = {101, 201};
constexpr std::uint32_t kServiceNetwork = 0xC0000200;  // 192.0.2.0
constexpr std::uint16_t kServicePort = 5683;
constexpr std::size_t kRequestCallers = 1000;  // per service
constexpr std::uint32_t kSessionPaths = 40;
constexpr char kSessionPrefix[] = "jobs/";
constexpr char kLargePath[] = "diagram/3000";  // 3000 bytes: three blocks
constexpr char kSmallPath[] = "claim";
// Service time of the GETs by which agents poll the state of sessions.
constexpr Duration kSessionReadServiceTime = milliseconds(2);
constexpr Duration kSettleTime = seconds(3);  // before the first request
constexpr Duration kSessionOpeningTime = seconds(5);
constexpr Duration kDataChangeInterval = seconds(10);
constexpr Duration kRecoveryTime = seconds(10);  // after the event of a case
// Time after the measurement in which requests in flight complete.
constexpr Duration kCompletionTime = seconds(8);
constexpr Duration kSampleInterval = seconds(1);
constexpr double kSessionUtilization = 0.8;  // fraction of all connections

double ToMilliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

// Result codes 2xx are refusals, after which the request has not run.
bool IsRefused(const testing::CallerRequest& request) {
  return request.result_code >= 200 && request.result_code < 300;
}

bool IsSuccessful(const testing::CallerRequest& request) {
  return request.answered &&
         ToNumber(request.code) < ToNumber(CoapCode::kBadRequest);
}

// Returns 1 if the sum of the values is 0.
double MaxOverMean(const std::vector<double>& values) {
  const double sum = std::accumulate(values.begin(), values.end(), 0.0);
  if (sum <= 0) {
    return 1;
  }
  return *std::max_element(values.begin(), values.end()) *
         static_cast<double>(values.size()) / sum;
}

Imbalance MeanImbalance(const std::vector<Imbalance>& samples) {
  Imbalance mean{0, 0};
  for (const Imbalance& sample : samples) {
    mean.busy_slots += sample.busy_slots / static_cast<double>(samples.size());
    mean.sessions += sample.sessions / static_cast<double>(samples.size());
  }
  return mean;
}

// Returns a tag that identifies a request, its executions and its answer.
std::string MakeRequestTag(std::uint64_t number) {
  return "r=" + std::to_string(number) + ";";
}

const std::string& RequestTag(const testing::CallerRequest& request) {
  return request.method == CoapCode::kPost ? request.body : request.query;
}

}  // namespace

BenchRun::BenchRun(const RunPlan& plan)
    : plan(plan),
      cluster(plan.seed),
      arrival_random(plan.seed),
      service_random(plan.seed + 1) {
  this->cluster.policy = plan.policy;
  testing::LinkFaults faults;
  faults.delay = plan.site->one_way_delay;
  this->cluster.GetLink().SetFaults(faults);
  this->cluster.on_peer_envelope = [this](PeerEnvelope& envelope) {
    this->FalsifyLoadReport(envelope);
  };
  for (std::size_t i = 0; i < this->states.size(); ++i) {
    ServiceState& state = this->states[i];
    state.service = &plan.site->services[i];
    state.full_name = std::string(plan.site->customer) + "/" +
                      std::string(state.service->name);
    state.address = {kServiceNetwork + static_cast<std::uint32_t>(i) + 1,
                     kServicePort};
    state.next_node = kFirstServerNodes.at(i);
    const Duration service_time =
        state.service->min_service_time + state.service->mean_additional_time;
    const double capacity = plan.site->slots * state.service->servers /
                            std::chrono::duration<double>(service_time).count();
    state.arrivals_per_second = plan.bench_case->load * capacity;
  }
}

RunMetrics BenchRun::Execute() {
  if (this->plan.bench_case->prepare != nullptr) {
    this->plan.bench_case->prepare(*this);
  }
  this->StartFleet();
  const TimePoint begin = this->cluster.Now() + this->plan.scale.warm_up;
  const TimePoint end = begin + this->plan.scale.measurement;
  this->OpenSessions();
  this->ScheduleDataChange(end);
  this->cluster.GetLink().Schedule(kSettleTime, [this, end] {
    this->ScheduleArrival(this->states[0], end);
    this->ScheduleArrival(this->states[1], end);
  });
  this->cluster.RunFor(this->plan.scale.warm_up);
  const TimePoint event = begin + this->plan.scale.measurement / 4;
  const TimePoint second_event = begin + this->plan.scale.measurement / 2;
  const TimePoint recovery_end = event + kRecoveryTime;
  this->ScheduleEvent(event, this->plan.bench_case->event);
  this->ScheduleEvent(second_event, this->plan.bench_case->second_event);
  while (this->cluster.Now() < end) {
    this->cluster.RunFor(kSampleInterval);
    this->RecordSample(this->cluster.Now() > recovery_end);
  }
  this->cluster.RunFor(kCompletionTime);
  return this->Collect(begin, recovery_end);
}

void BenchRun::StartFleet() {
  for (std::uint32_t zone = 0; zone < this->plan.site->zones; ++zone) {
    this->cluster.AddBalancer(kFirstBalancerNode + zone, this->ZoneName(zone));
  }
  for (ServiceState& state : this->states) {
    for (std::uint32_t i = 0; i < state.service->servers; ++i) {
      this->AddServer(state);
    }
    for (std::size_t i = 0; i < kRequestCallers; ++i) {
      state.callers.push_back(this->cluster.CallerCount());
      this->cluster.AddCaller();
    }
  }
  this->Publish();
  this->cluster.PublishHostList();
}

std::string BenchRun::ZoneName(std::uint32_t number) const {
  return "zone-" + std::to_string(number % this->plan.site->zones + 1);
}

std::uint32_t BenchRun::AddServer(ServiceState& state) {
  const std::uint32_t node = state.next_node++;
  this->cluster.AddAgent(node, this->ZoneName(node), state.full_name);
  testing::FakeServer& server = this->cluster.GetServer(node);
  server.slots = this->plan.site->slots;
  server.draw_service_time = [this, node,
                              service = state.service](const ServerCall& call) {
    return this->DrawServiceTime(node, *service, call);
  };
  server.on_health = [this, node](ServerHealth& health) {
    if (node == this->falsely_idle_node) {
      health.in_flight = 0;
    }
  };
  state.nodes.push_back(node);
  return node;
}

Duration BenchRun::DrawServiceTime(std::uint32_t node,
                                   const SiteService& service,
                                   const ServerCall& call) {
  const auto found = this->slowdown_factors.find(node);
  const double factor =
      found == this->slowdown_factors.end() ? 1 : found->second;
  Duration time = kSessionReadServiceTime;
  if (call.path.rfind(kSessionPrefix, 0) != 0) {
    boost::random::exponential_distribution<double> extra;
    const double mean =
        static_cast<double>(service.mean_additional_time.count());
    time = service.min_service_time + Duration(static_cast<Duration::rep>(
                                          extra(this->service_random) * mean));
  }
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(time.count()) * factor));
}

void BenchRun::Publish() {
  Contract contract;
  contract.customer = std::string(this->plan.site->customer);
  for (const ServiceState& state : this->states) {
    contract.services.push_back(this->MakeContractService(state));
  }
  this->cluster.GetPlatform().Publish(contract);
}

ContractService BenchRun::MakeContractService(const ServiceState& state) const {
  constexpr std::uint32_t kUnlimited = 1000000;
  ContractService service;
  service.name = std::string(state.service->name);
  service.full_name = state.full_name;
  service.id = MakeServiceId(state.full_name);
  service.addresses = {state.address};
  for (const std::uint32_t node : state.nodes) {
    ContractServer server = this->cluster.ServerEntry(node);
    server.connections = this->plan.site->connections;
    if (state.leaving.count(node) > 0) {
      server.state = ServerState::kLeaving;
    }
    service.servers.push_back(std::move(server));
  }
  const std::uint32_t servers = state.service->servers;
  service.limits.request_rate = kUnlimited;
  service.limits.request_burst = kUnlimited;
  service.limits.requests_in_flight = 2 * this->plan.site->slots * servers;
  service.limits.sessions = this->plan.site->connections * servers;
  return service;
}

void BenchRun::OpenSessions() {
  for (const ServiceState& state : this->states) {
    if (!state.service->has_sessions) {
      continue;
    }
    const std::uint32_t connections =
        this->plan.site->connections * state.service->servers;
    const auto sessions = static_cast<std::uint32_t>(
        kSessionUtilization * connections / this->plan.scale.session_divisor);
    for (std::uint32_t i = 0; i < sessions; ++i) {
      const std::size_t index = this->cluster.CallerCount();
      this->cluster.AddCaller();
      this->session_callers.push_back(index);
      const std::string path =
          kSessionPrefix + std::to_string(i % kSessionPaths);
      this->cluster.GetLink().Schedule(
          kSettleTime + kSessionOpeningTime * i / sessions,
          [this, index, address = state.address, path] {
            this->cluster.GetCaller(index).Observe(address, path);
          });
    }
  }
}

void BenchRun::ScheduleArrival(ServiceState& state, TimePoint end) {
  boost::random::exponential_distribution<double> interarrival_time(
      state.arrivals_per_second);
  const std::chrono::duration<double> wait(
      interarrival_time(this->arrival_random));
  this->cluster.GetLink().Schedule(std::chrono::duration_cast<Duration>(wait),
                                   [this, &state, end] {
                                     if (this->cluster.Now() < end) {
                                       this->SendRequest(state);
                                       this->ScheduleArrival(state, end);
                                     }
                                   });
}

void BenchRun::SendRequest(ServiceState& state) {
  boost::random::uniform_01<double> share;
  boost::random::uniform_int_distribution<std::size_t> pick(
      0, state.callers.size() - 1);
  // All three are always drawn, so that the random sequence is the same for all
  // policies and cases.
  const std::size_t picked_caller = pick(this->arrival_random);
  const bool from_single_caller =
      share(this->arrival_random) < this->single_caller_share;
  const bool is_post = share(this->arrival_random) < state.service->post_share;
  testing::FakeCaller& caller = this->cluster.GetCaller(
      state.callers[from_single_caller ? 0 : picked_caller]);
  const std::string tag = MakeRequestTag(this->next_request++);
  if (is_post) {
    caller.Post(state.address, kSmallPath, tag);
  } else {
    const bool is_large = state.service == &this->plan.site->services[1];
    caller.Get(state.address, is_large ? kLargePath : kSmallPath, tag);
  }
}

void BenchRun::ScheduleDataChange(TimePoint end) {
  this->cluster.GetLink().Schedule(kDataChangeInterval, [this, end] {
    ++this->cluster.GetLedger().data_version[this->states[0].full_name];
    if (this->cluster.Now() < end) {
      this->ScheduleDataChange(end);
    }
  });
}

void BenchRun::ScheduleEvent(TimePoint time, void (*event)(BenchRun& run)) {
  if (event != nullptr) {
    this->cluster.GetLink().Schedule(time - this->cluster.Now(),
                                     [this, event] { event(*this); });
  }
}

void BenchRun::FalsifyLoadReport(PeerEnvelope& envelope) {
  if (envelope.to.role != Role::kBalancer) {
    return;
  }
  LoadReport* load = nullptr;
  if (auto* reply = std::get_if<ForwardedReply>(&envelope.body)) {
    load = &reply->load;
  } else if (auto* notice = std::get_if<LoadNotice>(&envelope.body)) {
    load = &notice->load;
  } else if (auto* probe = std::get_if<ProbeReply>(&envelope.body)) {
    load = probe->load ? &*probe->load : nullptr;
  }
  if (load == nullptr) {
    return;
  }
  AdvertisedLoad& advertised = this->advertised_loads[envelope.from.node];
  if (this->cluster.Now() >= advertised.recorded_at + this->load_delay) {
    advertised = {this->cluster.Now(), *load};
  }
  *load = advertised.load;
  if (ToNumber(envelope.from.node) == this->falsely_idle_node) {
    load->in_flight = 0;
    load->queued = 0;
    load->sessions = 0;
    load->service_time_us = 1;
  }
}

void BenchRun::RecordSample(bool after_recovery) {
  // The busy slots of both services count equally. Only the first service has
  // sessions.
  Imbalance sample{0, 1};
  for (const ServiceState& state : this->states) {
    std::vector<double> busy;
    std::vector<double> sessions;
    for (const std::uint32_t node : state.nodes) {
      const testing::Process& process = this->cluster.GetProcess(node);
      if (state.leaving.count(node) > 0 || !process.agent) {
        continue;
      }
      busy.push_back(
          static_cast<double>(this->cluster.GetServer(node).BusySlots()));
      sessions.push_back(this->OpenSessionCount(*process.agent));
    }
    sample.busy_slots += MaxOverMean(busy) / this->states.size();
    if (state.service->has_sessions) {
      sample.sessions = MaxOverMean(sessions);
    }
  }
  this->samples.push_back(sample);
  if (after_recovery) {
    this->post_recovery_samples.push_back(sample);
  }
}

double BenchRun::OpenSessionCount(const Agent& agent) {
  for (const MetricSample& sample : agent.Metrics()) {
    if (sample.name == "open_sessions") {
      return sample.value;
    }
  }
  return 0;
}

RunMetrics BenchRun::Collect(TimePoint begin, TimePoint recovery_end) {
  RunMetrics metrics;
  metrics.site = std::string(this->plan.site->customer);
  metrics.bench_case = std::string(this->plan.bench_case->name);
  metrics.policy = this->plan.policy;
  metrics.seconds =
      std::chrono::duration<double>(this->plan.scale.measurement).count();
  metrics.imbalance = MeanImbalance(this->samples);
  if (!this->post_recovery_samples.empty()) {
    metrics.post_recovery_imbalance =
        MeanImbalance(this->post_recovery_samples);
  }
  for (std::size_t i = 0; i < this->states.size(); ++i) {
    RequestMetrics& request_metrics =
        i == 0 ? metrics.main_service : metrics.read_service;
    for (const std::size_t caller : this->states.at(i).callers) {
      for (const testing::CallerRequest& request :
           this->cluster.GetCaller(caller).Requests()) {
        this->CollectRequest(request, this->states.at(i), request_metrics,
                             metrics, begin, recovery_end);
      }
    }
  }
  this->CollectSessions(metrics);
  this->CollectExecutions(metrics);
  return metrics;
}

void BenchRun::CollectRequest(const testing::CallerRequest& request,
                              const ServiceState& state,
                              RequestMetrics& request_metrics,
                              RunMetrics& metrics,
                              TimePoint begin,
                              TimePoint recovery_end) {
  const auto runs = this->cluster.GetLedger().runs.find(request.body);
  const bool ran = request.method == CoapCode::kPost &&
                   runs != this->cluster.GetLedger().runs.end();
  metrics.executed_though_refused += IsRefused(request) && ran ? 1 : 0;
  metrics.duplicate_executions += ran && runs->second > 1 ? 1 : 0;
  if (IsSuccessful(request)) {
    const bool matches_request =
        request.answer.rfind(state.full_name + " ", 0) == 0 &&
        request.answer.find(RequestTag(request)) != std::string::npos;
    metrics.wrong_answers += matches_request ? 0 : 1;
  }
  if (request.start < begin) {
    return;
  }
  ++request_metrics.requests;
  const double time_ms = ToMilliseconds(request.finish - request.start);
  if (IsSuccessful(request)) {
    ++request_metrics.answered;
    request_metrics.latencies_ms.push_back(time_ms);
    return;
  }
  if (IsRefused(request)) {
    ++request_metrics.refused;
    request_metrics.refusal_times_ms.push_back(time_ms);
    return;
  }
  const bool unknown_outcome =
      request.result_code == ToNumber(ResultCode::kOutcomeUnknown);
  (unknown_outcome ? request_metrics.unknown_outcome
                   : request_metrics.failed) += 1;
  metrics.post_recovery_failures += request.start >= recovery_end ? 1 : 0;
}

void BenchRun::CollectSessions(RunMetrics& metrics) {
  for (const std::size_t caller : this->session_callers) {
    for (const testing::CallerSession& session :
         this->cluster.GetCaller(caller).Sessions()) {
      // A caller registers an open session again if notifications stop coming.
      const bool notifications_stopped =
          session.registrations > 1 + session.refusals && session.open;
      ++metrics.sessions;
      metrics.broken_sessions +=
          session.breaks > 0 || notifications_stopped ? 1 : 0;
      metrics.unopened_sessions += session.notifications == 0 ? 1 : 0;
    }
  }
}

void BenchRun::CollectExecutions(RunMetrics& metrics) {
  std::set<std::string> executed_tags;
  std::uint64_t repeated_executions = 0;
  for (const testing::Execution& execution :
       this->cluster.GetLedger().executions) {
    const std::string& tag =
        execution.method == CoapCode::kPost ? execution.body : execution.query;
    if (!tag.empty()) {
      repeated_executions += executed_tags.insert(tag).second ? 0 : 1;
    }
  }
  metrics.retries_per_request =
      executed_tags.empty() ? 0
                            : static_cast<double>(repeated_executions) /
                                  static_cast<double>(executed_tags.size());
}

std::uint32_t BenchRun::FirstBalancer() {
  return kFirstBalancerNode;
}

std::uint32_t BenchRun::ServerNode(std::uint32_t index) {
  return kFirstServerNodes[0] + index;
}

void BenchRun::SetSlowdown(std::uint32_t node, double factor) {
  this->slowdown_factors[node] = factor;
}

void BenchRun::MarkLeaving(std::uint32_t node) {
  this->states[0].leaving.insert(node);
  this->Publish();
}

void BenchRun::StopProcess(std::uint32_t node) {
  this->cluster.RequestStop(node);
  this->cluster.PublishHostList();
}

void BenchRun::RemoveFromContract(std::uint32_t node) {
  std::vector<std::uint32_t>& nodes = this->states[0].nodes;
  nodes.erase(std::remove(nodes.begin(), nodes.end(), node), nodes.end());
  this->Publish();
}

void BenchRun::AddWarmingServer(Duration duration, double factor) {
  const std::uint32_t node = this->AddServer(this->states[0]);
  testing::FakeServer& server = this->cluster.GetServer(node);
  server.faults.starting = true;
  this->SetSlowdown(node, factor);
  this->cluster.GetLink().Schedule(duration, [this, node] {
    this->cluster.GetServer(node).faults.starting = false;
    this->slowdown_factors.erase(node);
  });
  this->Publish();
  this->cluster.PublishHostList();
}

}  // namespace cactuscross::bench
