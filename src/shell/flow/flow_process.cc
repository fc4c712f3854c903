#include "src/shell/flow/flow_process.h"

#include <cerrno>
#include <system_error>
#include <utility>

#include "src/shell/flow/notice_packet.h"
#include "src/shell/log.h"
#include "src/shell/operations_server.h"
#include "src/wire/flow_codec.h"

namespace cactuscross {
namespace {

// Poll timeout. Bounds how late the core handles an expired timer.
constexpr int kTickMs = 20;

constexpr std::string_view kMetricsPath = "/metrics";

}  // namespace

UdpSocket OpenSocket(const Endpoint& local) {
  auto socket = UdpSocket::Open(local);
  if (!socket) {
    throw std::system_error(socket.error(), std::generic_category(),
                            "bind UDP " + ToString(local));
  }
  return std::move(*socket);
}

FlowProcess::FlowProcess(const FlowNodeSettings& settings,
                         const FlowAdapter& adapter,
                         const std::string& settings_path,
                         MetricsSource metrics)
    : settings(settings),
      adapter(adapter),
      metrics(std::move(metrics)),
      settings_watch(settings_path),
      stop_signal(SighupAction::kReload),
      log(settings.name),
      data(OpenSocket(settings.data)),
      peer(OpenSocket(settings.peer)) {
  const HttpHandler handler = [this](std::string_view path) {
    return this->HandleRequest(path);
  };
  this->listeners.emplace_back(settings.readiness, handler);
  if (settings.metrics_port != 0) {
    const Endpoint address{settings.data.address,
                           static_cast<std::uint16_t>(settings.metrics_port)};
    this->listeners.emplace_back(address, handler);
  }
}

void FlowProcess::Wait(std::vector<pollfd> entries) {
  entries.push_back({this->data.Get(), POLLIN, 0});
  entries.push_back({this->peer.Get(), POLLIN, 0});
  entries.push_back({this->stop_signal.Get(), POLLIN, 0});
  for (const HttpListener& listener : this->listeners) {
    listener.AppendPollEntries(entries);
  }
  this->poll_set.Wait(std::move(entries), kTickMs);
}

bool FlowProcess::StopRequested() {
  if (this->IsReady(this->stop_signal.Get())) {
    this->stop_requested = this->stop_signal.Check();
  }
  return this->stop_requested;
}

bool FlowProcess::SettingsChanged(TimePoint now) {
  return this->settings_watch.HasChanged(now,
                                         this->stop_signal.TakeReloadRequest());
}

void FlowProcess::Serve(TimePoint now) {
  for (HttpListener& listener : this->listeners) {
    listener.Continue(now, this->poll_set);
  }
}

std::vector<FlowPacket> FlowProcess::ReceivePackets(const UdpSocket& socket,
                                                    bool from_server) {
  std::vector<FlowPacket> packets;
  if (!this->IsReady(socket.Get())) {
    return packets;
  }
  for (const ReceivedDatagram& datagram : socket.Receive()) {
    auto packet = this->adapter.codec->Decode(datagram.bytes, from_server);
    if (!packet || datagram.truncated) {
      ++this->undecodable;
      continue;
    }
    packet->sender = datagram.source.address;
    packets.push_back(*packet);
  }
  return packets;
}

std::vector<FlowNotice> FlowProcess::ReceiveNotices() {
  std::vector<FlowNotice> notices;
  if (!this->IsReady(this->peer.Get())) {
    return notices;
  }
  for (const ReceivedDatagram& datagram : this->peer.Receive()) {
    auto notice = DecodeFlowNotice(datagram.bytes, datagram.source.address);
    if (notice && HasValidPacket(*this->adapter.codec, *notice)) {
      notices.push_back(std::move(*notice));
    } else {
      ++this->undecodable;
    }
  }
  return notices;
}

void FlowProcess::SendPackets(const UdpSocket& socket,
                              std::vector<FlowForward> forwards) {
  std::vector<OutgoingDatagram> datagrams;
  datagrams.reserve(forwards.size());
  for (FlowForward& forward : forwards) {
    this->adapter.codec->SetMark(forward.bytes, forward.mark);
    datagrams.push_back({forward.destination, std::move(forward.bytes)});
  }
  this->Send(socket, datagrams);
}

void FlowProcess::SendResets(const UdpSocket& socket,
                             const std::vector<FlowReset>& resets) {
  std::vector<OutgoingDatagram> datagrams;
  datagrams.reserve(resets.size());
  for (const FlowReset& reset : resets) {
    datagrams.push_back(
        {Endpoint{reset.flow.client.address, this->settings.data.port},
         this->adapter.codec->EncodeReset(reset)});
  }
  this->Send(socket, datagrams);
}

void FlowProcess::SendNotices(const std::vector<OutgoingNotice>& notices) {
  std::vector<OutgoingDatagram> datagrams;
  datagrams.reserve(notices.size());
  for (const OutgoingNotice& outgoing : notices) {
    datagrams.push_back({Endpoint{outgoing.host, this->settings.peer.port},
                         EncodeFlowNotice(outgoing.notice)});
  }
  this->Send(this->peer, datagrams);
}

void FlowProcess::Send(const UdpSocket& socket,
                       const std::vector<OutgoingDatagram>& datagrams) {
  if (!datagrams.empty()) {
    this->unsent += datagrams.size() - socket.Send(datagrams);
  }
}

HttpReply FlowProcess::HandleRequest(std::string_view path) const {
  if (path == this->adapter.readiness_path) {
    return {this->ready ? 200 : 503, this->ready ? "ready\n" : "not ready\n"};
  }
  if (path != kMetricsPath) {
    return {404, "unknown path\n"};
  }
  std::vector<MetricSample> samples = this->metrics();
  const auto counter = [&samples](std::string name, std::uint64_t value) {
    samples.push_back({std::move(name), MetricKind::kCounter, "",
                       static_cast<double>(value)});
  };
  counter("flow_datagrams_undecodable", this->undecodable);
  counter("flow_datagrams_unsent", this->unsent);
  counter("flow_log_lines_left_out", this->log.SuppressedLines());
  return {200, FormatMetrics(std::move(samples))};
}

}  // namespace cactuscross
