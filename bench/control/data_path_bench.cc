// Measures the memory per session and per ticket of an agent, the CPU time per
// message of both roles and of the codecs, and the memory and CPU time per
// contract of the control plane. One balancer and one agent run in logical time
// and get each other's messages directly, without sockets or waiting.

#include <malloc.h>

#include <fstream>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include <boost/program_options.hpp>

#include "bench/control/traffic_meter.h"
#include "cactuscross/agent.h"
#include "cactuscross/balancer.h"
#include "src/config/contract_parser.h"
#include "src/wire/coap_codec.h"
#include "src/wire/peer_codec.h"

namespace cactuscross {
namespace {

constexpr std::uint32_t kLoopback = 0x7F000001;
constexpr Endpoint kServiceAddress{kLoopback, 5683};
constexpr NodeId kAgentNode{11};
constexpr Duration kTickInterval = std::chrono::milliseconds(10);
constexpr int kWarmupTicks = 2000;
constexpr std::size_t kRequestsPerTick = 100;  // GETs of callers
constexpr std::size_t kPostsPerTick = 2;       // 200 per second
constexpr int kSettleTicks = 200;
constexpr std::uint32_t kBalancers = 1500;
constexpr std::uint32_t kRoutedMessages = 100000;
constexpr std::size_t kContracts = 3300;
constexpr std::size_t kTextBytes = 2000;
constexpr double kMicrosecond = 1e-6;

double HeapBytes() {
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

// Returns a contract of about 2 KB: one service with four servers, padded with
// comments.
std::string ContractText(const std::string& customer,
                         std::uint32_t address,
                         std::uint32_t first_node) {
  std::string text = "customer: " + customer +
                     "\nservices:\n  - name: claims\n    addresses: [\"" +
                     ToString(Endpoint{address, 5683}) + "\"]\n    servers:\n";
  for (std::uint32_t i = 0; i < 4; ++i) {
    text += "      - {node: " + std::to_string(first_node + i) +
            ", zone: north-1, agent: \"" +
            ToString(Endpoint{0x0A000000 + first_node + i, 7000}) +
            "\", slots: 100000, connections: 100000, state: serving}\n";
  }
  text +=
      "    limits: {request_rate: 1000000, request_burst: 1000000, "
      "requests_in_flight: 1000000, sessions: 1000000, body_bytes: 1048576, "
      "queue_time_ms: 200, deadline_ms: 5000}\n";
  while (text.size() < kTextBytes) {
    text += "# a comment that pads this contract\n";
  }
  return text;
}

// A balancer and an agent whose messages are passed to each other directly.
class BalancerAgentPair {
 public:
  BalancerAgentPair();

  // Runs one tick of both. Server calls are answered in the next tick.
  void Tick(std::vector<CallerDatagram> datagrams = {});

  // CPU time spent in the cores, in seconds.
  double balancer_seconds = 0;
  double agent_seconds = 0;
  std::vector<CallerDatagram> replies;  // of the last tick

  bool Ready() const;
  nlohmann::json AgentDump() const { return this->agent->Dump(); }

 private:
  void AnswerReads(const std::vector<PlatformRead>& reads);

  std::unique_ptr<Balancer> balancer;
  std::unique_ptr<Agent> agent;
  BalancerInbox balancer_inbox;
  AgentInbox agent_inbox;
  TimePoint now{std::chrono::seconds(1000)};
};

BalancerAgentPair::BalancerAgentPair() {
  CoreDependencies dependencies;
  dependencies.parse_contract = ParseContractToFirstError;
  BalancerSettings balancer_settings;
  balancer_settings.node.node = NodeId{1};
  balancer_settings.node.zone = "north-1";
  balancer_settings.node.listen = {kLoopback, 7001};
  this->balancer = std::make_unique<Balancer>(balancer_settings, dependencies);
  AgentSettings agent_settings;
  agent_settings.node.node = kAgentNode;
  agent_settings.node.role = Role::kAgent;
  agent_settings.node.zone = "north-1";
  agent_settings.node.listen = {kLoopback, 7011};
  agent_settings.node.seeds.push_back(
      {NodeId{1}, Role::kBalancer, "north-1", {kLoopback, 7001}});
  agent_settings.service = "workshops/claims";
  dependencies.seed = 2;
  this->agent = std::make_unique<Agent>(agent_settings, dependencies);
  for (int i = 0; i < kWarmupTicks && !this->Ready(); ++i) {
    this->Tick();
  }
}

bool BalancerAgentPair::Ready() const {
  return this->balancer->Dump()["control"]["ready"] &&
         this->agent->Dump()["control"]["ready"];
}

void BalancerAgentPair::Tick(std::vector<CallerDatagram> datagrams) {
  this->now += kTickInterval;
  this->balancer_inbox.caller_datagrams = std::move(datagrams);
  double before = ThreadCpuSeconds();
  BalancerOutbox from_balancer =
      this->balancer->Tick(this->now, std::exchange(this->balancer_inbox, {}));
  this->balancer_seconds += ThreadCpuSeconds() - before;
  this->replies = std::move(from_balancer.caller_replies);
  for (PeerEnvelope& envelope : from_balancer.peer_envelopes) {
    if (envelope.to.node == kAgentNode) {
      this->agent_inbox.peer_envelopes.push_back(std::move(envelope));
    }
  }
  this->AnswerReads(from_balancer.platform_reads);

  before = ThreadCpuSeconds();
  AgentOutbox from_agent =
      this->agent->Tick(this->now, std::exchange(this->agent_inbox, {}));
  this->agent_seconds += ThreadCpuSeconds() - before;
  for (PeerEnvelope& envelope : from_agent.peer_envelopes) {
    if (envelope.to.node == NodeId{1}) {
      this->balancer_inbox.peer_envelopes.push_back(std::move(envelope));
    }
  }
  if (from_agent.health_check) {
    ServerHealth health;
    health.reachable = true;
    health.service = "workshops/claims";
    this->agent_inbox.server_health.push_back(health);
  }
  for (const ServerCall& call : from_agent.server_calls) {
    ServerResult result;
    result.id = call.id;
    result.http_status = 200;
    result.body = Bytes(64, 'x');
    this->agent_inbox.server_results.push_back(std::move(result));
  }
}

void BalancerAgentPair::AnswerReads(const std::vector<PlatformRead>& reads) {
  for (const PlatformRead& read : reads) {
    PlatformResult result;
    result.kind = read.kind;
    result.ok = true;
    if (read.kind == PlatformReadKind::kWatchContracts) {
      result.revision = 1;
      if (read.since < 1) {
        result.values.push_back(
            {"workshops", 1, false,
             ContractText("workshops", kLoopback, ToNumber(kAgentNode))});
      }
    }
    this->balancer_inbox.platform_results.push_back(std::move(result));
  }
}

Bytes MakeToken(std::uint32_t number) {
  return {static_cast<std::uint8_t>(number >> 24U),
          static_cast<std::uint8_t>(number >> 16U),
          static_cast<std::uint8_t>(number >> 8U),
          static_cast<std::uint8_t>(number)};
}

CallerDatagram MakeDatagram(std::uint32_t number, CoapCode code) {
  CallerDatagram datagram;
  datagram.caller = {0x0B000000 + number, 40000};
  datagram.service_address = kServiceAddress;
  datagram.message.code = code;
  datagram.message.message_id = static_cast<std::uint16_t>(number);
  datagram.message.token = MakeToken(number);
  datagram.message.uri_path = "jobs";
  return datagram;
}

class Report {
 public:
  explicit Report(std::ostream& csv) : csv(csv) {
    this->csv << "metric,value,unit\n";
  }
  void Write(const std::string& metric, double value, const std::string& unit) {
    this->csv << metric << ',' << value << ',' << unit << '\n';
    std::cout << metric << ": " << value << ' ' << unit << std::endl;
  }

 private:
  std::ostream& csv;
};

// Opens `count` sessions, `kRequestsPerTick` in each tick, and measures their
// costs while they are opened and while they are idle.
void MeasureSessions(std::size_t count, Report& report) {
  BalancerAgentPair pair;
  report.Write("pair_ready", pair.Ready() ? 1 : 0, "");
  for (int i = 0; i < kWarmupTicks; ++i) {
    pair.Tick();
  }
  const double heap_before = HeapBytes();
  pair.balancer_seconds = 0;
  pair.agent_seconds = 0;
  std::size_t answered = 0;
  for (std::uint32_t number = 0; number < count;) {
    std::vector<CallerDatagram> datagrams;
    for (std::size_t i = 0; i < kRequestsPerTick && number < count;
         ++i, ++number) {
      datagrams.push_back(MakeDatagram(number, CoapCode::kGet));
      datagrams.back().message.observe = 0;
    }
    pair.Tick(std::move(datagrams));
    answered += pair.replies.size();
  }
  const double sessions = static_cast<double>(count);
  const double balancer_seconds = pair.balancer_seconds;
  const double agent_seconds = pair.agent_seconds;
  for (int i = 0; i < 100; ++i) {
    pair.Tick();
    answered += pair.replies.size();
  }
  report.Write("sessions", sessions, "");
  report.Write("session_answers", static_cast<double>(answered), "messages");
  report.Write("session_memory_both_roles",
               (HeapBytes() - heap_before) / sessions, "B");
  report.Write("session_open_balancer_cpu",
               balancer_seconds / sessions / kMicrosecond, "us");
  report.Write("session_open_agent_cpu",
               agent_seconds / sessions / kMicrosecond, "us");
  // No new sessions are opened from here on, so that only polls and
  // notifications remain.
  pair.balancer_seconds = 0;
  pair.agent_seconds = 0;
  constexpr int kIdleTicks = 3000;
  std::size_t notifications = 0;
  for (int i = 0; i < kIdleTicks; ++i) {
    pair.Tick();
    notifications += pair.replies.size();
  }
  const double idle_seconds = kIdleTicks * 0.01;
  report.Write("sessions_idle_notifications",
               static_cast<double>(notifications) / idle_seconds, "1/s");
  report.Write("sessions_idle_agent_cpu",
               pair.agent_seconds / idle_seconds * 100, "% of a core");
  report.Write("sessions_idle_balancer_cpu",
               pair.balancer_seconds / idle_seconds * 100, "% of a core");
}

// Sends `count` POSTs, each of which needs a ticket (the Echo option of a 4.01
// response, returned in a retry), and runs `kSettleTicks` more ticks for the
// last answers.
void MeasureTickets(std::size_t count, Report& report) {
  BalancerAgentPair pair;
  for (int i = 0; i < kWarmupTicks; ++i) {
    pair.Tick();
  }
  const double heap_before = HeapBytes();
  pair.balancer_seconds = 0;
  pair.agent_seconds = 0;
  std::size_t changed_replies = 0;
  std::vector<CallerDatagram> echo_retries;
  std::uint32_t number = 0;
  for (int idle_ticks = 0; idle_ticks < kSettleTicks; ++idle_ticks) {
    std::vector<CallerDatagram> datagrams = std::exchange(echo_retries, {});
    for (std::size_t i = 0; i < kPostsPerTick && number < count;
         ++i, ++number) {
      datagrams.push_back(MakeDatagram(number, CoapCode::kPost));
      idle_ticks = 0;
    }
    pair.Tick(std::move(datagrams));
    for (const CallerDatagram& reply : pair.replies) {
      changed_replies += reply.message.code == CoapCode::kChanged ? 1 : 0;
      if (reply.message.echo) {
        const std::uint32_t caller = reply.caller.address - 0x0B000000;
        echo_retries.push_back(MakeDatagram(caller, CoapCode::kPost));
        // A retry is a new message, not a retransmission.
        echo_retries.back().message.message_id += 30000;
        echo_retries.back().message.echo = reply.message.echo;
      }
    }
  }
  const double tickets = static_cast<double>(count);
  report.Write("tickets", tickets, "");
  report.Write("tickets_answered", static_cast<double>(changed_replies), "");
  report.Write("ticket_memory_both_roles",
               (HeapBytes() - heap_before) / tickets, "B");
  report.Write("ticket_balancer_cpu",
               pair.balancer_seconds / tickets / kMicrosecond, "us");
  report.Write("ticket_agent_cpu", pair.agent_seconds / tickets / kMicrosecond,
               "us");
}

void MeasureCodecs(Report& report) {
  constexpr int kRounds = 20000;
  const CallerDatagram datagram = MakeDatagram(77, CoapCode::kPost);
  const Bytes coap = EncodeCoap(datagram.message);
  PeerEnvelope envelope;
  envelope.from = {NodeId{1}, Role::kBalancer, "north-1", {kLoopback, 7001}};
  envelope.to = {kAgentNode, Role::kAgent, "north-1", {kLoopback, 7011}};
  ForwardedRequest request;
  request.balancer = envelope.from;
  request.message = datagram.message;
  envelope.body = request;
  std::size_t bytes = 0;
  double before = ThreadCpuSeconds();
  for (int i = 0; i < kRounds; ++i) {
    const auto decoded = DecodeCoap(coap);
    bytes += EncodeCoap(*decoded).size();
  }
  report.Write("coap_decode_and_encode_cpu",
               (ThreadCpuSeconds() - before) / kRounds / kMicrosecond, "us");
  before = ThreadCpuSeconds();
  for (int i = 0; i < kRounds; ++i) {
    const auto decoded = DecodeEnvelope(EncodeEnvelope(envelope));
    bytes += decoded ? 1 : 0;
  }
  report.Write("envelope_encode_and_decode_cpu",
               (ThreadCpuSeconds() - before) / kRounds / kMicrosecond, "us");
  report.Write("envelope_of_a_request",
               static_cast<double>(EncodeEnvelope(envelope).size()), "B");
  report.Write("codec_check", static_cast<double>(bytes > 0 ? 1 : 0), "");
}

struct RouteCost {
  double microseconds = 0;    // CPU time per message, ticks included
  std::size_t forwarded = 0;  // requests forwarded to agents
};

// Routes `count` messages that are distributed over all services.
RouteCost RouteMessages(Balancer& balancer,
                        TimePoint& now,
                        std::uint32_t count) {
  RouteCost cost;
  double cpu = 0;
  for (std::uint32_t number = 0; number < count;) {
    BalancerInbox messages;
    for (std::size_t i = 0; i < kRequestsPerTick; ++i, ++number) {
      const std::uint32_t service =
          number * 7 % static_cast<std::uint32_t>(kContracts);
      messages.caller_datagrams.push_back(MakeDatagram(number, CoapCode::kGet));
      messages.caller_datagrams.back().service_address = {0x0C000000 + service,
                                                          5683};
    }
    now += kTickInterval;
    const double start = ThreadCpuSeconds();
    const BalancerOutbox outbox = balancer.Tick(now, std::move(messages));
    cpu += ThreadCpuSeconds() - start;
    for (const PeerEnvelope& envelope : outbox.peer_envelopes) {
      const bool is_request =
          std::holds_alternative<ForwardedRequest>(envelope.body);
      cost.forwarded += is_request ? 1 : 0;
    }
  }
  cost.microseconds = cpu / count / kMicrosecond;
  return cost;
}

// Measures a balancer that applies all contracts of the design size.
void MeasureContracts(Report& report) {
  CoreDependencies dependencies;
  dependencies.parse_contract = ParseContractToFirstError;
  BalancerSettings settings;
  settings.node.node = NodeId{1};
  settings.node.zone = "north-1";
  settings.node.listen = {kLoopback, 7001};
  const double initial_heap = HeapBytes();
  Balancer balancer(settings, dependencies);
  BalancerInbox inbox;
  PlatformResult result;
  result.kind = PlatformReadKind::kWatchContracts;
  result.ok = true;
  result.revision = kContracts;
  double text_bytes = 0;
  for (std::uint32_t i = 0; i < kContracts; ++i) {
    result.values.push_back({"customer-" + std::to_string(i), i + 1, false,
                             ContractText("customer-" + std::to_string(i),
                                          0x0C000000 + i, 100 + i * 4)});
    text_bytes += static_cast<double>(result.values.back().text.size());
  }
  inbox.platform_results.push_back(std::move(result));
  // The other balancers are listed too, so that this one monitors only its
  // share of the agents.
  PlatformResult hosts;
  hosts.kind = PlatformReadKind::kReadHosts;
  hosts.ok = true;
  for (std::uint32_t i = 2; i <= kBalancers; ++i) {
    hosts.hosts.push_back({{NodeId{1000000 + i},
                            Role::kBalancer,
                            "zone-" + std::to_string(i % 17),
                            {0x0D000000 + i, 7000}},
                           false});
  }
  inbox.platform_results.push_back(std::move(hosts));
  TimePoint now{std::chrono::seconds(1000)};
  balancer.Tick(now, {});
  const double before = ThreadCpuSeconds();
  balancer.Tick(now + kTickInterval, std::move(inbox));
  const double seconds = ThreadCpuSeconds() - before;
  inbox = {};
  malloc_trim(0);
  report.Write("contracts", kContracts, "");
  report.Write("contracts_text", text_bytes / kContracts, "B");
  report.Write("contracts_memory_of_balancer", HeapBytes() - initial_heap, "B");
  report.Write("contract_parse_and_apply_cpu",
               seconds / kContracts / kMicrosecond, "us");
  // The first message to each service sets up its routes.
  const RouteCost first =
      RouteMessages(balancer, now, static_cast<std::uint32_t>(kContracts));
  report.Write("balancer_first_route_cpu", first.microseconds, "us");
  const RouteCost steady = RouteMessages(balancer, now, kRoutedMessages);
  report.Write("balancer_route_cpu", steady.microseconds, "us");
  report.Write("balancer_routed", static_cast<double>(steady.forwarded),
               "messages");
  report.Write("balancer_memory_after_all_services", HeapBytes() - initial_heap,
               "B");
}

int Main(int argc, char** argv) {
  namespace options = boost::program_options;
  std::size_t sessions = 0;
  std::size_t tickets = 0;
  std::string out;
  options::options_description description("data_path_bench");
  description.add_options()("help", "print this help")(
      "sessions", options::value(&sessions)->default_value(8550),
      "number of sessions to open at one agent")(
      "tickets", options::value(&tickets)->default_value(5000),
      "number of tickets to use at one agent")(
      "out", options::value(&out)->default_value("out/data_path.csv"),
      "CSV file to write");
  options::variables_map values;
  options::store(options::parse_command_line(argc, argv, description), values);
  options::notify(values);
  if (values.count("help") > 0) {
    std::cout << description;
    return 0;
  }
  std::ofstream csv(out);
  Report report(csv);
  MeasureContracts(report);
  MeasureSessions(sessions, report);
  MeasureTickets(tickets, report);
  MeasureCodecs(report);
  return csv.good() ? 0 : 1;
}

}  // namespace
}  // namespace cactuscross

int main(int argc, char** argv) {
  return cactuscross::Main(argc, argv);
}
