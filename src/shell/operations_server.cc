#include "src/shell/operations_server.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <optional>
#include <sstream>
#include <string_view>
#include <utility>

#include "src/config/value_parser.h"

namespace cactuscross {
namespace {

constexpr std::chrono::seconds kResponseTimeout{2};
constexpr std::size_t kMaxDecisions = 10000;
constexpr std::size_t kMaxRequestBytes = 8192;
constexpr std::size_t kMaxPendingRequests = 64;

std::string HandleRequest(const OperationsSource& source,
                          OperationsRequestKind kind,
                          const DecisionQuery& query) {
  switch (kind) {
    case OperationsRequestKind::kDump:
      return source.dump().dump(2, ' ', true,
                                nlohmann::json::error_handler_t::replace);
    case OperationsRequestKind::kMetrics:
      return FormatMetrics(source.metrics());
    case OperationsRequestKind::kExplain:
      return FormatDecisions(source.explain(query))
          .dump(2, ' ', true, nlohmann::json::error_handler_t::replace);
  }
  return {};
}

// Parses the query parameters of /explain. Returns nullopt if one is invalid.
std::optional<DecisionQuery> ParseQuery(
    const Pistache::Http::Request& request) {
  DecisionQuery query;
  if (const auto caller = request.query().get("caller")) {
    const auto endpoint = ParseEndpoint(*caller);
    const auto address = ParseIpv4(*caller);
    if (!endpoint && !address) {
      return std::nullopt;
    }
    query.caller = endpoint ? *endpoint : Endpoint{*address, 0};
  }
  query.token = request.query().get("token").value_or("");
  if (const auto max_count = request.query().get("most")) {
    const auto number = ParseNumber(*max_count);
    if (!number || *number < 0) {
      return std::nullopt;
    }
    query.max_count = std::min<std::size_t>(*number, kMaxDecisions);
  }
  return query;
}

class OperationsHandler : public Pistache::Http::Handler {
 public:
  HTTP_PROTOTYPE(OperationsHandler)

  explicit OperationsHandler(std::shared_ptr<OperationsQueue> queue)
      : queue(std::move(queue)) {}

  void onRequest(const Pistache::Http::Request& request,
                 Pistache::Http::ResponseWriter response) override {
    using Pistache::Http::Code;
    if (request.method() != Pistache::Http::Method::Get) {
      response.send(Code::Method_Not_Allowed, "only GET is known\n");
    } else if (request.resource() == "/dump") {
      this->Reply(OperationsRequestKind::kDump, {}, response);
    } else if (request.resource() == "/metrics") {
      this->Reply(OperationsRequestKind::kMetrics, {}, response);
    } else if (request.resource() == "/explain") {
      const auto query = ParseQuery(request);
      if (query) {
        this->Reply(OperationsRequestKind::kExplain, *query, response);
      } else {
        response.send(Code::Bad_Request,
                      "caller is a.b.c.d or a.b.c.d:port, most a number\n");
      }
    } else {
      response.send(Code::Not_Found, "/dump, /explain and /metrics exist\n");
    }
  }

 private:
  void Reply(OperationsRequestKind kind,
             const DecisionQuery& query,
             Pistache::Http::ResponseWriter& response) {
    using Pistache::Http::Code;
    const std::string result = this->queue->SubmitAndWait(kind, query);
    if (result.empty()) {
      response.send(Code::Service_Unavailable, "the process is busy\n");
      return;
    }
    const bool text = kind == OperationsRequestKind::kMetrics;
    response.send(Code::Ok, result,
                  text ? MIME(Text, Plain) : MIME(Application, Json));
  }

  std::shared_ptr<OperationsQueue> queue;
};

std::string FormatNumber(double value) {
  std::ostringstream text;
  // The default format of a stream rounds to 6 digits, so whole numbers are
  // formatted as integers. Below 1e15, a double holds them exactly.
  if (std::floor(value) == value && std::abs(value) < 1e15) {
    text << static_cast<std::int64_t>(value);
  } else {
    text << value;
  }
  return text.str();
}

}  // namespace

std::string OperationsQueue::SubmitAndWait(OperationsRequestKind kind,
                                           const DecisionQuery& query) {
  std::future<std::string> result;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->pending.size() >= kMaxPendingRequests) {
      return {};
    }
    PendingRequest added{kind, query, {}};
    result = added.result.get_future();
    this->pending.push_back(std::move(added));
  }
  this->wake.Notify();
  if (result.wait_for(kResponseTimeout) != std::future_status::ready) {
    return {};
  }
  return result.get();
}

void OperationsQueue::HandlePending(const OperationsSource& source) {
  std::vector<PendingRequest> requests;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    requests = std::exchange(this->pending, {});
  }
  for (PendingRequest& request : requests) {
    request.result.set_value(
        HandleRequest(source, request.kind, request.query));
  }
}

OperationsServer::OperationsServer(const Endpoint& listen,
                                   const WakeEvent& wake)
    : queue(std::make_shared<OperationsQueue>(wake)),
      endpoint(std::make_unique<Pistache::Http::Endpoint>(
          Pistache::Address(ToString(listen)))) {
  this->endpoint->init(Pistache::Http::Endpoint::options()
                           .threads(1)
                           .flags(Pistache::Tcp::Options::ReuseAddr)
                           .maxRequestSize(kMaxRequestBytes));
  this->endpoint->setHandler(
      Pistache::Http::make_handler<OperationsHandler>(this->queue));
  this->endpoint->serveThreaded();
}

OperationsServer::~OperationsServer() {
  this->endpoint->shutdown();
}

std::string FormatMetrics(std::vector<MetricSample> samples) {
  std::stable_sort(samples.begin(), samples.end(),
                   [](const MetricSample& a, const MetricSample& b) {
                     return a.name < b.name;
                   });
  std::string text;
  std::string_view last;
  for (const MetricSample& sample : samples) {
    const std::string name = "cactuscross_" + sample.name;
    if (sample.name != last) {
      const bool counter = sample.kind == MetricKind::kCounter;
      text += "# TYPE " + name + (counter ? " counter\n" : " gauge\n");
      last = sample.name;
    }
    const std::string labels =
        sample.labels.empty() ? "" : "{" + sample.labels + "}";
    text += name + labels + " " + FormatNumber(sample.value) + "\n";
  }
  return text;
}

nlohmann::json FormatDecisions(const std::vector<Decision>& decisions) {
  nlohmann::json list = nlohmann::json::array();
  for (const Decision& decision : decisions) {
    list.push_back({{"time_us", decision.time.time_since_epoch().count()},
                    {"caller", ToString(decision.caller)},
                    {"service_address", ToString(decision.service_address)},
                    {"token", decision.token},
                    {"event", decision.event},
                    {"code", ToNumber(decision.code)},
                    {"code_name", GetRow(decision.code).name},
                    {"chosen", ToNumber(decision.chosen)},
                    {"reason", decision.reason}});
  }
  return list;
}

}  // namespace cactuscross
