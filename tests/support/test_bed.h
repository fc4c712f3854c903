#ifndef CACTUSCROSS_TESTS_SUPPORT_TEST_BED_H_
#define CACTUSCROSS_TESTS_SUPPORT_TEST_BED_H_

// A cluster with contracts of two customers and load from callers. The
// invariants are checked after every step.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "tests/support/cluster.h"

namespace cactuscross::testing {

// A service of the test bed with its agents.
struct TestBedService {
  std::string customer;
  std::string name;
  std::uint32_t first_node = 0;  // of its agents
  Endpoint address;
  std::uint32_t agents = 0;

  std::string FullName() const { return this->customer + "/" + this->name; }
};

struct TestBedConfig {
  std::uint32_t balancers = 3;  // nodes from 1
  // Agents of the services.
  std::uint32_t claims = 3;    // nodes from 11
  std::uint32_t diagrams = 2;  // nodes from 21
  std::uint32_t queue = 3;     // nodes from 31, of the other customer
  std::size_t callers = 6;
  std::uint32_t session_max_age_s = 30;
};

struct TestBedLoad {
  double posts_per_s = 10;
  double gets_per_s = 10;
  double diagrams_per_s = 2;
  std::uint32_t sessions = 6;
  double data_changes_per_s = 1;  // of the data of sessions
};

// The kind of the violated invariant.
enum class InvariantKind : std::uint8_t {
  kSafety,   // responses, executions, deliveries, open sessions, stops
  kInForce,  // a contract was not applied in time
  kOrder,    // a session received older data than before
};

struct Violation {
  InvariantKind kind = InvariantKind::kSafety;
  std::string text;
};

class TestBed {
 public:
  TestBed(std::uint64_t seed, const TestBedConfig& config);

  Cluster& GetCluster() { return this->cluster; }

  // Opens the sessions and sends requests until StopLoad().
  void StartLoad(const TestBedLoad& load);
  void StopLoad() { this->loading = false; }

  void RunFor(Duration time) { this->cluster.RunFor(time); }

  // Publishes a new version of the contract of the customer of `service`.
  void Republish(const std::string& service);
  // Sets whether the contract marks a server as leaving.
  void SetLeaving(std::uint32_t node, bool leaving);
  void SetDraining(std::uint32_t node, bool draining);
  void RequestStop(std::uint32_t node);
  // Sets the request rate limit of `service`.
  void SetRequestRate(const std::string& service, std::uint32_t rate);
  // From now on requests and sessions may fail. Before, all changes are planned
  // ones, which must not cause failures.
  void AllowFailures() { this->planned_changes_only = false; }
  // Records that the dissemination of updates was disturbed until now.
  void RecordDisturbance() { this->last_disturbance = this->cluster.Now(); }
  // Sets whether the dissemination of updates is disturbed. While it is, the
  // time limit for the application of contracts is not checked.
  void SetDisturbed(bool disturbed);

  // Checks the invariants that only hold at the end of a run.
  void CheckEnd();
  // Returns the violations found, at most 20 of each kind.
  const std::vector<Violation>& Violations() const { return this->violations; }

  // Statistics that tests compare with expected values.
  std::size_t OpenSessions() const;
  double PostsAnswered() const;  // share of POSTs answered successfully
  double GetsAnswered() const;   // share of GETs answered successfully
  std::size_t OutcomesUnknown() const;
  std::size_t NotRun() const;
  std::size_t Posts() const;
  std::size_t SessionBreaks() const;
  double MaxNotificationGapS() const;
  std::size_t ProcessesUp() const;

 private:
  void ReportViolation(const std::string& what,
                       InvariantKind kind = InvariantKind::kSafety);
  void CheckStep();
  void CheckExecutions();
  void CheckRequests();
  void CheckVersions();
  void CheckExits();
  void CheckAnswer(const CallerRequest& request);
  const TestBedService* FindByAddress(const Endpoint& address) const;
  const TestBedService* FindByName(const std::string& name) const;
  const TestBedService* FindByNode(std::uint32_t node) const;
  void SendPost();
  void SendGet();
  void SendDiagram();
  void ScheduleRepeatedly(double per_second, void (TestBed::*action)());
  void ChangeData();
  FakeCaller& RandomCaller();
  Contract MakeContract(const std::string& customer) const;

  struct SeenVersions {
    std::uint64_t start_count = 0;
    std::map<std::string, ContractVersion> versions;
  };

  Cluster cluster;
  TestBedConfig config;
  std::vector<TestBedService> services;
  // By node. For a server that the contract marks as leaving, the time by which
  // all processes must have applied the contract.
  std::map<std::uint32_t, TimePoint> leaving_since;
  std::set<std::uint32_t> leaving_by_contract;
  std::map<std::string, std::uint32_t> request_rates;
  std::map<std::string, TimePoint> published;  // newest version, by customer
  std::map<std::uint32_t, SeenVersions> seen_versions;
  std::vector<std::string> reported_not_run;  // bodies of POSTs
  std::map<std::size_t, std::size_t> requests_checked;
  std::set<std::pair<std::size_t, std::size_t>> pending;
  std::size_t executions_checked = 0;
  std::set<std::uint32_t> exits_checked;
  std::vector<Violation> violations;
  TimePoint last_disturbance;
  TimePoint next_version_check;
  bool disturbed = false;
  bool planned_changes_only = true;
  bool loading = false;
  std::uint64_t next_claim = 1;
};

}  // namespace cactuscross::testing

#endif  // CACTUSCROSS_TESTS_SUPPORT_TEST_BED_H_
