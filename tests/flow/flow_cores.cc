#include "tests/flow/flow_cores.h"

#include <algorithm>

#include "platform/entry_decoder.h"

namespace cactuscross::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};
constexpr std::uint64_t kSeed = 7;

FlowAgentSettings AgentSettings() {
  FlowAgentSettings settings;
  settings.node.first_start = true;
  settings.node.data = {9, 1};
  settings.service = "desk";
  settings.server = {9, 2};
  return settings;
}

FlowBalancerSettings BalancerSettings(Duration max_stop_time) {
  FlowBalancerSettings settings;
  settings.node.zone = "z";
  settings.node.data = {kBalancer, 1};
  settings.node.max_stop_time = max_stop_time;
  return settings;
}

std::string EncodeBase64(const std::string& text) {
  constexpr std::string_view kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string encoded;
  std::uint32_t bits = 0;
  unsigned count = 0;
  for (const char byte : text) {
    bits = (bits << 8U) | static_cast<std::uint8_t>(byte);
    for (count += 8; count >= 6; count -= 6) {
      encoded += kDigits[(bits >> (count - 6)) & 63U];
    }
  }
  if (count > 0) {
    encoded += kDigits[(bits << (6 - count)) & 63U];
  }
  encoded.append((4 - encoded.size() % 4) % 4, '=');
  return encoded;
}

}  // namespace

FlowPacket MakePacket(std::uint32_t sequence, std::uint32_t acknowledgement) {
  static const Bytes bytes(100, 'x');
  FlowPacket packet;
  packet.flow = kFlow;
  packet.sequence = sequence;
  packet.acknowledgement = acknowledgement;
  packet.mark.purpose = MarkPurpose::kCached;
  packet.mark.service_tag = kDeskTag;
  packet.mark.balancer = kBalancer;
  packet.sender = kBalancer;
  packet.bytes = bytes;
  return packet;
}

FlowPacket MakeOpening(std::uint32_t sequence) {
  FlowPacket packet = MakePacket(sequence, 0);
  packet.opening = true;
  return packet;
}

std::size_t CountNotices(const FlowAgentOutbox& outbox, NoticeKind kind) {
  return static_cast<std::size_t>(
      std::count_if(outbox.notices.begin(), outbox.notices.end(),
                    [kind](const OutgoingNotice& outgoing) {
                      return outgoing.notice.kind == kind;
                    }));
}

AgentOfServer::AgentOfServer() : now(kStart), agent(AgentSettings()) {}

FlowAgentOutbox AgentOfServer::Tick(const FlowAgentInbox& inbox) {
  return this->agent.Tick(this->now, inbox);
}

FlowAgentOutbox AgentOfServer::FromClient(const FlowPacket& packet) {
  FlowAgentInbox inbox;
  inbox.from_balancers = {packet};
  return this->Tick(inbox);
}

FlowAgentOutbox AgentOfServer::FromServer(FlowPacket packet) {
  packet.from_server = !packet.returned;
  FlowAgentInbox inbox;
  inbox.from_server = {packet};
  return this->Tick(inbox);
}

FlowAgentOutbox AgentOfServer::Open(std::uint32_t client,
                                    std::uint32_t server) {
  this->FromClient(MakeOpening(client));
  FlowAgentOutbox accepted = this->FromServer(MakeOpening(server));
  this->FromClient(MakePacket(client + 1, server + 1));
  return accepted;
}

FlowAgentOutbox AgentOfServer::OpenTwice() {
  this->Open(kFirstClient, kFirstServer);
  FlowPacket closing = MakePacket(kFirstClient + 1, kFirstServer + 1);
  closing.closing = true;
  this->FromClient(closing);
  return this->Open(kNextClient, kNextServer);
}

std::size_t AgentOfServer::OpenFlows() {
  FlowAgentInbox inbox;
  inbox.probe = ProbeResult::kRefused;
  return this->Tick(inbox).resets.size();
}

double AgentOfServer::Metric(const std::string& name) const {
  const std::vector<MetricSample> samples = this->agent.Metrics();
  const auto found = std::find_if(
      samples.begin(), samples.end(),
      [&name](const MetricSample& sample) { return sample.name == name; });
  return found == samples.end() ? 0 : found->value;
}

std::string MakeEntry(const std::string& address,
                      const std::string& state,
                      const std::string& rest,
                      const std::string& service) {
  return R"({"service":")" + service + R"(","address":")" + address +
         R"(","zone":"z","version":"v1","slots":3,"coldRemainingMs":0,)"
         R"("state":")" +
         state + "\"," + rest + "}";
}

BalancerAtStore::BalancerAtStore(Duration max_stop_time)
    : now(kStart), balancer(BalancerSettings(max_stop_time), kSeed) {
  this->PutRoute("desk");
  this->Put("servers/a",
            MakeEntry("10.0.0.1:1", "ready", R"("seq":500,"born":1000)"));
  this->Put("servers/b",
            MakeEntry("10.0.0.2:1", "ready", R"("seq":9,"born":1000)"));
}

void BalancerAtStore::Put(const std::string& key, const std::string& value) {
  this->items[key] = {EncodeBase64(value), ++this->revision};
}

void BalancerAtStore::PutRoute(const std::string& service, int priority) {
  const std::string route =
      service.empty()
          ? std::string()
          : R"({"host":"198.18.0.1","prefix":"/443/","service":")" + service +
                R"(","priority":)" + std::to_string(priority) + "}";
  this->Put("op/config", R"({"version":)" + std::to_string(++this->version) +
                             R"(,"routes":[)" + route + "]}");
}

FlowBalancerOutbox BalancerAtStore::Tick(FlowBalancerInbox inbox) {
  this->now += milliseconds(10);
  if (this->store_answers) {
    for (const StoreCall& call : std::exchange(this->calls, {})) {
      inbox.store_answers.push_back(this->Answer(call));
    }
  }
  FlowBalancerOutbox outbox = this->balancer.Tick(this->now, inbox);
  this->calls.insert(this->calls.end(), outbox.store_calls.begin(),
                     outbox.store_calls.end());
  return outbox;
}

void BalancerAtStore::Run(Duration time) {
  for (const TimePoint end = this->now + time; this->now < end;) {
    this->Tick();
  }
}

FlowBalancerOutbox BalancerAtStore::Send(const FlowPacket& packet) {
  FlowBalancerInbox inbox;
  inbox.packets = {packet};
  return this->Tick(std::move(inbox));
}

FlowBalancerOutbox BalancerAtStore::Notify(NoticeKind kind,
                                           std::uint32_t host,
                                           std::uint32_t running) {
  FlowBalancerInbox inbox;
  FlowNotice& notice = inbox.notices.emplace_back();
  notice.kind = kind;
  notice.sender = host;
  notice.service_tag = kDeskTag;
  notice.flow = kFlow;
  notice.load.running = running;
  return this->Tick(std::move(inbox));
}

std::vector<std::uint32_t> BalancerAtStore::HostsOfNewFlows() {
  std::vector<std::uint32_t> hosts;
  for (int i = 0; i < 40; ++i) {
    FlowPacket packet = MakeOpening(kFirstClient);
    packet.flow.client.port = this->next_port++;
    for (const FlowForward& forward : this->Send(packet).forwards) {
      hosts.push_back(forward.destination.address);
    }
  }
  std::sort(hosts.begin(), hosts.end());
  hosts.erase(std::unique(hosts.begin(), hosts.end()), hosts.end());
  return hosts;
}

StoreAnswer BalancerAtStore::Answer(const StoreCall& call) const {
  const bool list = call.kind == StoreCallKind::kList;
  const std::string prefix =
      call.subject == StoreSubject::kRoutes ? "op/config" : "servers/";
  std::string body = list ? R"({"items":[)" : R"({"events":[)";
  for (const auto& [key, item] : this->items) {
    if (key.rfind(prefix, 0) == 0 &&
        (list || item.second > call.after_revision)) {
      body += body.back() == '[' ? "" : ",";
      body += R"({"key":")" + key + R"(","value":")" + item.first +
              R"(","rev":)" + std::to_string(item.second) + "}";
    }
  }
  body += R"(],"at":)" + std::to_string(this->revision) + "}";
  StoreAnswer answer = platform::DecodeAnswer(call, body);
  answer.generation = call.generation;
  return answer;
}

}  // namespace cactuscross::testing
