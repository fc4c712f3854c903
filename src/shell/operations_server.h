#ifndef CACTUSCROSS_SRC_SHELL_OPERATIONS_SERVER_H_
#define CACTUSCROSS_SRC_SHELL_OPERATIONS_SERVER_H_

// HTTP server for operators, based on Pistache: GET /dump, /explain and
// /metrics. Only the thread that ticks the core may access it, so each request
// waits in a queue until that thread handles it.

#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <pistache/endpoint.h>
#include <nlohmann/json.hpp>

#include "cactuscross/observation.h"
#include "src/shell/system.h"

namespace cactuscross {

// Functions of the core that produce the responses; called by the thread that
// ticks the core.
struct OperationsSource {
  std::function<nlohmann::json()> dump;
  std::function<std::vector<MetricSample>()> metrics;
  std::function<std::vector<Decision>(const DecisionQuery&)> explain;
};

enum class OperationsRequestKind : std::uint8_t { kDump, kMetrics, kExplain };

// Queue of requests from the HTTP server's thread to the thread that ticks the
// core.
class OperationsQueue {
 public:
  explicit OperationsQueue(const WakeEvent& wake) : wake(wake) {}

  // Called by the HTTP server's thread. Returns the response body, or an empty
  // string if the queue is full or the request times out.
  std::string SubmitAndWait(OperationsRequestKind kind,
                            const DecisionQuery& query);

  // Called by the thread that ticks the core; handles all pending requests.
  void HandlePending(const OperationsSource& source);

 private:
  struct PendingRequest {
    OperationsRequestKind kind;
    DecisionQuery query;
    std::promise<std::string> result;
  };

  const WakeEvent& wake;
  std::mutex mutex;
  std::vector<PendingRequest> pending;  // guarded by mutex
};

class OperationsServer {
 public:
  // Throws std::exception if `listen` cannot be bound.
  OperationsServer(const Endpoint& listen, const WakeEvent& wake);
  ~OperationsServer();
  OperationsServer(const OperationsServer&) = delete;
  OperationsServer& operator=(const OperationsServer&) = delete;

  void HandlePending(const OperationsSource& source) {
    this->queue->HandlePending(source);
  }

 private:
  std::shared_ptr<OperationsQueue> queue;
  std::unique_ptr<Pistache::Http::Endpoint> endpoint;
};

// Formats samples in the Prometheus text format, with the prefix
// "cactuscross_" before each name.
std::string FormatMetrics(std::vector<MetricSample> samples);

nlohmann::json FormatDecisions(const std::vector<Decision>& decisions);

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_SHELL_OPERATIONS_SERVER_H_
