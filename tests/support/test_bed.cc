#include "tests/support/test_bed.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "cactuscross/result_code.h"

namespace cactuscross::testing {
namespace {

// Max time until a leaving server receives no new work.
constexpr Duration kMaxLeavingDelay = std::chrono::seconds(5);
// Max time until all processes have applied a published contract.
constexpr Duration kMaxContractDelay = std::chrono::seconds(12);
constexpr Duration kVersionCheckInterval = std::chrono::milliseconds(500);
constexpr std::uint32_t kServiceNetwork = 0xC0000200;  // 192.0.2.0
constexpr std::uint16_t kCoapPort = 5683;
constexpr std::uint32_t kDefaultRequestRate = 500;
constexpr std::uint64_t kMaxDiagramBytes = 5000;
constexpr double kMicrosecondsPerSecond = 1e6;

// Returns the service of a request. Its path begins with the service's name.
std::string ServiceOfPath(const std::string& path) {
  return path.rfind("diagram/", 0) == 0 ? "diagrams"
                                        : path.substr(0, path.find('-'));
}

bool IsSessionPath(const std::string& path) {
  return path.find("-list") != std::string::npos;
}

bool IsNotRun(std::uint16_t result_code) {
  return result_code != 0 && GetRow(ResultCode{result_code}).not_run;
}

bool IsSuccess(CoapCode code) {
  return code == CoapCode::kContent || code == CoapCode::kChanged ||
         code == CoapCode::kCreated;
}

}  // namespace

TestBed::TestBed(std::uint64_t seed, const TestBedConfig& bed_config)
    : cluster(seed), config(bed_config) {
  this->services = {{"workshops", "claims", 11, {}, bed_config.claims},
                    {"workshops", "diagrams", 21, {}, bed_config.diagrams},
                    {"gardens", "queue", 31, {}, bed_config.queue}};
  std::uint32_t host = 0;
  for (TestBedService& service : this->services) {
    service.address = {kServiceNetwork + ++host, kCoapPort};
    this->cluster.GetLedger().data_version[service.FullName()] = 1;
  }
  const auto zone = [](std::uint32_t number) {
    return "north-" + std::to_string(number % 3 + 1);
  };
  for (std::uint32_t i = 0; i < bed_config.balancers; ++i) {
    this->cluster.AddBalancer(1 + i, zone(i));
  }
  for (const TestBedService& service : this->services) {
    for (std::uint32_t i = 0; i < service.agents; ++i) {
      this->cluster.AddAgent(service.first_node + i, zone(i),
                             service.FullName());
    }
  }
  for (std::size_t i = 0; i < bed_config.callers; ++i) {
    this->cluster.AddCaller();
  }
  this->cluster.PublishHostList();
  this->Republish("claims");
  this->Republish("queue");
  this->cluster.check = [this] { this->CheckStep(); };
}

Contract TestBed::MakeContract(const std::string& customer) const {
  Contract contract;
  contract.customer = customer;
  for (const TestBedService& entry : this->services) {
    if (entry.customer != customer) {
      continue;
    }
    ContractService service;
    service.name = entry.name;
    service.full_name = entry.FullName();
    service.id = MakeServiceId(service.full_name);
    service.addresses = {entry.address};
    service.session_max_age_s = this->config.session_max_age_s;
    const auto rate = this->request_rates.find(entry.name);
    service.limits.request_rate =
        rate == this->request_rates.end() ? kDefaultRequestRate : rate->second;
    for (std::uint32_t i = 0; i < entry.agents; ++i) {
      const std::uint32_t node = entry.first_node + i;
      ContractServer server = this->cluster.ServerEntry(node);
      server.state = this->leaving_by_contract.count(node) != 0
                         ? ServerState::kLeaving
                         : ServerState::kServing;
      service.servers.push_back(std::move(server));
    }
    contract.services.push_back(std::move(service));
  }
  return contract;
}

void TestBed::Republish(const std::string& service) {
  const std::string customer = this->FindByName(service)->customer;
  this->cluster.GetPlatform().Publish(this->MakeContract(customer));
  this->published[customer] = this->cluster.Now();
}

void TestBed::SetLeaving(std::uint32_t node, bool leaving) {
  if (leaving) {
    this->leaving_by_contract.insert(node);
    this->leaving_since[node] = this->cluster.Now() + kMaxContractDelay;
  } else {
    this->leaving_by_contract.erase(node);
    this->leaving_since.erase(node);
  }
  this->Republish(this->FindByNode(node)->name);
}

void TestBed::SetDraining(std::uint32_t node, bool draining) {
  this->cluster.GetServer(node).faults.draining = draining;
  if (draining) {
    this->leaving_since[node] = this->cluster.Now();
  } else {
    this->leaving_since.erase(node);
  }
}

void TestBed::RequestStop(std::uint32_t node) {
  this->cluster.RequestStop(node);
  if (this->FindByNode(node) != nullptr) {
    this->leaving_since[node] = this->cluster.Now();
  } else {
    // The network stops spraying datagrams to a balancer that shuts down.
    this->cluster.SetSprayTarget(node, false);
  }
}

void TestBed::SetRequestRate(const std::string& service, std::uint32_t rate) {
  this->request_rates[service] = rate;
  this->Republish(service);
}

void TestBed::SetDisturbed(bool is_disturbed) {
  this->disturbed = is_disturbed;
  this->RecordDisturbance();
}

void TestBed::StartLoad(const TestBedLoad& load) {
  this->loading = true;
  for (std::uint32_t i = 0; i < load.sessions; ++i) {
    const TestBedService& service = this->services[i % 2 == 0 ? 0 : 2];
    this->cluster.GetCaller(i % this->cluster.CallerCount())
        .Observe(service.address, service.name + "-list");
  }
  this->ScheduleRepeatedly(load.posts_per_s, &TestBed::SendPost);
  this->ScheduleRepeatedly(load.gets_per_s, &TestBed::SendGet);
  this->ScheduleRepeatedly(load.diagrams_per_s, &TestBed::SendDiagram);
  this->ScheduleRepeatedly(load.data_changes_per_s, &TestBed::ChangeData);
}

void TestBed::ScheduleRepeatedly(double per_second, void (TestBed::*action)()) {
  if (per_second <= 0) {
    return;
  }
  const auto mean =
      Duration(static_cast<std::int64_t>(kMicrosecondsPerSecond / per_second));
  const Duration wait =
      this->cluster.GetLink().GetRandom().Between(mean / 2, mean * 3 / 2);
  this->cluster.GetLink().Schedule(wait, [this, per_second, action] {
    if (this->loading) {
      (this->*action)();
      this->ScheduleRepeatedly(per_second, action);
    }
  });
}

FakeCaller& TestBed::RandomCaller() {
  return this->cluster.GetCaller(
      this->cluster.GetLink().GetRandom().Below(this->cluster.CallerCount()));
}

void TestBed::SendPost() {
  const bool claim = this->cluster.GetLink().GetRandom().Chance(0.5);
  const TestBedService& service = this->services[claim ? 0 : 2];
  this->RandomCaller().Post(
      service.address, service.name + "-claim",
      service.name + ":" + std::to_string(this->next_claim++));
}

void TestBed::SendGet() {
  const TestBedService& service =
      this->services[this->cluster.GetLink().GetRandom().Below(
          this->services.size())];
  this->RandomCaller().Get(service.address, service.name + "-job",
                           "n=" + std::to_string(this->next_claim++));
}

void TestBed::SendDiagram() {
  const std::uint64_t size =
      1 + this->cluster.GetLink().GetRandom().Below(kMaxDiagramBytes);
  this->RandomCaller().Get(this->services[1].address,
                           "diagram/" + std::to_string(size), "");
}

void TestBed::ChangeData() {
  for (auto& [service, version] : this->cluster.GetLedger().data_version) {
    ++version;
  }
}

const TestBedService* TestBed::FindByAddress(const Endpoint& address) const {
  const auto found = std::find_if(
      this->services.begin(), this->services.end(),
      [&address](const TestBedService& s) { return s.address == address; });
  return found == this->services.end() ? nullptr : &*found;
}

const TestBedService* TestBed::FindByName(const std::string& name) const {
  const auto found =
      std::find_if(this->services.begin(), this->services.end(),
                   [&name](const TestBedService& s) { return s.name == name; });
  return found == this->services.end() ? nullptr : &*found;
}

const TestBedService* TestBed::FindByNode(std::uint32_t node) const {
  const auto found = std::find_if(this->services.begin(), this->services.end(),
                                  [node](const TestBedService& s) {
                                    return node >= s.first_node &&
                                           node < s.first_node + s.agents;
                                  });
  return found == this->services.end() ? nullptr : &*found;
}

void TestBed::ReportViolation(const std::string& what, InvariantKind kind) {
  constexpr std::ptrdiff_t kMaxViolations = 20;  // of one kind
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
      this->cluster.Now().time_since_epoch());
  const auto same = std::count_if(
      this->violations.begin(), this->violations.end(),
      [kind](const Violation& other) { return other.kind == kind; });
  if (same < kMaxViolations) {
    this->violations.push_back(
        {kind, std::to_string(ms.count()) + " ms: " + what});
  }
}

void TestBed::CheckStep() {
  this->CheckExecutions();
  this->CheckRequests();
  this->CheckExits();
  if (this->cluster.Now() >= this->next_version_check) {
    this->next_version_check = this->cluster.Now() + kVersionCheckInterval;
    this->CheckVersions();
  }
}

void TestBed::CheckExecutions() {
  const ServerLedger& ledger = this->cluster.GetLedger();
  for (; this->executions_checked < ledger.executions.size();
       ++this->executions_checked) {
    const Execution& run = ledger.executions[this->executions_checked];
    const TestBedService* expected = this->FindByName(ServiceOfPath(run.path));
    if (expected == nullptr || expected->FullName() != run.service) {
      this->ReportViolation(run.path + " delivered to " + run.service);
    }
    const std::uint32_t node = run.server.address & 0xFFFFU;
    const auto leaving = this->leaving_since.find(node);
    if (leaving != this->leaving_since.end() && !IsSessionPath(run.path) &&
        run.start > leaving->second + kMaxLeavingDelay) {
      this->ReportViolation("new request " + run.path +
                            " at the leaving server " + std::to_string(node));
    }
    if (run.method != CoapCode::kPost) {
      continue;
    }
    if (ledger.runs.at(run.body) > 1) {
      this->ReportViolation("POST " + run.body + " ran " +
                            std::to_string(ledger.runs.at(run.body)) +
                            " times");
    }
    if (std::find(this->reported_not_run.begin(), this->reported_not_run.end(),
                  run.body) != this->reported_not_run.end()) {
      this->ReportViolation("POST " + run.body +
                            " ran after it was answered as not run");
    }
  }
}

void TestBed::CheckRequests() {
  for (std::size_t i = 0; i < this->cluster.CallerCount(); ++i) {
    const auto& requests = this->cluster.GetCaller(i).Requests();
    std::size_t& checked = this->requests_checked[i];
    for (; checked < requests.size(); ++checked) {
      this->pending.insert({i, checked});
    }
  }
  for (auto entry = this->pending.begin(); entry != this->pending.end();) {
    const CallerRequest& request =
        this->cluster.GetCaller(entry->first).Requests()[entry->second];
    if (request.finished) {
      this->CheckAnswer(request);
      entry = this->pending.erase(entry);
    } else {
      ++entry;
    }
  }
}

void TestBed::CheckAnswer(const CallerRequest& request) {
  const TestBedService& service = *this->FindByAddress(request.service_address);
  const ServerLedger& ledger = this->cluster.GetLedger();
  if (this->planned_changes_only && !IsSuccess(request.code)) {
    this->ReportViolation(
        "request failed during a planned change: " + request.path + " " +
        request.body + " " + request.query + ": " +
        (request.answered ? request.answer : "no answer"));
  }
  if (!request.answered) {
    return;
  }
  if (IsSuccess(request.code)) {
    const std::string expected = AnswerText(
        service.FullName(), request.method, request.path, request.query,
        request.body, ParseDataVersion(request.answer));
    if (request.answer != expected) {
      this->ReportViolation("wrong or incomplete response to " + request.path +
                            ": " + request.answer.substr(0, 80));
    }
    if (request.method == CoapCode::kPost &&
        ledger.runs.count(request.body) == 0) {
      this->ReportViolation("response to POST " + request.body +
                            " that did not run");
    }
  }
  if (request.method == CoapCode::kPost && IsNotRun(request.result_code)) {
    this->reported_not_run.push_back(request.body);
    if (ledger.runs.count(request.body) != 0) {
      this->ReportViolation("response '" + request.answer.substr(0, 40) +
                            "' to POST " + request.body + " that had run");
    }
  }
}

void TestBed::CheckExits() {
  for (const auto& [node, process] : this->cluster.Processes()) {
    if (!process.exited) {
      this->exits_checked.erase(node);
    } else if (this->exits_checked.insert(node).second &&
               process.address.role == Role::kAgent &&
               this->cluster.GetServer(node).AwaitedCalls() > 0) {
      this->ReportViolation("agent " + std::to_string(node) +
                            " exited with requests in flight at its server");
    }
  }
}

void TestBed::CheckVersions() {
  const auto& newest = this->cluster.GetPlatform().Newest();
  for (const auto& [node, process] : this->cluster.Processes()) {
    if (process.state != ProcessState::kRunning) {
      continue;
    }
    const nlohmann::json dump =
        process.balancer ? process.balancer->Dump() : process.agent->Dump();
    SeenVersions& previous = this->seen_versions[node];
    if (previous.start_count != process.starts) {
      previous = {process.starts, {}};
    }
    for (const auto& [customer, value] : newest) {
      const bool subscribed =
          process.balancer || this->FindByNode(node)->customer == customer;
      if (!subscribed) {
        continue;
      }
      const auto& contracts = dump["control"]["contracts"];
      const ContractVersion version =
          contracts.contains(customer)
              ? contracts[customer]["version"].get<ContractVersion>()
              : 0;
      if (version < previous.versions[customer]) {
        this->ReportViolation("version of " + customer + " decreased at node " +
                              std::to_string(node));
      }
      previous.versions[customer] = version;
      const TimePoint since =
          std::max({this->published[customer], process.running_since,
                    this->last_disturbance});
      if (!this->disturbed &&
          version<value.version&& this->cluster.Now()> since +
              kMaxContractDelay) {
        this->ReportViolation("version " + std::to_string(value.version) +
                                  " of " + customer + " not applied at node " +
                                  std::to_string(node) + " after 12 s",
                              InvariantKind::kInForce);
      }
    }
  }
}

void TestBed::CheckEnd() {
  this->CheckStep();
  for (std::size_t i = 0; i < this->cluster.CallerCount(); ++i) {
    const FakeCaller& caller = this->cluster.GetCaller(i);
    for (const CallerSession& session : caller.Sessions()) {
      if (session.keep_open && !session.open) {
        this->ReportViolation("session " + session.path +
                              " is not open at the end");
      }
      if (session.stale_notifications > 0) {
        this->ReportViolation(
            "session " + session.path + " received older data " +
                std::to_string(session.stale_notifications) + " times",
            InvariantKind::kOrder);
      }
      if (this->planned_changes_only &&
          (session.breaks > 0 || session.registrations > 1)) {
        this->ReportViolation("session failed during a planned change: " +
                              session.path);
      }
    }
  }
}

std::size_t TestBed::OpenSessions() const {
  std::size_t open = 0;
  for (std::size_t i = 0; i < this->cluster.CallerCount(); ++i) {
    const auto& sessions = this->cluster.GetCaller(i).Sessions();
    open += static_cast<std::size_t>(
        std::count_if(sessions.begin(), sessions.end(),
                      [](const CallerSession& s) { return s.open; }));
  }
  return open;
}

namespace {

// Counts the requests of all callers for which `matches` returns true.
template <typename Predicate>
std::size_t CountRequests(const Cluster& cluster, Predicate matches) {
  std::size_t count = 0;
  for (std::size_t i = 0; i < cluster.CallerCount(); ++i) {
    const auto& requests = cluster.GetCaller(i).Requests();
    count += static_cast<std::size_t>(
        std::count_if(requests.begin(), requests.end(), matches));
  }
  return count;
}

double Share(std::size_t part, std::size_t whole) {
  return whole == 0 ? 1.0
                    : static_cast<double>(part) / static_cast<double>(whole);
}

}  // namespace

double TestBed::PostsAnswered() const {
  return Share(CountRequests(this->cluster,
                             [](const CallerRequest& r) {
                               return r.method == CoapCode::kPost &&
                                      r.finished && IsSuccess(r.code);
                             }),
               this->Posts());
}

double TestBed::GetsAnswered() const {
  return Share(CountRequests(this->cluster,
                             [](const CallerRequest& r) {
                               return r.method == CoapCode::kGet &&
                                      r.finished && IsSuccess(r.code);
                             }),
               CountRequests(this->cluster, [](const CallerRequest& r) {
                 return r.method == CoapCode::kGet;
               }));
}

std::size_t TestBed::OutcomesUnknown() const {
  return CountRequests(this->cluster, [](const CallerRequest& r) {
    return r.result_code == ToNumber(ResultCode::kOutcomeUnknown);
  });
}

std::size_t TestBed::NotRun() const {
  return CountRequests(this->cluster, [](const CallerRequest& r) {
    return IsNotRun(r.result_code);
  });
}

std::size_t TestBed::Posts() const {
  return CountRequests(this->cluster, [](const CallerRequest& r) {
    return r.method == CoapCode::kPost;
  });
}

std::size_t TestBed::SessionBreaks() const {
  std::size_t breaks = 0;
  for (std::size_t i = 0; i < this->cluster.CallerCount(); ++i) {
    for (const CallerSession& session : this->cluster.GetCaller(i).Sessions()) {
      breaks += static_cast<std::size_t>(session.breaks);
    }
  }
  return breaks;
}

double TestBed::MaxNotificationGapS() const {
  Duration max_gap{0};
  for (std::size_t i = 0; i < this->cluster.CallerCount(); ++i) {
    for (const CallerSession& session : this->cluster.GetCaller(i).Sessions()) {
      max_gap = std::max({max_gap, session.max_notification_gap,
                          this->cluster.Now() - session.last_received});
    }
  }
  return static_cast<double>(max_gap.count()) / kMicrosecondsPerSecond;
}

std::size_t TestBed::ProcessesUp() const {
  const auto& processes = this->cluster.Processes();
  return static_cast<std::size_t>(
      std::count_if(processes.begin(), processes.end(), [](const auto& entry) {
        return entry.second.state != ProcessState::kDown;
      }));
}

}  // namespace cactuscross::testing
