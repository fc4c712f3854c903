#include "tests/scenarios/scenario.h"

#include <algorithm>
#include <array>
#include <string_view>

#include <yaml-cpp/yaml.h>

#include "tests/support/test_bed.h"

namespace cactuscross::testing {
namespace {

constexpr double kMicrosecondsPerSecond = 1e6;

using Nodes = std::vector<std::uint32_t>;

Duration Seconds(double seconds) {
  return Duration(static_cast<std::int64_t>(seconds * kMicrosecondsPerSecond));
}

std::uint32_t NodeOf(const YAML::Node& step) {
  return step["node"].as<std::uint32_t>();
}

bool IsOn(const YAML::Node& step) {
  return !step["on"] || step["on"].as<bool>();
}

// Actions of steps `do: NAME`.

void StartLoad(TestBed& bed, const YAML::Node& step) {
  TestBedLoad load;
  load.posts_per_s = step["posts_per_s"].as<double>(load.posts_per_s);
  load.gets_per_s = step["gets_per_s"].as<double>(load.gets_per_s);
  load.diagrams_per_s = step["diagrams_per_s"].as<double>(load.diagrams_per_s);
  load.sessions = step["sessions"].as<std::uint32_t>(load.sessions);
  bed.StartLoad(load);
}

void StopLoad(TestBed& bed, const YAML::Node& /*step*/) {
  bed.StopLoad();
}

void Kill(TestBed& bed, const YAML::Node& step) {
  bed.AllowFailures();
  bed.RecordDisturbance();
  bed.GetCluster().Kill(NodeOf(step));
}

void Start(TestBed& bed, const YAML::Node& step) {
  bed.GetCluster().Start(NodeOf(step));
  if (bed.GetCluster().GetProcess(NodeOf(step)).address.role ==
      Role::kBalancer) {
    bed.GetCluster().SetSprayTarget(NodeOf(step), true);
  } else {
    bed.SetDraining(NodeOf(step), false);
  }
}

void Pause(TestBed& bed, const YAML::Node& step) {
  bed.AllowFailures();
  bed.RecordDisturbance();
  bed.GetCluster().Pause(NodeOf(step));
}

void Resume(TestBed& bed, const YAML::Node& step) {
  bed.RecordDisturbance();
  bed.GetCluster().Resume(NodeOf(step));
}

void Stop(TestBed& bed, const YAML::Node& step) {
  bed.RequestStop(NodeOf(step));
}

void Partition(TestBed& bed, const YAML::Node& step) {
  bed.AllowFailures();
  bed.SetDisturbed(true);
  bed.GetCluster().Partition(step["a"].as<Nodes>(), step["b"].as<Nodes>());
}

void Heal(TestBed& bed, const YAML::Node& /*step*/) {
  bed.SetDisturbed(false);
  bed.GetCluster().GetLink().HealAll();
}

void Blackhole(TestBed& bed, const YAML::Node& step) {
  bed.AllowFailures();
  bed.RecordDisturbance();
  for (const std::uint32_t a : step["a"].as<Nodes>()) {
    for (const std::uint32_t b : step["b"].as<Nodes>()) {
      bed.GetCluster().BlackholePath(a, b);
    }
  }
}

void CutPlatform(TestBed& bed, const YAML::Node& step) {
  for (const std::uint32_t node : step["nodes"].as<Nodes>()) {
    bed.GetCluster().CutPlatform(node);
  }
}

void SetPlatform(TestBed& bed, const YAML::Node& step) {
  bed.SetDisturbed(!IsOn(step));
  bed.GetCluster().GetPlatform().SetUp(IsOn(step));
}

void SetStale(TestBed& bed, const YAML::Node& step) {
  bed.SetDisturbed(IsOn(step));
  FakePlatform& platform = bed.GetCluster().GetPlatform();
  if (IsOn(step)) {
    platform.SetStale(step["revision"].as<ContractVersion>());
  } else {
    platform.SetStale(std::nullopt);
  }
}

void SetFaults(TestBed& bed, const YAML::Node& step) {
  LinkFaults faults;
  faults.loss = step["loss"].as<double>(0);
  faults.duplication = step["doubling"].as<double>(0);
  faults.extra_delay = step["late"].as<double>(0);
  faults.max_extra_delay = Seconds(step["late_by_s"].as<double>(0));
  faults.jitter = Seconds(step["jitter_ms"].as<double>(0) / 1000);
  if (faults.loss > 0 || faults.extra_delay > 0) {
    bed.AllowFailures();
  }
  bed.GetCluster().GetLink().SetFaults(faults);
}

struct ServerFaultRow {
  std::string_view name;
  bool ServerFaults::*field;
};

constexpr std::array kServerFaults = {
    ServerFaultRow{"down", &ServerFaults::down},
    ServerFaultRow{"refusing", &ServerFaults::refusing},
    ServerFaultRow{"hanging", &ServerFaults::hanging},
    ServerFaultRow{"dies_after_taking", &ServerFaults::crashes_on_next_post},
    ServerFaultRow{"starting", &ServerFaults::starting},
    ServerFaultRow{"health_silent", &ServerFaults::health_unreachable},
};

void SetServer(TestBed& bed, const YAML::Node& step) {
  const auto name = step["fault"].as<std::string>();
  bed.AllowFailures();
  for (const ServerFaultRow& row : kServerFaults) {
    if (row.name == name) {
      bed.GetCluster().GetServer(NodeOf(step)).faults.*row.field = IsOn(step);
      return;
    }
  }
  throw YAML::Exception(step.Mark(), "unknown server fault " + name);
}

void Drain(TestBed& bed, const YAML::Node& step) {
  bed.SetDraining(NodeOf(step), IsOn(step));
}

void Leave(TestBed& bed, const YAML::Node& step) {
  bed.SetLeaving(NodeOf(step), IsOn(step));
}

void SetRate(TestBed& bed, const YAML::Node& step) {
  bed.SetRequestRate(step["service"].as<std::string>(),
                     step["rate"].as<std::uint32_t>());
}

// The host of `node` is reused: a server of another service answers there.
void ReuseServer(TestBed& bed, const YAML::Node& step) {
  bed.AllowFailures();
  bed.GetCluster().GetServer(NodeOf(step)).service =
      step["service"].as<std::string>();
}

void SetSprayTarget(TestBed& bed, const YAML::Node& step) {
  bed.GetCluster().SetSprayTarget(NodeOf(step), IsOn(step));
}

void PublishHostList(TestBed& bed, const YAML::Node& step) {
  bed.GetCluster().GetPlatform().SetHostLag(
      Seconds(step["lag_s"].as<double>(0)));
  bed.GetCluster().PublishHostList();
}

// Requests may be refused from now on.
void AllowRefusals(TestBed& bed, const YAML::Node& /*step*/) {
  bed.AllowFailures();
}

struct ActionRow {
  std::string_view name;
  void (*run)(TestBed& bed, const YAML::Node& step);
};

constexpr std::array kActions = {
    ActionRow{"load", StartLoad},
    ActionRow{"stop_load", StopLoad},
    ActionRow{"kill", Kill},
    ActionRow{"start", Start},
    ActionRow{"pause", Pause},
    ActionRow{"wake", Resume},
    ActionRow{"stop", Stop},
    ActionRow{"partition", Partition},
    ActionRow{"heal", Heal},
    ActionRow{"silence", Blackhole},
    ActionRow{"cut_platform", CutPlatform},
    ActionRow{"platform", SetPlatform},
    ActionRow{"stale", SetStale},
    ActionRow{"faults", SetFaults},
    ActionRow{"server", SetServer},
    ActionRow{"drain", Drain},
    ActionRow{"leave", Leave},
    ActionRow{"set_rate", SetRate},
    ActionRow{"reuse_server", ReuseServer},
    ActionRow{"spray", SetSprayTarget},
    ActionRow{"list_hosts", PublishHostList},
    ActionRow{"allow_refusals", AllowRefusals},
};

// Metrics that steps `expect: NAME` compare.

struct MetricRow {
  std::string_view name;
  double (*read)(const TestBed& bed);
};

constexpr std::array kMetrics = {
    MetricRow{"open_sessions",
              [](const TestBed& bed) {
                return static_cast<double>(bed.OpenSessions());
              }},
    MetricRow{
        "posts",
        [](const TestBed& bed) { return static_cast<double>(bed.Posts()); }},
    MetricRow{"posts_answered",
              [](const TestBed& bed) { return bed.PostsAnswered(); }},
    MetricRow{"gets_answered",
              [](const TestBed& bed) { return bed.GetsAnswered(); }},
    MetricRow{"outcomes_unknown",
              [](const TestBed& bed) {
                return static_cast<double>(bed.OutcomesUnknown());
              }},
    MetricRow{
        "not_run",
        [](const TestBed& bed) { return static_cast<double>(bed.NotRun()); }},
    MetricRow{"session_breaks",
              [](const TestBed& bed) {
                return static_cast<double>(bed.SessionBreaks());
              }},
    MetricRow{"longest_gap_s",
              [](const TestBed& bed) { return bed.MaxNotificationGapS(); }},
    MetricRow{"processes_up",
              [](const TestBed& bed) {
                return static_cast<double>(bed.ProcessesUp());
              }},
};

template <typename Rows>
const auto& FindRow(const Rows& rows,
                    const YAML::Node& step,
                    const std::string& name) {
  const auto* found =
      std::find_if(rows.begin(), rows.end(),
                   [&name](const auto& row) { return row.name == name; });
  if (found == rows.end()) {
    throw YAML::Exception(step.Mark(), "unknown action or metric " + name);
  }
  return *found;
}

void Expect(const TestBed& bed,
            const YAML::Node& step,
            std::vector<std::string>& failures) {
  const auto name = step["expect"].as<std::string>();
  const double value = FindRow(kMetrics, step, name).read(bed);
  const bool is_met =
      (!step["equals"] || value == step["equals"].as<double>()) &&
      (!step["at_least"] || value >= step["at_least"].as<double>()) &&
      (!step["at_most"] || value <= step["at_most"].as<double>());
  if (!is_met) {
    failures.push_back("line " + std::to_string(step.Mark().line + 1) + ": " +
                       name + " is " + std::to_string(value));
  }
}

TestBedConfig ParseConfig(const YAML::Node& node) {
  TestBedConfig config;
  if (!node) {
    return config;
  }
  config.balancers = node["balancers"].as<std::uint32_t>(config.balancers);
  config.claims = node["claims"].as<std::uint32_t>(config.claims);
  config.diagrams = node["diagrams"].as<std::uint32_t>(config.diagrams);
  config.queue = node["queue"].as<std::uint32_t>(config.queue);
  config.callers = node["callers"].as<std::size_t>(config.callers);
  config.session_max_age_s =
      node["max_age_s"].as<std::uint32_t>(config.session_max_age_s);
  return config;
}

}  // namespace

std::vector<std::string> RunScenario(const std::string& file,
                                     std::uint64_t seed) {
  std::vector<std::string> failures;
  try {
    const YAML::Node root = YAML::LoadFile(file);
    TestBed bed(seed, ParseConfig(root["cluster"]));
    const TimePoint begin = bed.GetCluster().Now();
    for (const YAML::Node& step : root["steps"]) {
      const TimePoint at = begin + Seconds(step["at"].as<double>());
      bed.RunFor(at - bed.GetCluster().Now());
      if (step["do"]) {
        const auto name = step["do"].as<std::string>();
        FindRow(kActions, step, name).run(bed, step);
      } else {
        Expect(bed, step, failures);
      }
    }
    bed.CheckEnd();
    for (const Violation& violation : bed.Violations()) {
      failures.push_back(violation.text);
    }
  } catch (const YAML::Exception& error) {
    failures.emplace_back(error.what());
  }
  return failures;
}

}  // namespace cactuscross::testing
