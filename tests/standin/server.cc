// Stand-in for a backend server of one service: a limited number of slots,
// seeded service times, health that can be outdated or false, and a count of
// executions per claim. A claim is a POST whose body contains an id; it must be
// executed at most once.

#include <unistd.h>

#include <algorithm>
#include <deque>
#include <fstream>
#include <iostream>
#include <random>
#include <set>
#include <vector>

#include "tests/standin/standin_support.h"

namespace cactuscross::standin {
namespace {

namespace po = boost::program_options;
using std::chrono::milliseconds;

constexpr int kHttpThreads = 4;
constexpr std::size_t kMaxQueuedPerSlot = 4;
constexpr int kCrashExitCode = 9;

struct ServerOptions {
  std::string name;
  std::string service;
  std::string listen;
  // File with one line per executed claim; outlives the process.
  std::string log;
  std::vector<std::string> roots;
  std::size_t slots = 7;
  int service_ms = 10;
  int period_ms = 1000;
  int health_lag_ms = 0;
  std::string state = "serving";
  std::uint64_t seed = 1;
};

struct AcceptedCall {
  HttpCall call;
  HttpReply reply;
};

struct HealthSample {
  Clock::time_point time;
  std::string state;
  std::size_t in_flight = 0;
};

class Server {
 public:
  explicit Server(const ServerOptions& options)
      : options(options),
        state(options.state),
        random(options.seed),
        log(options.log, std::ios::app) {
    this->RecordHealth();
  }

  void Handle(const HttpCall& call, const HttpReply& reply) {
    const std::lock_guard lock(this->mutex);
    if (call.path == "/health") {
      reply.SendJson(this->Health());
    } else if (call.path == "/executions") {
      reply.SendJson(this->Executions());
    } else if (call.path == "/control") {
      this->HandleControl(call, reply);
    } else if (call.path == "/cancel") {
      this->Cancel(call.Query("call"), reply);
    } else {
      this->HandleCall(call, reply);
    }
  }

 private:
  void HandleControl(const HttpCall& call, const HttpReply& reply) {
    const std::string state = call.Query("state");
    if (!state.empty()) {
      this->state = state;
      this->draining_since = Clock::now();
      this->RecordHealth();
    }
    this->refuse = call.Query("refuse", this->refuse ? "1" : "0") == "1";
    this->hang = call.Query("hang", this->hang ? "1" : "0") == "1";
    this->misreport_health =
        call.Query("mislead", this->misreport_health ? "1" : "0") == "1";
    this->crash_on_next_call =
        call.Query("die", this->crash_on_next_call ? "1" : "0") == "1";
    reply.SendJson(this->Executions());
  }

  void Cancel(const std::string& call_id, const HttpReply& reply) {
    ++this->cancelled;
    const auto queued_call =
        std::find_if(this->queue.begin(), this->queue.end(),
                     [&](const AcceptedCall& accepted) {
                       return accepted.call.call_id == call_id;
                     });
    if (queued_call != this->queue.end()) {
      queued_call->reply.SendNotRun("cancelled");
      this->queue.erase(queued_call);
    }
    reply.SendJson({{"ok", true}});
  }

  void HandleCall(const HttpCall& call, const HttpReply& reply) {
    this->RecordCallWhileDraining();
    if (!this->BelongsToService(call)) {
      ++this->misrouted_calls;
      reply.Send(404, "not a path of " + this->options.service);
      return;
    }
    const bool queue_full =
        this->queue.size() >= kMaxQueuedPerSlot * this->options.slots;
    if (this->refuse || this->state == "starting" || queue_full) {
      ++this->refused;
      reply.SendNotRun("refused");
      return;
    }
    this->queue.push_back({call, reply});
    this->StartQueuedCalls();
  }

  // The body of a call may name the service that it is intended for, and each
  // service has its own paths.
  bool BelongsToService(const HttpCall& call) const {
    const std::string intended_service = BodyField(call.body, "service");
    if (!intended_service.empty() &&
        intended_service != this->options.service) {
      return false;
    }
    return std::any_of(this->options.roots.begin(), this->options.roots.end(),
                       [&](const std::string& root) {
                         return call.path.rfind("/" + root, 0) == 0;
                       });
  }

  void RecordCallWhileDraining() {
    if (this->state == "draining") {
      this->last_call_after_drain = std::chrono::duration_cast<milliseconds>(
          Clock::now() - this->draining_since);
    }
  }

  void StartQueuedCalls() {
    while (this->running < this->options.slots && !this->queue.empty()) {
      const AcceptedCall accepted = this->queue.front();
      this->queue.pop_front();
      ++this->running;
      this->RecordHealth();
      this->Execute(accepted);
    }
  }

  void Execute(const AcceptedCall& accepted) {
    this->CountExecution(accepted.call);
    if (this->crash_on_next_call) {
      _exit(kCrashExitCode);
    }
    if (this->hang) {
      return;  // occupies the slot and never answers
    }
    const int mean_ms = this->options.service_ms;
    const milliseconds service_time(
        mean_ms / 2 + static_cast<int>(this->random() % (mean_ms + 1)));
    this->tasks.RunAfter(service_time,
                         [this, accepted] { this->Finish(accepted); });
  }

  void CountExecution(const HttpCall& call) {
    ++this->executions_by_path[call.method + " " + call.path];
    const std::string claim = BodyField(call.body, "claim");
    if (call.method == "POST" && !claim.empty()) {
      ++this->executions_by_claim[claim];
      this->log << claim << std::endl;
    }
  }

  void Finish(const AcceptedCall& accepted) {
    const std::lock_guard lock(this->mutex);
    --this->running;
    this->RecordHealth();
    this->Answer(accepted);
    this->StartQueuedCalls();
  }

  void Answer(const AcceptedCall& accepted) {
    const HttpCall& call = accepted.call;
    if (call.method == "POST") {
      accepted.reply.Send(
          201, "service=" + this->options.service +
                   "\nserver=" + this->options.name +
                   "\nclaim=" + BodyField(call.body, "claim") +
                   "\nbytes=" + std::to_string(call.body.size()) + "\n");
    } else if (call.method == "PUT") {
      this->jobs_text = call.body;
      accepted.reply.Send(200, "");
    } else if (call.path.rfind("/diagrams/", 0) == 0) {
      const std::string number = call.path.substr(call.path.rfind('/') + 1);
      accepted.reply.Send(
          200, DiagramBody(this->options.service,
                           static_cast<std::uint32_t>(std::stoul(number))));
    } else {
      accepted.reply.Send(200, this->JobsBody(call.path));
    }
  }

  // Returns live state. All servers on one host change it at the same moment,
  // because it is derived from the system clock.
  std::string JobsBody(const std::string& path) const {
    const auto now = std::chrono::duration_cast<milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    return "service=" + this->options.service + "\npath=" + path +
           "\nposition=" +
           std::to_string(now.count() / this->options.period_ms) + "\n" +
           this->jobs_text;
  }

  void RecordHealth() {
    this->health_samples.push_back({Clock::now(), this->state, this->running});
    const auto oldest =
        Clock::now() - milliseconds(2 * this->options.health_lag_ms + 1000);
    while (this->health_samples.size() > 1 &&
           this->health_samples[1].time < oldest) {
      this->health_samples.pop_front();
    }
  }

  Json Health() const {
    const auto sample_time =
        Clock::now() - milliseconds(this->options.health_lag_ms);
    HealthSample sample = this->health_samples.front();
    for (const HealthSample& candidate : this->health_samples) {
      if (candidate.time <= sample_time) {
        sample = candidate;
      }
    }
    if (this->misreport_health) {
      sample.state = "serving";
      sample.in_flight = 0;
    }
    return {{"service", this->options.service},
            {"state", sample.state},
            {"in_flight", sample.in_flight}};
  }

  Json Executions() const {
    return {{"name", this->options.name},
            {"service", this->options.service},
            {"state", this->state},
            {"claims", this->executions_by_claim},
            {"paths", this->executions_by_path},
            {"running", this->running},
            {"refused", this->refused},
            {"cancelled", this->cancelled},
            {"foreign", this->misrouted_calls},
            {"last_work_after_drain_ms", this->last_call_after_drain.count()}};
  }

  std::mutex mutex;
  ServerOptions options;
  std::string state;
  std::mt19937_64 random;
  std::ofstream log;
  std::string jobs_text;  // body of the last PUT, part of the live state
  std::deque<AcceptedCall> queue;
  std::size_t running = 0;
  std::deque<HealthSample> health_samples;
  Clock::time_point draining_since;
  // Time from the start of the drain to the last call.
  milliseconds last_call_after_drain{0};
  bool refuse = false;
  bool hang = false;
  bool misreport_health = false;
  bool crash_on_next_call = false;
  std::map<std::string, std::uint64_t> executions_by_claim;
  std::map<std::string, std::uint64_t> executions_by_path;
  std::uint64_t refused = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t misrouted_calls = 0;
  DelayedTasks tasks;
};

}  // namespace

int RunServer(int argc, char** argv) {
  ServerOptions options;
  po::options_description description("cactuscross_standin server");
  auto add = description.add_options();
  add("help", "prints this text");
  add("name", po::value(&options.name)->required(),
      "name of the server, returned in answers");
  add("service", po::value(&options.service)->required(), "customer/service");
  add("listen", po::value(&options.listen)->required(),
      "address of the HTTP server, IP:PORT");
  add("log", po::value(&options.log)->required(),
      "file to which the id of each claim is appended when its execution "
      "begins");
  add("root", po::value(&options.roots)->required()->composing(),
      "first path segment of this service, may repeat");
  add("slots", po::value(&options.slots), "requests executed concurrently");
  add("service-ms", po::value(&options.service_ms),
      "mean service time of a request, milliseconds");
  add("period-ms", po::value(&options.period_ms),
      "time between changes of the live state, milliseconds");
  add("health-lag-ms", po::value(&options.health_lag_ms),
      "age of the state that /health returns, milliseconds");
  add("state", po::value(&options.state), "serving, starting or draining");
  add("seed", po::value(&options.seed), "seed of the service times");
  if (!ParseOptions(argc, argv, description)) {
    return 2;
  }
  Server backend(options);
  const HttpServer server(
      ParseEndpoint(options.listen), kHttpThreads,
      [&backend](const HttpCall& call, const HttpReply& reply) {
        backend.Handle(call, reply);
      });
  std::cout << "server ready" << std::endl;
  WaitForStopSignal();
  return 0;
}

}  // namespace cactuscross::standin
