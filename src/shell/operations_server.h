#ifndef CACTUSCROSS_SRC_SHELL_OPERATIONS_SERVER_H_
#define CACTUSCROSS_SRC_SHELL_OPERATIONS_SERVER_H_

// HTTP for operators, by Pistache: GET /dump, /explain and /metrics. The core
// belongs to the thread that ticks it, so each question waits until that
// thread answers it.

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

// How the ticking thread answers.
struct OperationsSource {
  std::function<nlohmann::json()> dump;
  std::function<std::vector<MetricSample>()> metrics;
  std::function<std::vector<Decision>(const DecisionQuery&)> explain;
};

enum class OperationsRequestKind : std::uint8_t { kDump, kMetrics, kExplain };

// Questions on their way to the ticking thread.
class OperationsQueue {
 public:
  explicit OperationsQueue(const WakeEvent& wake) : wake(wake) {}

  // Called by the server's thread. Empty if no answer came in time.
  std::string SubmitAndWait(OperationsRequestKind kind,
                            const DecisionQuery& query);

  // Called by the ticking thread: answers everything asked so far.
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
  // Throws std::exception where `listen` cannot be bound.
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

// Formats samples as Prometheus text; names get the prefix "cactuscross_".
std::string FormatMetrics(std::vector<MetricSample> samples);

nlohmann::json FormatDecisions(const std::vector<Decision>& decisions);

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_SHELL_OPERATIONS_SERVER_H_
