#include "src/shell/flow/run_flow_balancer.h"

#include <optional>
#include <utility>

#include "src/config/settings_parser.h"
#include "src/shell/flow/flow_process.h"
#include "src/shell/log.h"
#include "src/wire/flow_codec.h"

namespace cactuscross {
namespace {

class BalancerLoop {
 public:
  BalancerLoop(const FlowBalancerSettings& settings,
               const FlowAdapter& adapter,
               const std::string& settings_path)
      : balancer(settings, MakeCoreDependencies().seed),
        process(settings.node,
                adapter,
                settings_path,
                [this] { return this->balancer.Metrics(); }),
        control(settings.control.port == 0
                    ? std::nullopt
                    : std::optional<UdpSocket>(OpenSocket(settings.control))),
        store(adapter.open_store(settings)) {}

  // Returns whether the process continues.
  bool RunOnce() {
    this->process.RunOnce(*this);
    return !this->may_exit;
  }

  void AppendPollEntries(std::vector<pollfd>& entries) const {
    this->store->AppendPollEntries(entries);
    if (this->control) {
      entries.push_back({this->control->Get(), POLLIN, 0});
    }
  }

  // Applies the new seeds. Other changed settings take effect at the next
  // start.
  void OnSettingsChanged() {
    const auto settings = ParseFlowBalancerSettings(
        this->process.SettingsText(), this->process.SettingsPath());
    if (!settings) {
      Log(LogSeverity::kError, "process", "settings_rejected",
          {{"error", ToString(settings.error().front())}});
      return;
    }
    this->balancer.SetSeeds(settings->seeds);
    Log(LogSeverity::kInfo, "process", "settings_reloaded",
        {{"seeds", settings->seeds.size()}});
  }

  // Returns whether more packets may be pending.
  bool TickOnce() {
    const TimePoint now = MonotonicNow();
    FlowBalancerInbox inbox;
    inbox.notices = this->process.ReceiveNotices();
    inbox.store_answers = this->store->Continue(now);
    inbox.gossip = this->ReceiveGossip();
    inbox.stop_requested = this->process.StopRequested();
    // Received last, because the packets point into the buffers that the next
    // Receive() overwrites.
    inbox.packets = this->process.ReceivePackets(this->process.Data(), false);
    const bool more = inbox.packets.size() == kReceiveBatch ||
                      inbox.notices.size() == kReceiveBatch;
    FlowBalancerOutbox outbox = this->balancer.Tick(now, inbox);
    this->process.SendPackets(this->process.Data(), std::move(outbox.forwards));
    this->process.SendResets(this->process.Data(), outbox.resets);
    this->process.SendNotices(outbox.notices);
    this->SendGossip(outbox.gossip);
    for (const StoreCall& call : outbox.store_calls) {
      this->store->Begin(now, call);
    }
    this->process.SetReady(outbox.ready);
    this->process.WriteLog(now, outbox.events);
    this->may_exit = outbox.may_exit;
    return more;
  }

 private:
  std::vector<GossipMessage> ReceiveGossip() {
    std::vector<GossipMessage> messages;
    if (!this->control || !this->process.IsReady(this->control->Get())) {
      return messages;
    }
    for (const ReceivedDatagram& datagram : this->control->Receive()) {
      auto message = DecodeFlowGossip(datagram.bytes, datagram.source);
      if (message) {
        messages.push_back(std::move(*message));
      } else {
        this->process.CountUndecodable();
      }
    }
    return messages;
  }

  void SendGossip(const std::vector<OutgoingGossip>& gossip) {
    std::vector<OutgoingDatagram> datagrams;
    datagrams.reserve(gossip.size());
    for (const OutgoingGossip& outgoing : gossip) {
      datagrams.push_back(
          {outgoing.destination, EncodeFlowGossip(outgoing.message)});
    }
    if (this->control) {
      this->process.Send(*this->control, datagrams);
    }
  }

  FlowBalancer balancer;
  FlowProcess process;
  std::optional<UdpSocket> control;
  std::unique_ptr<FlowStore> store;
  bool may_exit = false;
};

}  // namespace

int RunFlowBalancer(const FlowBalancerSettings& settings,
                    const FlowAdapter& adapter,
                    const std::string& settings_path) {
  return RunLoop<BalancerLoop>(settings, adapter, settings_path,
                               {{"role", "flow-balancer"},
                                {"data", ToString(settings.node.data)},
                                {"store", ToString(settings.store)}});
}

}  // namespace cactuscross
