// Platform stand-in: the configuration service (read and watch) and a host list
// whose changes become visible with a delay. Operators write by PUT and DELETE;
// balancers and agents only read.

#include <iostream>
#include <vector>

#include "tests/standin/standin_support.h"

namespace cactuscross::standin {
namespace {

namespace po = boost::program_options;
using std::chrono::milliseconds;

constexpr std::string_view kContractsPath = "/v1/contracts";
constexpr int kHttpThreads = 2;

// One write by an operator. Its revision is its position in the history,
// counted from 1.
struct ContractWrite {
  std::string customer;
  std::string text;
  bool deleted = false;
};

struct HostsWrite {
  Clock::time_point visible_from;
  std::string text;
};

// A read of contracts that waits for a revision after `since`.
struct PendingWatch {
  std::uint64_t id = 0;
  std::uint64_t since = 0;
  HttpReply reply;
};

class Platform {
 public:
  explicit Platform(milliseconds hosts_lag) : hosts_lag(hosts_lag) {}

  void Handle(const HttpCall& call, const HttpReply& reply) {
    const std::lock_guard lock(this->mutex);
    if (call.path.rfind("/control", 0) == 0) {
      this->HandleControl(call, reply);
    } else if (call.method != "GET") {
      this->HandleWrite(call, reply);
    } else {
      this->HandleRead(call, reply);
    }
  }

 private:
  void HandleControl(const HttpCall& call, const HttpReply& reply) {
    if (call.path == "/control/mode") {
      this->down = call.Query("down", "0") == "1";
      this->delay = milliseconds(std::stoi(call.Query("slow_ms", "0")));
      const std::string stale = call.Query("stale_at");
      this->stale_revision =
          stale.empty() ? std::optional<std::uint64_t>() : std::stoull(stale);
    }
    reply.SendJson({{"revision", this->history.size()},
                    {"contract_calls", this->contract_calls},
                    {"host_calls", this->host_calls},
                    {"failed_calls", this->failed_calls},
                    {"waiting", this->watches.size()}});
  }

  void HandleWrite(const HttpCall& call, const HttpReply& reply) {
    if (call.path == "/v1/hosts") {
      this->hosts.push_back({Clock::now() + this->hosts_lag, call.body});
    } else {
      const std::string customer =
          call.path.substr(call.path.find_last_of('/') + 1);
      this->history.push_back({customer, call.body, call.method == "DELETE"});
      this->AnswerWatches();
    }
    reply.SendJson({{"revision", this->history.size()}});
  }

  void HandleRead(const HttpCall& call, const HttpReply& reply) {
    const bool contracts = call.path == kContractsPath;
    ++(contracts ? this->contract_calls : this->host_calls);
    if (this->down) {
      ++this->failed_calls;
      reply.Send(503, "down");
    } else if (!contracts) {
      this->AnswerAfterDelay(reply, this->VisibleHosts());
    } else {
      this->ReadContracts(std::stoull(call.Query("since", "0")),
                          milliseconds(std::stoi(call.Query("wait_ms", "0"))),
                          reply);
    }
  }

  void ReadContracts(std::uint64_t since,
                     milliseconds wait,
                     const HttpReply& reply) {
    if (this->VisibleRevision() > since || wait.count() == 0) {
      this->AnswerAfterDelay(reply, this->ValuesSince(since));
      return;
    }
    const std::uint64_t id = ++this->last_watch_id;
    this->watches.push_back({id, since, reply});
    this->tasks.RunAfter(wait, [this, id] { this->ExpireWatch(id); });
  }

  void ExpireWatch(std::uint64_t id) {
    const std::lock_guard lock(this->mutex);
    for (auto watch = this->watches.begin(); watch != this->watches.end();
         ++watch) {
      if (watch->id == id) {
        watch->reply.Send(200, this->ValuesSince(watch->since));
        this->watches.erase(watch);
        return;
      }
    }
  }

  void AnswerWatches() {
    if (this->down || this->stale_revision) {
      return;
    }
    for (const PendingWatch& watch : this->watches) {
      watch.reply.Send(200, this->ValuesSince(watch.since));
    }
    this->watches.clear();
  }

  void AnswerAfterDelay(const HttpReply& reply, const std::string& body) {
    if (this->delay.count() == 0) {
      reply.Send(200, body);
      return;
    }
    this->tasks.RunAfter(this->delay, [reply, body] { reply.Send(200, body); });
  }

  // A stale service returns the state as of an earlier revision.
  std::uint64_t VisibleRevision() const {
    return this->stale_revision.value_or(this->history.size());
  }

  std::string ValuesSince(std::uint64_t since) const {
    std::map<std::string, Json> latest_values;
    for (std::uint64_t revision = 1; revision <= this->VisibleRevision();
         ++revision) {
      const ContractWrite& write = this->history[revision - 1];
      latest_values[write.customer] = {{"customer", write.customer},
                                       {"version", revision},
                                       {"deleted", write.deleted},
                                       {"text", write.text}};
    }
    Json values = Json::array();
    for (const auto& [customer, value] : latest_values) {
      if (value["version"] > since) {
        values.push_back(value);
      }
    }
    return Json({{"revision", this->VisibleRevision()}, {"values", values}})
        .dump();
  }

  std::string VisibleHosts() const {
    std::string text = R"({"hosts":[]})";
    for (const HostsWrite& write : this->hosts) {
      if (write.visible_from <= Clock::now()) {
        text = write.text;
      }
    }
    return text;
  }

  std::mutex mutex;
  milliseconds hosts_lag;
  milliseconds delay{0};
  bool down = false;
  // Revision returned in place of the latest.
  std::optional<std::uint64_t> stale_revision;
  std::vector<ContractWrite> history;
  std::vector<HostsWrite> hosts;
  std::vector<PendingWatch> watches;
  std::uint64_t last_watch_id = 0;
  std::uint64_t contract_calls = 0;
  std::uint64_t host_calls = 0;
  std::uint64_t failed_calls = 0;
  DelayedTasks tasks;
};

}  // namespace

int RunPlatform(int argc, char** argv) {
  std::string listen;
  int hosts_lag_ms = 2000;
  po::options_description description("cactuscross_standin platform");
  auto add = description.add_options();
  add("help", "prints this text");
  add("listen", po::value(&listen)->required(),
      "address of the HTTP server, IP:PORT");
  add("hosts-lag-ms", po::value(&hosts_lag_ms),
      "delay until a written host list becomes visible, milliseconds");
  if (!ParseOptions(argc, argv, description)) {
    return 2;
  }
  Platform platform{milliseconds(hosts_lag_ms)};
  const HttpServer server(
      ParseEndpoint(listen), kHttpThreads,
      [&platform](const HttpCall& call, const HttpReply& reply) {
        platform.Handle(call, reply);
      });
  std::cout << "platform ready" << std::endl;
  WaitForStopSignal();
  return 0;
}

}  // namespace cactuscross::standin
