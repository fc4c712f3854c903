#include <cppunit/TestAssert.h>
#include <cppunit/TestCase.h>
#include <cppunit/TestSuite.h>
#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <atomic>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include "tests/support/test_bed.h"

namespace cactuscross::testing {
namespace {

constexpr std::uint64_t kFirstSeed = 1;
constexpr std::uint64_t kSeeds = 200;
constexpr int kThreads = 4;
// Environment variables: the number of seeds, or the only seed to run.
constexpr const char* kSeedsVariable = "CACTUSCROSS_SCHEDULE_SEEDS";
constexpr const char* kSeedVariable = "CACTUSCROSS_SCHEDULE_SEED";

constexpr Duration kFaultTime = std::chrono::seconds(40);
// Long enough for every timeout, registration and retransmission.
constexpr Duration kRecoveryTime = std::chrono::seconds(110);
constexpr Duration kMinFaultInterval = std::chrono::milliseconds(200);
constexpr Duration kMaxFaultInterval = std::chrono::seconds(4);
constexpr std::array<std::uint32_t, 3> kBalancers = {1, 2, 3};
constexpr std::array<std::uint32_t, 8> kAgents = {11, 12, 13, 21,
                                                  22, 31, 32, 33};

// Injects random faults of every kind, one at a time and overlapping, then
// repairs all of them and checks the invariants.
class Schedule {
 public:
  explicit Schedule(std::uint64_t seed)
      : bed(seed, TestBedConfig{}), random(seed * 7919) {}

  std::vector<Violation> Run() {
    this->bed.RunFor(std::chrono::seconds(5));
    this->bed.AllowFailures();
    this->bed.SetDisturbed(true);
    TestBedLoad load;
    load.posts_per_s = 20;
    this->bed.StartLoad(load);
    const TimePoint end = this->bed.GetCluster().Now() + kFaultTime;
    while (this->bed.GetCluster().Now() < end) {
      this->bed.RunFor(
          this->random.Between(kMinFaultInterval, kMaxFaultInterval));
      this->InjectFault();
    }
    this->RepairAll();
    this->bed.RunFor(kRecoveryTime);
    this->bed.CheckEnd();
    return this->bed.Violations();
  }

 private:
  using Action = void (Schedule::*)();

  void InjectFault() {
    static constexpr std::array<Action, 14> kActions = {
        &Schedule::KillOrStart,
        &Schedule::KillOrStart,
        &Schedule::PauseOrResume,
        &Schedule::PauseOrResume,
        &Schedule::Stop,
        &Schedule::Partition,
        &Schedule::Blackhole,
        &Schedule::Heal,
        &Schedule::ToggleServerFault,
        &Schedule::ToggleServerFault,
        &Schedule::Drain,
        &Schedule::ChangeContract,
        &Schedule::ChangePlatformState,
        &Schedule::ChangeLinkFaults,
    };
    (this->*kActions[this->random.Below(kActions.size())])();
  }

  std::uint32_t RandomAgent() {
    return kAgents[this->random.Below(kAgents.size())];
  }
  std::uint32_t RandomNode() {
    return this->random.Chance(0.3)
               ? kBalancers[this->random.Below(kBalancers.size())]
               : this->RandomAgent();
  }

  void KillOrStart() {
    const std::uint32_t node = this->RandomNode();
    Cluster& cluster = this->bed.GetCluster();
    if (cluster.GetProcess(node).state == ProcessState::kDown) {
      this->Restart(node);
    } else {
      cluster.Kill(node);
    }
  }

  void Restart(std::uint32_t node) {
    this->bed.GetCluster().Start(node);
    if (node < kAgents.front()) {
      this->bed.GetCluster().SetSprayTarget(node, true);
    } else {
      this->bed.SetDraining(node, false);
    }
  }

  void PauseOrResume() {
    const std::uint32_t node = this->RandomNode();
    Cluster& cluster = this->bed.GetCluster();
    if (cluster.GetProcess(node).state == ProcessState::kPaused) {
      cluster.Resume(node);
    } else {
      cluster.Pause(node);
    }
  }

  void Stop() { this->bed.RequestStop(this->RandomNode()); }

  void Partition() {
    std::vector<std::uint32_t> a;
    std::vector<std::uint32_t> b;
    for (const std::uint32_t node : kBalancers) {
      (this->random.Chance(0.5) ? a : b).push_back(node);
    }
    for (const std::uint32_t node : kAgents) {
      (this->random.Chance(0.5) ? a : b).push_back(node);
    }
    this->bed.GetCluster().Partition(a, b);
  }

  void Blackhole() {
    this->bed.GetCluster().BlackholePath(this->RandomNode(),
                                         this->RandomNode());
  }

  void Heal() { this->bed.GetCluster().GetLink().HealAll(); }

  void ToggleServerFault() {
    static constexpr std::array<bool ServerFaults::*, 6> kFields = {
        &ServerFaults::down,     &ServerFaults::refusing,
        &ServerFaults::hanging,  &ServerFaults::crashes_on_next_post,
        &ServerFaults::starting, &ServerFaults::health_unreachable};
    ServerFaults& faults =
        this->bed.GetCluster().GetServer(this->RandomAgent()).faults;
    bool& field = faults.*kFields[this->random.Below(kFields.size())];
    field = !field;
  }

  void Drain() {
    this->bed.SetDraining(this->RandomAgent(), this->random.Chance(0.5));
  }

  void ChangeContract() {
    const std::uint64_t changes = 1 + this->random.Below(4);
    for (std::uint64_t i = 0; i < changes; ++i) {
      this->bed.SetRequestRate(
          "claims", 400 + static_cast<std::uint32_t>(this->random.Below(100)));
    }
  }

  void ChangePlatformState() {
    FakePlatform& platform = this->bed.GetCluster().GetPlatform();
    platform.SetUp(this->random.Chance(0.5));
    if (this->random.Chance(0.5)) {
      platform.SetStale(1 + this->random.Below(platform.Revision()));
    } else {
      platform.SetStale(std::nullopt);
    }
    platform.SetHostLag(this->random.Between(Duration(0), kMaxFaultInterval));
    this->bed.GetCluster().PublishHostList();
  }

  void ChangeLinkFaults() {
    LinkFaults faults;
    faults.loss = 0.1 * static_cast<double>(this->random.Below(3));
    faults.duplication = 0.1 * static_cast<double>(this->random.Below(3));
    faults.extra_delay = 0.05 * static_cast<double>(this->random.Below(3));
    faults.max_extra_delay = std::chrono::seconds(8);
    faults.jitter = std::chrono::milliseconds(this->random.Below(100));
    this->bed.GetCluster().GetLink().SetFaults(faults);
  }

  void RepairAll() {
    Cluster& cluster = this->bed.GetCluster();
    cluster.GetLink().SetFaults({});
    cluster.GetLink().HealAll();
    cluster.GetPlatform().SetStale(std::nullopt);
    cluster.GetPlatform().SetUp(true);
    for (const std::uint32_t node : kAgents) {
      cluster.GetServer(node).faults = {};
      this->bed.SetDraining(node, false);
    }
    for (const auto& [node, process] : cluster.Processes()) {
      if (process.state == ProcessState::kPaused) {
        cluster.Resume(node);
      }
      if (process.state == ProcessState::kDown || process.stop_requested) {
        this->Restart(node);
      }
    }
    cluster.PublishHostList();
    this->bed.StopLoad();
    this->bed.SetDisturbed(false);
  }

  TestBed bed;
  Random random;
};

std::uint64_t ReadVariable(const char* name, std::uint64_t default_value) {
  const char* text = std::getenv(name);
  return text == nullptr ? default_value : std::stoull(text);
}

struct SeedResult {
  std::uint64_t seed = 0;
  std::vector<Violation> violations;
};

// Returns the violations of the schedules of all seeds. The first call runs the
// schedules, several in parallel, which share no state.
const std::vector<SeedResult>& RunAll() {
  static const std::vector<SeedResult> results = [] {
    const std::uint64_t single_seed = ReadVariable(kSeedVariable, 0);
    std::vector<SeedResult> all(
        single_seed == 0 ? ReadVariable(kSeedsVariable, kSeeds) : 1);
    std::atomic<std::size_t> next{0};
    std::vector<std::thread> threads;
    threads.reserve(kThreads);
    for (int i = 0; i < kThreads; ++i) {
      threads.emplace_back([&all, &next, single_seed] {
        for (std::size_t n = next++; n < all.size(); n = next++) {
          all[n].seed = single_seed == 0 ? kFirstSeed + n : single_seed;
          all[n].violations = Schedule(all[n].seed).Run();
        }
      });
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
    return all;
  }();
  return results;
}

// Returns whether KNOWN-RED.txt has a line "test: NAME". The result of such a
// test is printed and does not fail the run.
bool IsKnownRed(const std::string& name) {
  std::ifstream file(std::filesystem::path(__FILE__)
                         .parent_path()
                         .parent_path()
                         .parent_path() /
                     "KNOWN-RED.txt");
  std::string line;
  while (std::getline(file, line)) {
    if (line == "test: " + name) {
      return true;
    }
  }
  return false;
}

class ScheduleCase : public CppUnit::TestCase {
 public:
  ScheduleCase(const std::string& name, InvariantKind invariant)
      : CppUnit::TestCase(name), kind(invariant) {}

  void runTest() override {
    std::string text;
    for (const SeedResult& result : RunAll()) {
      for (const Violation& violation : result.violations) {
        if (violation.kind == this->kind) {
          text += "\n    seed " + std::to_string(result.seed) + ": " +
                  violation.text;
        }
      }
    }
    if (IsKnownRed(this->getName())) {
      std::cout << "KNOWN RED " << this->getName()
                << (text.empty() ? ": passes now" : text) << std::endl;
      return;
    }
    CPPUNIT_ASSERT_MESSAGE(text, text.empty());
  }

 private:
  InvariantKind kind;
};

struct ScheduleSuite {
  static CppUnit::Test* suite() {  // NOLINT: CppUnit requires this name
    auto* tests = new CppUnit::TestSuite("schedules");
    tests->addTest(
        new ScheduleCase("schedules_safety", InvariantKind::kSafety));
    tests->addTest(
        new ScheduleCase("schedules_in_force", InvariantKind::kInForce));
    tests->addTest(new ScheduleCase("schedules_order", InvariantKind::kOrder));
    return tests;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ScheduleSuite);

}  // namespace
}  // namespace cactuscross::testing
