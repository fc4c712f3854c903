#include "src/shell/server_client.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <string>
#include <utility>

#include <nlohmann/json.hpp>

namespace cactuscross {
namespace {

constexpr Duration kHealthTimeout{1000000};  // 1 s
constexpr Duration kCancelTimeout{1000000};  // 1 s
// Maximum size of the response to GET /health and POST /cancel.
constexpr std::size_t kMaxHealthBytes = 4096;
// Maximum number of active operations. Calls above it end with kNotSent.
constexpr std::size_t kMaxActiveOperations = 1024;
// Maximum number of idle connections, and the time until they are closed.
constexpr std::size_t kMaxIdleConnections = 32;
constexpr Duration kIdleConnectionLifetime{2000000};  // 2 s

// Header that identifies a call. A server may return it in its response.
constexpr char kCallIdHeader[] = "Call-Id";

std::string_view MethodName(CoapCode code) {
  constexpr std::array<std::pair<CoapCode, std::string_view>, 4> kMethods{{
      {CoapCode::kGet, "GET"},
      {CoapCode::kPost, "POST"},
      {CoapCode::kPut, "PUT"},
      {CoapCode::kDelete, "DELETE"},
  }};
  const auto* method =
      std::find_if(kMethods.begin(), kMethods.end(),
                   [&](const auto& row) { return row.first == code; });
  return method == kMethods.end() ? std::string_view() : method->second;
}

std::string ToMilliseconds(Duration duration) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

// True if the response names another call: the server has sent the answer to an
// earlier call on the connection a second time. Servers need not name the call.
bool IsForAnotherCall(const HttpResponse& response, CallId id) {
  return response.status == ServerCallStatus::kAnswered &&
         !response.header.empty() &&
         response.header != std::to_string(ToNumber(id));
}

ServerResult MakeResult(CallId id, ServerCallStatus status) {
  ServerResult result;
  result.id = id;
  result.status = status;
  return result;
}

HttpRequest MakeHealthRequest() {
  HttpRequest request;
  request.method = "GET";
  request.target = "/health";
  request.max_body_bytes = kMaxHealthBytes;
  return request;
}

// Returns the health that the response to GET /health reports, or
// reachable = false.
ServerHealth HealthFromResponse(const HttpResponse& response) {
  const bool ok =
      response.status == ServerCallStatus::kAnswered && response.code == 200;
  return ok ? ParseHealth(response.body) : ServerHealth();
}

}  // namespace

void ServerClient::Start(TimePoint now, const ServerCall& call) {
  ++this->counters.server_calls;
  const std::string_view method = MethodName(call.method);
  if (method.empty() ||
      this->active_operations.size() >= kMaxActiveOperations) {
    this->immediate_results.push_back(
        MakeResult(call.id, ServerCallStatus::kNotSent));
    return;
  }
  HttpRequest request;
  request.method = method;
  request.target = EncodeTarget(call.path, call.query);
  request.headers = {{kCallIdHeader, std::to_string(ToNumber(call.id))}};
  request.response_header = kCallIdHeader;
  request.body = call.body;
  request.max_body_bytes = kMaxServerBodyBytes;
  request.keep_alive = !call.new_connection;
  this->Open(now, {Purpose::kCall, call.id, call.service, std::move(request),
                   now + call.timeout});
}

void ServerClient::Cancel(TimePoint now, CallId id) {
  const auto call = std::find_if(
      this->active_operations.begin(), this->active_operations.end(),
      [id](const ActiveOperation& active) {
        return active.operation.purpose == Purpose::kCall &&
               active.operation.id == id;
      });
  if (call == this->active_operations.end()) {
    return;
  }
  const bool sent = call->HasSent();
  std::string service = std::move(call->operation.service);
  this->active_operations.erase(call);
  this->immediate_results.push_back(
      MakeResult(id, ServerCallStatus::kCancelled));
  if (sent) {
    HttpRequest request;
    request.method = "POST";
    request.target =
        EncodeTarget("cancel", "call=" + std::to_string(ToNumber(id)));
    request.max_body_bytes = kMaxHealthBytes;
    this->Open(now, {Purpose::kCancel, id, std::move(service),
                     std::move(request), now + kCancelTimeout});
  }
}

void ServerClient::CheckHealth(TimePoint now) {
  const bool open = std::any_of(
      this->active_operations.begin(), this->active_operations.end(),
      [](const ActiveOperation& active) {
        return active.operation.purpose == Purpose::kHealth;
      });
  if (open) {
    return;
  }
  this->Open(now, {Purpose::kHealth, CallId{0}, std::string(),
                   MakeHealthRequest(), now + kHealthTimeout});
}

void ServerClient::AppendPollEntries(std::vector<pollfd>& entries) const {
  for (const ActiveOperation& active : this->active_operations) {
    entries.push_back(active.exchange.PollEntry());
  }
}

ServerUpdates ServerClient::Continue(TimePoint now,
                                     gsl::span<const pollfd> polled) {
  ServerUpdates updates;
  updates.results = std::exchange(this->immediate_results, {});
  const auto expired = std::remove_if(
      this->idle_connections.begin(), this->idle_connections.end(),
      [now](const auto& old) { return old.close_at <= now; });
  this->idle_connections.erase(expired, this->idle_connections.end());
  std::size_t index = 0;
  for (auto active = this->active_operations.begin();
       active != this->active_operations.end();) {
    // Operations that started after the poll are at the end of the list and
    // have no entry in `polled`.
    const short events = index < polled.size() ? polled[index].revents : 0;
    ++index;
    active->exchange.Continue(now, events);
    while (active->exchange.IsDone() && Advance(now, *active)) {
      active->exchange.Continue(now, 0);
    }
    if (active->exchange.IsDone()) {
      this->Finish(now, *active, updates);
      active = this->active_operations.erase(active);
    } else {
      ++active;
    }
  }
  return updates;
}

bool ServerClient::ActiveOperation::HasSent() const {
  return this->sent_before ||
         (this->stage != Stage::kIdentityCheck && this->exchange.HasSent());
}

FileDescriptor ServerClient::TakeIdleConnection(std::string_view service) {
  while (!this->idle_connections.empty()) {
    IdleConnection last = std::move(this->idle_connections.back());
    this->idle_connections.pop_back();
    if (last.service == service && IsIdleConnection(last.socket)) {
      return std::move(last.socket);
    }
  }
  return FileDescriptor();
}

void ServerClient::StoreIdleConnection(TimePoint now, ActiveOperation& active) {
  FileDescriptor socket = active.exchange.TakeConnection();
  if (socket.IsOpen() && this->idle_connections.size() < kMaxIdleConnections) {
    this->idle_connections.push_back({std::move(socket),
                                      std::move(active.operation.service),
                                      now + kIdleConnectionLifetime});
  }
}

void ServerClient::Open(TimePoint now, Operation operation) {
  operation.request.server = this->server;
  FileDescriptor connection = operation.request.keep_alive
                                  ? this->TakeIdleConnection(operation.service)
                                  : FileDescriptor();
  const Stage stage = connection.IsOpen() ? Stage::kReusedConnection
                                          : NewConnectionStage(operation);
  HttpExchange exchange = Begin(now, operation, stage, std::move(connection));
  this->active_operations.push_back(
      {std::move(operation), stage, std::move(exchange)});
}

ServerClient::Stage ServerClient::NewConnectionStage(
    const Operation& operation) {
  return operation.service.empty() ? Stage::kFinalRequest
                                   : Stage::kIdentityCheck;
}

HttpExchange ServerClient::Begin(TimePoint now,
                                 const Operation& operation,
                                 Stage stage,
                                 FileDescriptor connection) {
  HttpRequest request;
  if (stage == Stage::kIdentityCheck) {
    request = MakeHealthRequest();
    request.server = operation.request.server;
    request.keep_alive = true;
  } else {
    request = operation.request;
  }
  if (stage != Stage::kIdentityCheck && operation.purpose == Purpose::kCall) {
    // The identity check has used up part of the timeout.
    request.headers.insert(
        request.headers.begin(),
        {"Deadline-Ms", ToMilliseconds(operation.deadline - now)});
  }
  return HttpExchange(std::move(request), operation.deadline,
                      std::move(connection));
}

bool ServerClient::Advance(TimePoint now, ActiveOperation& active) {
  if (active.stage == Stage::kIdentityCheck) {
    return SendAfterIdentityCheck(now, active);
  }
  const ServerCallStatus status = active.exchange.Response().status;
  const bool ended = status == ServerCallStatus::kBroken ||
                     status == ServerCallStatus::kNotSent;
  if (active.stage != Stage::kReusedConnection || !ended ||
      active.exchange.HasReceived()) {
    return false;
  }
  active.sent_before = active.exchange.HasSent();
  active.stage = NewConnectionStage(active.operation);
  active.exchange = Begin(now, active.operation, active.stage);
  return true;
}

bool ServerClient::SendAfterIdentityCheck(TimePoint now,
                                          ActiveOperation& active) {
  const ServerHealth health = HealthFromResponse(active.exchange.Response());
  if (!health.reachable || health.service != active.operation.service ||
      now >= active.operation.deadline) {
    return false;
  }
  FileDescriptor connection = active.exchange.TakeConnection();
  if (!IsIdleConnection(connection)) {
    return false;
  }
  active.stage = Stage::kFinalRequest;
  active.exchange =
      Begin(now, active.operation, active.stage, std::move(connection));
  return true;
}

ServerCallStatus ServerClient::Status(ActiveOperation& active) {
  const HttpResponse& response = active.exchange.Response();
  ServerCallStatus status = response.status;
  if (active.stage == Stage::kIdentityCheck) {
    const ServerHealth health = HealthFromResponse(response);
    const bool wrong_service =
        health.reachable && health.service != active.operation.service;
    status = wrong_service ? ServerCallStatus::kWrongService
                           : ServerCallStatus::kNotSent;
  }
  const bool unsent = status == ServerCallStatus::kNotSent ||
                      status == ServerCallStatus::kWrongService;
  return unsent && active.sent_before ? ServerCallStatus::kBroken : status;
}

void ServerClient::Finish(TimePoint now,
                          ActiveOperation& active,
                          ServerUpdates& updates) {
  HttpResponse& response = active.exchange.Response();
  if (active.operation.purpose == Purpose::kCall &&
      active.stage != Stage::kIdentityCheck &&
      IsForAnotherCall(response, active.operation.id)) {
    response.status = ServerCallStatus::kBroken;
    response.malformed = true;
  }
  const ServerCallStatus status = Status(active);
  this->counters.server_answers_malformed += response.malformed ? 1 : 0;
  if (status == ServerCallStatus::kAnswered) {
    this->StoreIdleConnection(now, active);
  } else {
    this->idle_connections.clear();
  }
  if (active.operation.purpose == Purpose::kHealth) {
    updates.health.push_back(HealthFromResponse(response));
  } else if (active.operation.purpose == Purpose::kCall) {
    this->counters.server_calls_broken +=
        status == ServerCallStatus::kBroken ? 1 : 0;
    ServerResult result = MakeResult(active.operation.id, status);
    if (status == ServerCallStatus::kAnswered) {
      result.http_status = response.code;
      result.retry_after_s = response.retry_after_s;
      result.not_run = response.not_run;
      result.truncated = response.body.size() > kMaxServerBodyBytes;
      result.body.assign(response.body.begin(), response.body.end());
    }
    updates.results.push_back(std::move(result));
  }
}

ServerHealth ParseHealth(std::string_view body) {
  ServerHealth health;
  const auto document = nlohmann::json::parse(body, nullptr, false);
  if (!document.is_object()) {
    return health;
  }
  const auto service = document.find("service");
  const auto state = document.find("state");
  const auto in_flight = document.find("in_flight");
  if (service == document.end() || !service->is_string() ||
      state == document.end() || !state->is_string()) {
    return health;
  }
  health.reachable = true;
  health.service = service->get<std::string>();
  health.draining = *state == "draining";
  health.starting = *state == "starting";
  if (in_flight != document.end() && in_flight->is_number_unsigned()) {
    health.in_flight = static_cast<std::uint32_t>(
        std::min<std::uint64_t>(in_flight->get<std::uint64_t>(), UINT32_MAX));
  }
  return health;
}

}  // namespace cactuscross
