#include "src/shell/platform_client.h"

#include <poll.h>

#include <algorithm>
#include <limits>
#include <list>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>

#include <nlohmann/json.hpp>

#include "src/config/value_parser.h"
#include "src/shell/http_client.h"

namespace cactuscross {
namespace {

// Response timeout, in addition to the time that a watch request may wait at
// the service.
constexpr Duration kResponseTimeout{2000000};  // 2 s
// Poll timeout while reads are in flight. Bounds how late their deadlines are
// checked.
constexpr int kPollTimeoutMs = 100;
constexpr std::size_t kMaxValueBytes = 1U << 20U;
constexpr std::size_t kMaxNameBytes = 256;

using nlohmann::json;

std::string ReadText(const json& object,
                     const char* key,
                     std::size_t max_bytes) {
  auto text = object.at(key).get<std::string>();
  if (text.size() > max_bytes) {
    throw std::length_error(key);
  }
  return text;
}

std::uint64_t ReadUnsigned(const json& object, const char* key) {
  const json& value = object.at(key);
  if (!value.is_number_unsigned()) {
    throw std::domain_error(key);
  }
  return value.get<std::uint64_t>();
}

ContractValue ReadValue(const json& object) {
  ContractValue value;
  value.customer = ReadText(object, "customer", kMaxNameBytes);
  value.version = ReadUnsigned(object, "version");
  value.deleted = object.value("deleted", false);
  if (!value.deleted) {
    value.text = ReadText(object, "text", kMaxValueBytes);
  }
  return value;
}

std::optional<Role> ReadRole(const json& object) {
  const std::string role = ReadText(object, "role", kMaxNameBytes);
  if (role == "agent") {
    return Role::kAgent;
  }
  return role == "balancer" ? std::optional(Role::kBalancer) : std::nullopt;
}

NodeId ReadNode(const json& object) {
  const std::uint64_t number = ReadUnsigned(object, "node");
  if (number > std::numeric_limits<std::uint32_t>::max()) {
    throw std::out_of_range("node " + std::to_string(number));
  }
  return NodeId{static_cast<std::uint32_t>(number)};
}

// Returns nullopt for a host of a role that this version does not know.
std::optional<HostEntry> ReadHost(const json& object) {
  HostEntry host;
  const auto role = ReadRole(object);
  if (!role) {
    return std::nullopt;
  }
  host.peer.role = *role;
  host.peer.node = ReadNode(object);
  host.peer.zone = ReadText(object, "zone", kMaxNameBytes);
  const auto endpoint =
      ParseEndpoint(ReadText(object, "address", kMaxNameBytes));
  if (!endpoint) {
    throw std::domain_error("address");
  }
  host.peer.endpoint = *endpoint;
  host.leaving = ReadText(object, "state", kMaxNameBytes) == "leaving";
  return host;
}

void ReadContracts(const json& document, PlatformResult& result) {
  result.revision = ReadUnsigned(document, "revision");
  for (const json& value : document.at("values")) {
    result.values.push_back(ReadValue(value));
  }
}

void ReadHosts(const json& document, PlatformResult& result) {
  for (const json& host : document.at("hosts")) {
    if (auto read = ReadHost(host)) {
      result.hosts.push_back(std::move(*read));
    }
  }
}

PlatformResult MakeFailure(PlatformReadKind kind) {
  PlatformResult result;
  result.kind = kind;
  return result;
}

std::string MakeTarget(const PlatformRead& read) {
  if (read.kind == PlatformReadKind::kReadHosts) {
    return "/v1/hosts";
  }
  return "/v1/contracts?since=" + std::to_string(read.since) +
         "&wait_ms=" + std::to_string(read.wait.count() / 1000);
}

}  // namespace

struct PlatformClient::InFlightRead {
  PlatformRead read;
  std::optional<HttpExchange> exchange;  // empty if no service is configured
};

PlatformResult ParsePlatformResponse(PlatformReadKind kind,
                                     std::string_view body) {
  PlatformResult result = MakeFailure(kind);
  // The document is untrusted. A missing key or a value of the wrong type
  // throws.
  try {
    const json document = json::parse(body);
    if (kind == PlatformReadKind::kWatchContracts) {
      ReadContracts(document, result);
    } else {
      ReadHosts(document, result);
    }
    result.ok = true;
  } catch (const std::exception&) {
    result = MakeFailure(kind);
  }
  return result;
}

PlatformClient::PlatformClient(std::vector<Endpoint> services,
                               const WakeEvent& wake)
    : services(std::move(services)),
      wake(wake),
      thread([this] { this->Run(); }) {}

PlatformClient::~PlatformClient() {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->stopping = true;
  }
  this->work.Notify();
  this->thread.join();
}

void PlatformClient::Read(const PlatformRead& read) {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->reads.push_back(read);
  }
  this->work.Notify();
}

std::vector<PlatformResult> PlatformClient::TakeResults() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return std::exchange(this->results, {});
}

std::vector<PlatformRead> PlatformClient::TakeReads() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return std::exchange(this->reads, {});
}

PlatformClient::InFlightRead PlatformClient::StartRead(
    const PlatformRead& read) const {
  InFlightRead in_flight{read, std::nullopt};
  if (!this->services.empty()) {
    HttpRequest request;
    request.server = this->services[this->current_service];
    request.method = "GET";
    request.target = MakeTarget(read);
    request.max_body_bytes = kMaxPlatformResponseBytes;
    in_flight.exchange.emplace(std::move(request),
                               MonotonicNow() + read.wait + kResponseTimeout);
  }
  return in_flight;
}

void PlatformClient::Finish(InFlightRead& read) {
  PlatformResult result = MakeFailure(read.read.kind);
  if (read.exchange) {
    const HttpResponse& response = read.exchange->Response();
    if (response.status == ServerCallStatus::kAnswered &&
        response.code == 200) {
      result = ParsePlatformResponse(read.read.kind, response.body);
    }
  }
  if (!result.ok && !this->services.empty()) {
    this->current_service = (this->current_service + 1) % this->services.size();
  }
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->results.push_back(std::move(result));
}

void PlatformClient::Run() {
  std::list<InFlightRead> in_flight;
  while (true) {
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      if (this->stopping) {
        return;
      }
    }
    for (const PlatformRead& read : this->TakeReads()) {
      in_flight.push_back(this->StartRead(read));
    }
    std::vector<pollfd> entries{{this->work.Get(), POLLIN, 0}};
    for (const InFlightRead& read : in_flight) {
      entries.push_back(read.exchange ? read.exchange->PollEntry()
                                      : pollfd{-1, 0, 0});
    }
    const bool any_done = std::any_of(
        in_flight.begin(), in_flight.end(),
        [](const auto& r) { return !r.exchange || r.exchange->IsDone(); });
    const int sleep_ms = in_flight.empty() ? -1 : kPollTimeoutMs;
    poll(entries.data(), entries.size(), any_done ? 0 : sleep_ms);
    this->work.Drain();
    std::size_t index = 1;
    bool any_result = false;
    for (auto read = in_flight.begin(); read != in_flight.end(); ++index) {
      if (read->exchange) {
        read->exchange->Continue(MonotonicNow(), entries[index].revents);
      }
      if (!read->exchange || read->exchange->IsDone()) {
        this->Finish(*read);
        any_result = true;
        read = in_flight.erase(read);
      } else {
        ++read;
      }
    }
    if (any_result) {
      this->wake.Notify();
    }
  }
}

}  // namespace cactuscross
