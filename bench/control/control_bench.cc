// Measures how the costs and delays of the control plane grow with the number
// of balancers, in logical time on an in-memory link. Writes one line per
// metric to a CSV file. All metrics except CPU time and memory are the same in
// every run with the same seed.

#include <malloc.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <map>
#include <numeric>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

#include <boost/program_options.hpp>

#include "bench/control/fleet_builder.h"
#include "bench/control/traffic_meter.h"

namespace cactuscross {
namespace {

// Max time until all processes have joined, and time that is measured after it.
constexpr Duration kJoinTime = seconds(40);
constexpr Duration kSteadyTime = seconds(60);
constexpr std::size_t kSteadyChanges = 4;  // 5,300 changes a day, 3.7 a minute
constexpr std::size_t kSingleChanges = 10;
constexpr Duration kChangeInterval = seconds(6);
constexpr std::size_t kBurstChanges = 500;
constexpr Duration kBurstTime = seconds(60);
constexpr Duration kSettleTime = seconds(30);
constexpr Duration kPartitionTime = seconds(120);
constexpr std::size_t kPartitionChanges = 20;
constexpr Duration kPauseDuration = seconds(10);
constexpr Duration kPauseScenarioTime = seconds(60);
constexpr std::size_t kDeathsPerRole = 3;
constexpr Duration kDetectionTime = seconds(60);
constexpr double kMicrosecond = 1e-6;

double Seconds(Duration duration) {
  return static_cast<double>(duration.count()) * kMicrosecond;
}

double HeapBytes() {
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

// Returns the quantile of `values`, or 0 if there are none.
double Quantile(std::vector<double> values, double probability) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  const double rank = probability * static_cast<double>(values.size() - 1);
  return values[static_cast<std::size_t>(std::lround(rank))];
}

// Runs the scenarios with a fleet of one size.
class ScalingRun {
 public:
  ScalingRun(const FleetPlan& plan, std::ostream& csv) : plan(plan), csv(csv) {}

  // Waits until all processes have joined, then runs the scenarios in `names`,
  // or all scenarios if it is empty.
  void Run(const std::vector<std::string>& names);

 private:
  // Propagation of one contract change: the delay until the new version was in
  // force, for each process that has it.
  struct Propagation {
    std::size_t customer = 0;
    ContractVersion version = 0;
    TimePoint published_at{};
    std::vector<NodeId> pending_nodes;
    std::vector<double> balancer_seconds;
    std::vector<double> agent_seconds;
  };

  struct Scenario {
    std::string_view name;
    void (ScalingRun::*run)();
  };
  static const std::vector<Scenario>& Scenarios();

  void Join();
  void Steady();
  void Changes() { this->SingleChanges("change"); }
  void ChangesWithLoss();
  void SingleChanges(const std::string& scenario);
  void Burst();
  void Partition();
  void Pauses();
  void Deaths();

  void BeginMeasurement();
  void EndMeasurement(const std::string& scenario, Duration length);
  Propagation StartPropagation(std::size_t customer);
  void RecordArrivals(Propagation& propagation);
  void TrackPropagations(std::vector<Propagation>& propagations,
                         Duration length,
                         Duration step);
  void ReportPropagations(const std::string& scenario,
                          const std::vector<Propagation>& propagations);
  void MeasureDetection(const std::string& role_name, NodeId node);
  std::vector<double> PerNode(const std::vector<NodeId>& nodes,
                              std::uint64_t NodeTraffic::*field);
  void Write(const std::string& scenario,
             const std::string& metric,
             double value,
             const std::string& unit);
  // Returns the index of the customer whose contract is changed next.
  std::size_t NextCustomer() {
    this->next_customer = (this->next_customer + 7) % this->plan.contracts;
    return this->next_customer;
  }

  FleetPlan plan;
  std::ostream& csv;
  BenchFleet bench_fleet;
  TrafficMeter meter;
  std::size_t next_customer = 0;
  std::uint64_t calls_before = 0;
};

const std::vector<ScalingRun::Scenario>& ScalingRun::Scenarios() {
  static const std::vector<Scenario> scenarios = {
      {"steady", &ScalingRun::Steady},
      {"change", &ScalingRun::Changes},
      {"change_1pc_loss", &ScalingRun::ChangesWithLoss},
      {"burst", &ScalingRun::Burst},
      {"partition", &ScalingRun::Partition},
      {"pauses", &ScalingRun::Pauses},
      {"deaths", &ScalingRun::Deaths}};
  return scenarios;
}

void ScalingRun::Run(const std::vector<std::string>& names) {
  this->bench_fleet = BuildFleet(this->plan);
  ControlFleet& fleet = *this->bench_fleet.fleet;
  fleet.cpu_clock = ThreadCpuSeconds;
  fleet.observer = [this](const PeerEnvelope& envelope) {
    this->meter.Count(envelope);
  };
  this->Join();
  for (const Scenario& scenario : Scenarios()) {
    const bool is_selected =
        names.empty() ||
        std::find(names.begin(), names.end(), scenario.name) != names.end();
    if (is_selected) {
      (this->*scenario.run)();
    }
  }
}

void ScalingRun::ChangesWithLoss() {
  this->bench_fleet.fleet->faults.loss_percent = 1;
  this->SingleChanges("change_1pc_loss");
  this->bench_fleet.fleet->faults.loss_percent = 0;
}

void ScalingRun::Join() {
  ControlFleet& fleet = *this->bench_fleet.fleet;
  const TimePoint start = fleet.now;
  const double heap = HeapBytes();
  this->BeginMeasurement();
  fleet.RunUntil(
      [&] {
        return std::all_of(
            fleet.processes.begin(), fleet.processes.end(),
            [&](const auto& entry) { return fleet.Ready(entry.first); });
      },
      kJoinTime);
  this->Write("join_all", "all_ready", Seconds(fleet.now - start), "s");
  fleet.Run(kJoinTime);
  this->EndMeasurement("join_all", fleet.now - start);
  this->Write(
      "join_all", "heap_grown_per_process",
      (HeapBytes() - heap) / static_cast<double>(fleet.processes.size()), "B");
}

void ScalingRun::Steady() {
  ControlFleet& fleet = *this->bench_fleet.fleet;
  this->BeginMeasurement();
  for (std::size_t i = 0; i < kSteadyChanges; ++i) {
    this->bench_fleet.ChangeContract(this->NextCustomer(),
                                     this->plan.text_bytes);
    fleet.Run(kSteadyTime / kSteadyChanges);
  }
  this->EndMeasurement("steady", kSteadyTime);
  this->Write("steady", "suspected_in_vain",
              static_cast<double>(this->meter.SuspectedNodes().size()),
              "processes");
}

void ScalingRun::SingleChanges(const std::string& scenario) {
  std::vector<Propagation> propagations;
  for (std::size_t i = 0; i < kSingleChanges; ++i) {
    std::vector<Propagation> current = {
        this->StartPropagation(this->NextCustomer())};
    this->TrackPropagations(current, kChangeInterval, milliseconds(10));
    propagations.push_back(std::move(current.front()));
  }
  this->TrackPropagations(propagations, kSettleTime, milliseconds(50));
  this->ReportPropagations(scenario, propagations);
}

void ScalingRun::Burst() {
  ControlFleet& fleet = *this->bench_fleet.fleet;
  std::vector<Propagation> propagations;
  this->BeginMeasurement();
  for (std::size_t i = 0; i < kBurstChanges; ++i) {
    propagations.push_back(this->StartPropagation(this->NextCustomer()));
    this->TrackPropagations(propagations, kBurstTime / kBurstChanges,
                            milliseconds(120));
  }
  // The second lets the designated readers receive the last change. From then
  // on no process can read the service.
  fleet.Run(seconds(1));
  fleet.service.down = true;
  this->EndMeasurement("burst", kBurstTime + seconds(1));
  this->TrackPropagations(propagations, kSettleTime, milliseconds(100));
  this->ReportPropagations("burst_then_service_down", propagations);
  this->BeginMeasurement();
  fleet.Run(kSteadyTime);
  this->EndMeasurement("service_down", kSteadyTime);
  fleet.service.down = false;
  fleet.Run(kSettleTime);
}

void ScalingRun::Partition() {
  ControlFleet& fleet = *this->bench_fleet.fleet;
  const std::string zone = "zone-0";
  fleet.faults.cut = [zone](const PeerAddress& from, const PeerAddress& to) {
    return (from.zone == zone) != (to.zone == zone);
  };
  fleet.faults.service_cut = [&fleet, zone](NodeId node) {
    return fleet.AddressOf(node).zone == zone;
  };
  std::vector<Propagation> propagations;
  for (std::size_t i = 0; i < kPartitionChanges; ++i) {
    propagations.push_back(this->StartPropagation(this->NextCustomer()));
    fleet.Run(kPartitionTime / kPartitionChanges);
  }
  fleet.faults.cut = nullptr;
  for (Propagation& propagation : propagations) {
    propagation.published_at = fleet.now;
  }
  this->BeginMeasurement();
  const TimePoint healed_at = fleet.now;
  this->TrackPropagations(propagations, kSettleTime, milliseconds(50));
  this->EndMeasurement("healed_partition", kSettleTime);
  this->ReportPropagations("healed_partition", propagations);
  fleet.faults.service_cut = nullptr;
  const auto all_alive = [&fleet] {
    return std::all_of(
        fleet.processes.begin(), fleet.processes.end(),
        [&fleet](const auto& entry) {
          return fleet.Disagreeing(entry.first, MemberState::kAlive).empty();
        });
  };
  const TimePoint deadline = healed_at + seconds(300);
  while (!all_alive() && fleet.now < deadline) {
    fleet.Run(seconds(1));
  }
  this->Write("healed_partition", "all_alive_again",
              Seconds(fleet.now - healed_at), "s");
}

void ScalingRun::Pauses() {
  ControlFleet& fleet = *this->bench_fleet.fleet;
  std::vector<NodeId> paused;
  const std::size_t count =
      std::max<std::size_t>(1, fleet.processes.size() / 100);
  for (std::size_t i = 0; i < count; ++i) {
    const auto node =
        static_cast<std::uint32_t>(1 + i * fleet.processes.size() / count);
    paused.push_back(NodeId{node});
  }
  this->meter.Reset();
  const auto rounds = kPauseScenarioTime / (kPauseDuration * 2);
  for (Duration::rep round = 0; round < rounds; ++round) {
    for (const NodeId node : paused) {
      fleet.Pause(node, kPauseDuration);
    }
    fleet.Run(kPauseDuration * 2);
  }
  const std::set<NodeId>& suspected_nodes = this->meter.SuspectedNodes();
  const auto paused_and_suspected = std::count_if(
      paused.begin(), paused.end(), [&suspected_nodes](NodeId node) {
        return suspected_nodes.count(node) > 0;
      });
  this->Write("paused_1pc", "paused", static_cast<double>(count), "processes");
  this->Write("paused_1pc", "paused_and_suspected",
              static_cast<double>(paused_and_suspected), "processes");
  this->Write("paused_1pc", "suspected_in_vain",
              static_cast<double>(suspected_nodes.size()) -
                  static_cast<double>(paused_and_suspected),
              "processes");
  fleet.Run(kSettleTime);
}

void ScalingRun::Deaths() {
  ControlFleet& fleet = *this->bench_fleet.fleet;
  for (std::size_t i = 0; i < kDeathsPerRole; ++i) {
    this->MeasureDetection("agent", fleet.agents[i * 5 + 1]);
  }
  for (std::size_t i = 0; i < kDeathsPerRole; ++i) {
    this->MeasureDetection("balancer", fleet.balancers[i * 5 + 1]);
  }
}

void ScalingRun::MeasureDetection(const std::string& role_name, NodeId node) {
  ControlFleet& fleet = *this->bench_fleet.fleet;
  fleet.Kill(node);
  const TimePoint killed_at = fleet.now;
  double time_to_50pc = 0;
  double time_to_99pc = 0;
  const auto balancer_count = static_cast<double>(fleet.balancers.size());
  while (fleet.now - killed_at < kDetectionTime) {
    fleet.Run(milliseconds(50));
    const auto not_suspect = static_cast<double>(
        fleet.Disagreeing(node, MemberState::kSuspect).size());
    const auto not_dead =
        static_cast<double>(fleet.Disagreeing(node, MemberState::kDead).size());
    // A node gets no new work when it is suspect or dead, so both states count.
    const double aware_count =
        (balancer_count - not_suspect) + (balancer_count - not_dead);
    const double elapsed = Seconds(fleet.now - killed_at);
    time_to_50pc = time_to_50pc == 0 && aware_count >= balancer_count / 2
                       ? elapsed
                       : time_to_50pc;
    time_to_99pc = time_to_99pc == 0 && aware_count >= balancer_count * 0.99 - 1
                       ? elapsed
                       : time_to_99pc;
    if (aware_count >= balancer_count - 1) {
      break;
    }
  }
  const std::string scenario = "death_of_" + role_name;
  this->Write(scenario, "known_at_50pc", time_to_50pc, "s");
  this->Write(scenario, "known_at_99pc", time_to_99pc, "s");
  this->Write(scenario, "known_at_100pc", Seconds(fleet.now - killed_at), "s");
}

void ScalingRun::BeginMeasurement() {
  ControlFleet& fleet = *this->bench_fleet.fleet;
  this->meter.Reset();
  fleet.balancer_seconds = 0;
  fleet.agent_seconds = 0;
  this->calls_before = fleet.service.calls;
}

std::vector<double> ScalingRun::PerNode(const std::vector<NodeId>& nodes,
                                        std::uint64_t NodeTraffic::*field) {
  std::vector<double> values;
  values.reserve(nodes.size());
  for (const NodeId node : nodes) {
    values.push_back(static_cast<double>(this->meter.TrafficOf(node).*field));
  }
  return values;
}

void ScalingRun::EndMeasurement(const std::string& scenario, Duration length) {
  ControlFleet& fleet = *this->bench_fleet.fleet;
  const double time = Seconds(length);
  struct Group {
    std::string name;
    const std::vector<NodeId>& nodes;
    double cpu;
  };
  const std::vector<Group> groups = {
      {"balancer", fleet.balancers, fleet.balancer_seconds},
      {"agent", fleet.agents, fleet.agent_seconds}};
  for (const Group& group : groups) {
    const auto count = static_cast<double>(group.nodes.size());
    const auto sent = this->PerNode(group.nodes, &NodeTraffic::sent_bytes);
    const auto received =
        this->PerNode(group.nodes, &NodeTraffic::received_bytes);
    const auto messages = this->PerNode(group.nodes, &NodeTraffic::sent);
    std::vector<double> sent_and_received(sent.size());
    std::transform(sent.begin(), sent.end(), received.begin(),
                   sent_and_received.begin(), std::plus<>());
    const auto sum = [](const std::vector<double>& values) {
      return std::accumulate(values.begin(), values.end(), 0.0);
    };
    this->Write(scenario, group.name + "_sent", sum(sent) / count / time,
                "B/s");
    this->Write(scenario, group.name + "_received",
                sum(received) / count / time, "B/s");
    this->Write(scenario, group.name + "_both_99pc",
                Quantile(sent_and_received, 0.99) / time, "B/s");
    this->Write(scenario, group.name + "_messages_sent",
                sum(messages) / count / time, "1/s");
    this->Write(scenario, group.name + "_cpu", group.cpu / count / time * 100,
                "% of a core");
  }
  if (this->meter.MessageCount() > 0) {
    this->Write(scenario, "codec_cpu_per_message",
                this->meter.CodecCpuSeconds() /
                    static_cast<double>(this->meter.MessageCount()) /
                    kMicrosecond,
                "us");
  }
  this->Write(scenario, "streams_per_balancer",
              static_cast<double>(this->meter.StreamCount()) /
                  static_cast<double>(fleet.balancers.size()),
              "");
  this->Write(
      scenario, "service_calls",
      static_cast<double>(fleet.service.calls - this->calls_before) / time,
      "1/s");
}

ScalingRun::Propagation ScalingRun::StartPropagation(std::size_t customer) {
  ControlFleet& fleet = *this->bench_fleet.fleet;
  Propagation propagation;
  propagation.customer = customer;
  propagation.version =
      this->bench_fleet.ChangeContract(customer, this->plan.text_bytes);
  propagation.published_at = fleet.now;
  propagation.pending_nodes = fleet.balancers;
  propagation.pending_nodes.insert(
      propagation.pending_nodes.end(),
      this->bench_fleet.agents_by_customer[customer].begin(),
      this->bench_fleet.agents_by_customer[customer].end());
  return propagation;
}

void ScalingRun::RecordArrivals(Propagation& propagation) {
  ControlFleet& fleet = *this->bench_fleet.fleet;
  const std::string& customer =
      this->bench_fleet.customers[propagation.customer];
  const double elapsed = Seconds(fleet.now - propagation.published_at);
  const auto record_if_reached = [&](NodeId node) {
    if (fleet.VersionAt(node, customer) < propagation.version) {
      return false;
    }
    const bool balancer =
        fleet.processes.at(node).settings.role == Role::kBalancer;
    (balancer ? propagation.balancer_seconds : propagation.agent_seconds)
        .push_back(elapsed);
    return true;
  };
  propagation.pending_nodes.erase(
      std::remove_if(propagation.pending_nodes.begin(),
                     propagation.pending_nodes.end(), record_if_reached),
      propagation.pending_nodes.end());
}

void ScalingRun::TrackPropagations(std::vector<Propagation>& propagations,
                                   Duration length,
                                   Duration step) {
  ControlFleet& fleet = *this->bench_fleet.fleet;
  const TimePoint end = fleet.now + length;
  while (fleet.now < end) {
    fleet.Run(step);
    for (Propagation& propagation : propagations) {
      this->RecordArrivals(propagation);
    }
  }
}

void ScalingRun::ReportPropagations(
    const std::string& scenario,
    const std::vector<Propagation>& propagations) {
  std::vector<double> balancers;
  std::vector<double> agents;
  std::size_t pending_nodes = 0;
  for (const Propagation& propagation : propagations) {
    balancers.insert(balancers.end(), propagation.balancer_seconds.begin(),
                     propagation.balancer_seconds.end());
    agents.insert(agents.end(), propagation.agent_seconds.begin(),
                  propagation.agent_seconds.end());
    pending_nodes += propagation.pending_nodes.size();
  }
  this->Write(scenario, "balancers_50pc", Quantile(balancers, 0.5), "s");
  this->Write(scenario, "balancers_99pc", Quantile(balancers, 0.99), "s");
  this->Write(scenario, "balancers_100pc", Quantile(balancers, 1), "s");
  this->Write(scenario, "agents_50pc", Quantile(agents, 0.5), "s");
  this->Write(scenario, "agents_99pc", Quantile(agents, 0.99), "s");
  this->Write(scenario, "agents_100pc", Quantile(agents, 1), "s");
  this->Write(scenario, "not_in_force_at_the_end",
              static_cast<double>(pending_nodes), "");
}

void ScalingRun::Write(const std::string& scenario,
                       const std::string& metric,
                       double value,
                       const std::string& unit) {
  this->csv << this->plan.balancers << ','
            << this->bench_fleet.fleet->agents.size() << ','
            << this->plan.contracts << ',' << this->plan.zones << ','
            << this->plan.seed << ',' << scenario << ',' << metric << ','
            << value << ',' << unit << std::endl;
}

int Main(int argc, char** argv) {
  namespace options = boost::program_options;
  std::vector<std::size_t> sizes;
  std::vector<std::string> scenarios;
  std::uint64_t seed = 0;
  std::string out;
  options::options_description description("control_bench");
  description.add_options()("help", "print this help")(
      "sizes",
      options::value(&sizes)->multitoken()->default_value(
          {25, 50, 100, 200, 400}, "25 50 100 200 400"),
      "numbers of balancers to run with")(
      "scenarios", options::value(&scenarios)->multitoken(),
      "scenarios to run, default: all of steady, change, change_1pc_loss, "
      "burst, partition, pauses, deaths")(
      "seed", options::value(&seed)->default_value(1),
      "seed of all random numbers")(
      "out", options::value(&out)->default_value("out/control_slopes.csv"),
      "CSV file to write");
  options::variables_map values;
  options::store(options::parse_command_line(argc, argv, description), values);
  options::notify(values);
  if (values.count("help") > 0) {
    std::cout << description;
    return 0;
  }
  std::ofstream csv(out);
  csv << "balancers,agents,contracts,zones,seed,scenario,metric,value,unit\n";
  for (const std::size_t size : sizes) {
    ScalingRun run(ProportionalPlan(size, seed), csv);
    run.Run(scenarios);
    std::cout << size << " balancers done" << std::endl;
  }
  return csv.good() ? 0 : 1;
}

}  // namespace
}  // namespace cactuscross

int main(int argc, char** argv) {
  return cactuscross::Main(argc, argv);
}
