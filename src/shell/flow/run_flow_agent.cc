#include "src/shell/flow/run_flow_agent.h"

#include <utility>

#include "cactuscross/flow_agent.h"
#include "src/shell/flow/flow_process.h"
#include "src/shell/flow/server_probe.h"
#include "src/shell/log.h"

namespace cactuscross {
namespace {

class AgentLoop {
 public:
  AgentLoop(const FlowAgentSettings& settings,
            const FlowAdapter& adapter,
            const std::string& settings_path)
      : agent(settings),
        process(settings.node,
                adapter,
                settings_path,
                [this] { return this->agent.Metrics(); }),
        outbound(OpenSocket(settings.outbound)),
        probe(settings.server) {
    this->process.SetReady(true);
  }

  // Returns whether the process continues.
  bool RunOnce() {
    this->process.RunOnce(*this);
    return !this->may_exit;
  }

  void AppendPollEntries(std::vector<pollfd>& entries) const {
    entries.push_back({this->outbound.Get(), POLLIN, 0});
    this->probe.AppendPollEntries(entries);
  }

  // Handles one packet socket per tick, because received packets point into a
  // buffer that both sockets share. Returns whether more packets may be
  // pending.
  bool TickOnce() {
    FlowAgentInbox inbox;
    inbox.notices = this->process.ReceiveNotices();
    inbox.from_server =
        this->process.ReceivePackets(this->outbound, /*from_server=*/true);
    bool more = inbox.from_server.size() == kReceiveBatch;
    if (!inbox.notices.empty() || !inbox.from_server.empty()) {
      this->Tick(inbox);
    }

    inbox = FlowAgentInbox();
    inbox.probe = this->probe.Continue(MonotonicNow());
    inbox.stop_requested = this->process.StopRequested();
    inbox.from_balancers = this->process.ReceivePackets(this->process.Data(),
                                                        /*from_server=*/false);
    more = more || inbox.from_balancers.size() == kReceiveBatch;
    this->Tick(inbox);
    return more;
  }

  void OnSettingsChanged() {
    // An agent has no settings that can change at runtime.
    Log(LogSeverity::kInfo, "process", "settings_unchanged");
  }

 private:
  void Tick(const FlowAgentInbox& inbox) {
    const TimePoint now = MonotonicNow();
    FlowAgentOutbox outbox = this->agent.Tick(now, inbox);
    this->process.SendPackets(this->outbound, std::move(outbox.to_server));
    this->process.SendPackets(this->process.Data(),
                              std::move(outbox.to_clients));
    this->process.SendPackets(this->process.Data(),
                              std::move(outbox.to_agents));
    this->process.SendResets(this->process.Data(), outbox.resets);
    this->process.SendNotices(outbox.notices);
    if (outbox.probe) {
      this->probe.Begin(now);
    }
    this->process.WriteLog(now, outbox.events);
    this->may_exit = this->may_exit || outbox.may_exit;
  }

  FlowAgent agent;
  FlowProcess process;
  UdpSocket outbound;
  ServerProbe probe;
  bool may_exit = false;
};

}  // namespace

int RunFlowAgent(const FlowAgentSettings& settings,
                 const FlowAdapter& adapter,
                 const std::string& settings_path) {
  return RunLoop<AgentLoop>(settings, adapter, settings_path,
                            {{"role", "flow-agent"},
                             {"data", ToString(settings.node.data)},
                             {"service", settings.service},
                             {"server", ToString(settings.server)}});
}

}  // namespace cactuscross
