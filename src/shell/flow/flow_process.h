#ifndef CACTUSCROSS_SRC_SHELL_FLOW_FLOW_PROCESS_H_
#define CACTUSCROSS_SRC_SHELL_FLOW_FLOW_PROCESS_H_

// I/O shared by both roles of the flow path, balancer and agent: sockets for
// packets and notices, HTTP endpoints for readiness and metrics, signals, logs
// and the event loop's wait between two ticks.

#include <poll.h>

#include <exception>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "cactuscross/flow_balancer.h"
#include "cactuscross/flow_settings.h"
#include "src/shell/flow/flow_adapter.h"
#include "src/shell/flow/flow_log.h"
#include "src/shell/flow/http_listener.h"
#include "src/shell/flow/poll_set.h"
#include "src/shell/flow/settings_watch.h"
#include "src/shell/log.h"
#include "src/shell/system.h"
#include "src/shell/udp_socket.h"

namespace cactuscross {

// Maximum number of packet batches between two polls. Further packets wait
// until the other channels and HTTP requests have been served.
inline constexpr int kMaxBatchesPerPoll = 8;

// Opens a UDP socket. Throws std::system_error if it cannot be bound.
UdpSocket OpenSocket(const Endpoint& local);

class FlowProcess {
 public:
  using MetricsSource = std::function<std::vector<MetricSample>()>;

  // Opens all channels. Throws std::exception if one cannot be opened.
  FlowProcess(const FlowNodeSettings& settings,
              const FlowAdapter& adapter,
              const std::string& settings_path,
              MetricsSource metrics);

  // One iteration of the event loop: waits for a channel to become ready, ticks
  // `loop` while packets arrive, serves HTTP requests, and notifies `loop` if
  // the settings file has changed.
  template <typename Loop>
  void RunOnce(Loop& loop) {
    std::vector<pollfd> entries;
    loop.AppendPollEntries(entries);
    this->Wait(std::move(entries));
    for (int batch = 0; batch < kMaxBatchesPerPoll && loop.TickOnce();
         ++batch) {
    }
    this->Serve(MonotonicNow());
    if (this->SettingsChanged(MonotonicNow())) {
      loop.OnSettingsChanged();
    }
  }

  // True if the last wait found the descriptor ready.
  bool IsReady(int descriptor) const {
    return this->poll_set.IsReady(descriptor);
  }

  // Receives one batch of packets if the socket is ready. They are valid until
  // the next Receive() of any socket.
  std::vector<FlowPacket> ReceivePackets(const UdpSocket& socket,
                                         bool from_server);
  std::vector<FlowNotice> ReceiveNotices();

  void SendPackets(const UdpSocket& socket, std::vector<FlowForward> forwards);
  void SendResets(const UdpSocket& socket,
                  const std::vector<FlowReset>& resets);
  void Send(const UdpSocket& socket,
            const std::vector<OutgoingDatagram>& datagrams);
  void CountUndecodable() { ++this->undecodable; }
  void SendNotices(const std::vector<OutgoingNotice>& notices);

  bool StopRequested();
  // Content of the settings file at the last detected change.
  const std::string& SettingsText() const {
    return this->settings_watch.Text();
  }
  const std::string& SettingsPath() const {
    return this->settings_watch.Path();
  }
  void SetReady(bool ready) { this->ready = ready; }
  void WriteLog(TimePoint now, const std::vector<FlowEvent>& events) {
    this->log.Write(now, events);
  }
  const UdpSocket& Data() const { return this->data; }

 private:
  // Blocks until one of the process's own channels or `entries` is ready, at
  // most until the next tick is due.
  void Wait(std::vector<pollfd> entries);

  // Serves HTTP requests.
  void Serve(TimePoint now);

  // True if the content of the settings file has changed since the last check.
  bool SettingsChanged(TimePoint now);
  HttpReply HandleRequest(std::string_view path) const;

  const FlowNodeSettings settings;
  const FlowAdapter& adapter;
  const MetricsSource metrics;
  SettingsWatch settings_watch;
  StopSignal stop_signal;
  bool stop_requested = false;
  PollSet poll_set;
  FlowLog log;
  UdpSocket data;
  UdpSocket peer;
  std::vector<HttpListener> listeners;
  bool ready = false;
  std::uint64_t undecodable = 0;
  std::uint64_t unsent = 0;
};

// Constructs a `Loop` and calls its RunOnce() until that returns false. Logs
// the start with `fields`, and the end. Returns the exit code.
template <typename Loop, typename Settings>
int RunLoop(const Settings& settings,
            const FlowAdapter& adapter,
            const std::string& settings_path,
            const nlohmann::json& fields) {
  try {
    Loop loop(settings, adapter, settings_path);
    Log(LogSeverity::kInfo, "process", "started", fields);
    while (loop.RunOnce()) {
    }
    Log(LogSeverity::kInfo, "process", "stopped");
    return 0;
  } catch (const std::exception& error) {
    Log(LogSeverity::kError, "process", "failed", {{"error", error.what()}});
    return 1;
  }
}

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_SHELL_FLOW_FLOW_PROCESS_H_
