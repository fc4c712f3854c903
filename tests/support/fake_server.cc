#include "tests/support/fake_server.h"

#include <algorithm>
#include <utility>

namespace cactuscross::testing {
namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpUnavailable = 503;
// Interval at which a hanging call checks whether the fault has ended.
constexpr Duration kHangRecheckInterval = std::chrono::milliseconds(100);
constexpr Duration kAnswerDelay = std::chrono::milliseconds(1);
constexpr std::string_view kLargePath = "diagram/";
// Requests whose answer is longer than what the shell receives.
constexpr std::string_view kTruncatedPath = "truncated";

Bytes ToBytes(const std::string& text) {
  return {text.begin(), text.end()};
}

}  // namespace

std::string AnswerText(const std::string& service,
                       CoapCode method,
                       const std::string& path,
                       const std::string& query,
                       const std::string& body,
                       std::uint64_t data_version) {
  std::string text = service + " " + std::to_string(ToNumber(method)) + " " +
                     path + "?" + query + " " + body;
  if (method == CoapCode::kPost) {
    return text + " done";
  }
  const std::string version = " v" + std::to_string(data_version);
  text += version;
  if (path.rfind(kLargePath, 0) == 0) {
    const std::size_t size = std::stoul(path.substr(kLargePath.size()));
    while (text.size() < size) {
      text += version;
    }
  }
  return text;
}

FakeServer::FakeServer(Link& link,
                       ServerLedger& ledger,
                       Endpoint endpoint,
                       std::string service)
    : service(std::move(service)),
      link(link),
      ledger(ledger),
      endpoint(endpoint) {}

void FakeServer::HandleCall(const ServerCall& call, const DoneCallback& done) {
  Call accepted{call, done, false, false, this->next_serial++};
  ServerResult result;
  result.id = call.id;
  if (this->faults.down) {
    result.status = ServerCallStatus::kNotSent;
    this->Answer(accepted, result);
    return;
  }
  if (call.service != this->service) {
    result.status = ServerCallStatus::kWrongService;
    this->Answer(accepted, result);
    return;
  }
  if (this->faults.refusing || this->faults.draining) {
    result.http_status = kHttpUnavailable;
    result.not_run = true;
    this->Answer(accepted, result);
    return;
  }
  this->calls.push_back(accepted);
  this->link.Schedule(call.timeout, [this, serial = accepted.serial] {
    const auto found = this->Find(serial);
    if (found != this->calls.end() && !found->abandoned) {
      ServerResult timeout_result;
      timeout_result.id = found->call.id;
      timeout_result.status = ServerCallStatus::kTimedOut;
      this->Answer(*found, timeout_result);
      found->abandoned = true;
    }
  });
  this->StartQueuedCalls();
}

bool FakeServer::BreakCallsIfReplaced() {
  const bool replaced = std::any_of(
      this->calls.begin(), this->calls.end(),
      [this](const Call& call) { return call.call.service != this->service; });
  if (replaced) {
    this->BreakCalls();
  }
  return replaced;
}

void FakeServer::StartQueuedCalls() {
  if (this->BreakCallsIfReplaced()) {
    return;
  }
  for (Call& call : this->calls) {
    if (this->BusySlots() >= this->slots) {
      return;
    }
    if (!call.running) {
      this->Start(call);
    }
    if (this->faults.down) {
      this->BreakCalls();
      return;
    }
  }
}

void FakeServer::Start(Call& call) {
  call.running = true;
  const std::string body(call.call.body.begin(), call.call.body.end());
  this->ledger.executions.push_back({this->link.Now(), this->endpoint,
                                     this->service, call.call.method,
                                     call.call.path, call.call.query, body});
  if (call.call.method == CoapCode::kPost) {
    ++this->ledger.runs[body];
  }
  if (call.call.method == CoapCode::kPost &&
      std::exchange(this->faults.crashes_on_next_post, false)) {
    this->faults.down = true;
    return;
  }
  this->link.Schedule(this->DrawServiceTime(call.call),
                      [this, serial = call.serial] { this->Finish(serial); });
}

Duration FakeServer::DrawServiceTime(const ServerCall& call) const {
  if (this->draw_service_time) {
    return this->draw_service_time(call);
  }
  return this->service_time +
         this->link.GetRandom().Between(Duration(0), this->service_time_jitter);
}

std::size_t FakeServer::AwaitedCalls() const {
  return static_cast<std::size_t>(
      std::count_if(this->calls.begin(), this->calls.end(),
                    [](const Call& call) { return !call.abandoned; }));
}

std::size_t FakeServer::BusySlots() const {
  return static_cast<std::size_t>(
      std::count_if(this->calls.begin(), this->calls.end(),
                    [](const Call& call) { return call.running; }));
}

void FakeServer::Finish(std::uint64_t serial) {
  const auto found = this->Find(serial);
  if (found == this->calls.end() || this->BreakCallsIfReplaced()) {
    return;
  }
  if (this->faults.hanging) {
    this->link.Schedule(kHangRecheckInterval,
                        [this, serial] { this->Finish(serial); });
    return;
  }
  ServerResult result;
  result.id = found->call.id;
  result.http_status = kHttpOk;
  result.body = ToBytes(AnswerText(
      this->service, found->call.method, found->call.path, found->call.query,
      std::string(found->call.body.begin(), found->call.body.end()),
      this->ledger.data_version[this->service]));
  result.truncated = found->call.path == kTruncatedPath;
  this->Answer(*found, result);
  this->calls.erase(found);
  this->StartQueuedCalls();
}

void FakeServer::BreakCalls() {
  for (const Call& call : std::exchange(this->calls, {})) {
    ServerResult result;
    result.id = call.call.id;
    result.status = ServerCallStatus::kBroken;
    this->Answer(call, result);
  }
}

void FakeServer::Answer(const Call& call, ServerResult result) {
  if (call.abandoned) {
    return;
  }
  this->link.Schedule(
      kAnswerDelay,
      [done = call.done, result = std::move(result)] { done(result); });
}

void FakeServer::Cancel(CallId id) {
  const auto found = std::find_if(
      this->calls.begin(), this->calls.end(),
      [id](const Call& call) { return call.call.id == id && !call.abandoned; });
  if (found == this->calls.end()) {
    return;
  }
  if (found->running) {
    this->ledger.cancelled_requests.push_back(found->call.path);
  }
  ServerResult result;
  result.id = id;
  result.status = ServerCallStatus::kCancelled;
  this->Answer(*found, result);
  this->calls.erase(found);
  this->StartQueuedCalls();
}

void FakeServer::AbandonCalls() {
  for (Call& call : this->calls) {
    call.abandoned = true;
  }
}

ServerHealth FakeServer::Health() const {
  ServerHealth health;
  health.reachable = !this->faults.down && !this->faults.health_unreachable;
  health.service = this->service;
  health.draining = this->faults.draining;
  health.starting = this->faults.starting;
  health.in_flight = static_cast<std::uint32_t>(this->calls.size());
  if (this->on_health) {
    this->on_health(health);
  }
  return health;
}

std::list<FakeServer::Call>::iterator FakeServer::Find(std::uint64_t serial) {
  return std::find_if(
      this->calls.begin(), this->calls.end(),
      [serial](const Call& call) { return call.serial == serial; });
}

}  // namespace cactuscross::testing
