#include "src/config/field_table.h"

#include <array>

namespace cactuscross {
namespace {

constexpr Presence kRequired = Presence::kRequired;
constexpr Presence kOptional = Presence::kOptional;

constexpr Bounds kNameLength{1, 63};
constexpr Bounds kFullNameLength{3, 127};
constexpr Bounds kNodeNumber{1, 4294967295};
constexpr Bounds kNoBounds{};

constexpr UniqueRule kMayRepeat{};
constexpr UniqueRule kOwnAddress{"own address", ResultCode::kDuplicateAddress};
constexpr UniqueRule kPlatformAddress{"platform address",
                                      ResultCode::kDuplicateAddress};
constexpr UniqueRule kSeedAddress{"seed address",
                                  ResultCode::kDuplicateAddress};
constexpr UniqueRule kSeedNode{"seed node", ResultCode::kDuplicateNode};
constexpr UniqueRule kContractAddress{"contract address",
                                      ResultCode::kDuplicateAddress};
constexpr UniqueRule kServerNode{"server node", ResultCode::kDuplicateNode};
constexpr UniqueRule kServiceName{"service name",
                                  ResultCode::kDuplicateService};

constexpr std::array kNodeRows = {
    FieldRow<NodeSettings>{
        {"node", kRequired, kNodeNumber, "",
         "Number of this process, unique in the whole fleet."},
        &NodeSettings::node},
    FieldRow<NodeSettings>{{"zone", kRequired, kNameLength, "characters",
                            "Availability zone of this host."},
                           &NodeSettings::zone},
    FieldRow<NodeSettings>{{"listen", kRequired, kNoBounds, "",
                            "Address for other processes: UDP for data, ZeroMQ "
                            "for control messages.",
                            kOwnAddress},
                           &NodeSettings::listen},
    FieldRow<NodeSettings>{
        {"operations", kRequired, kNoBounds, "",
         "HTTP address of /dump, /explain and /metrics.", kOwnAddress},
        &NodeSettings::operations},
    FieldRow<NodeSettings>{
        {"platform", kOptional, Bounds{0, 16}, "entries",
         "HTTP addresses of the platform's configuration service and host "
         "list.",
         kPlatformAddress},
        &NodeSettings::platform},
    FieldRow<NodeSettings>{{"seeds", kOptional, Bounds{0, 64}, "entries",
                            "Balancers to contact at startup; other members "
                            "are learned from them."},
                           &NodeSettings::seeds},
    FieldRow<NodeSettings>{
        {"contract_readers_per_zone", kOptional, Bounds{1, 16}, "processes",
         "Number of balancers per zone that watch the configuration service."},
        &NodeSettings::contract_readers_per_zone},
    FieldRow<NodeSettings>{{"stop_bound_ms", kOptional, Bounds{100, 600000},
                            "ms", "Maximum duration of a graceful shutdown."},
                           &NodeSettings::max_stop_time},
};

constexpr std::array kBalancerRows = {
    FieldRow<BalancerSettings>{
        {"bind_address", kOptional, kNoBounds, "",
         "IPv4 address to bind instead of the IP address of each service "
         "address, for a network that rewrites destination addresses."},
        &BalancerSettings::bind_address},
};

constexpr std::array kAgentRows = {
    FieldRow<AgentSettings>{
        {"service", kRequired, kFullNameLength, "characters",
         "Service of this agent's backend server, as \"customer/service\".",
         kMayRepeat, TextRule::kFullName},
        &AgentSettings::service},
    FieldRow<AgentSettings>{
        {"server", kRequired, kNoBounds, "",
         "HTTP address of the backend server.", kOwnAddress},
        &AgentSettings::server},
};

constexpr std::array kFlowNodeRows = {
    FieldRow<FlowNodeSettings>{
        {"name", kRequired, Bounds{1, 200}, "characters",
         "Name of this process in logs.", kMayRepeat, TextRule::kText},
        &FlowNodeSettings::name},
    FieldRow<FlowNodeSettings>{
        {"zone", kRequired, Bounds{1, 200}, "characters",
         "Availability zone of this host.", kMayRepeat, TextRule::kText},
        &FlowNodeSettings::zone},
    FieldRow<FlowNodeSettings>{
        {"data", kRequired, kNoBounds, "",
         "UDP address for the packets of flows.", kOwnAddress},
        &FlowNodeSettings::data},
    FieldRow<FlowNodeSettings>{
        {"peer", kRequired, kNoBounds, "",
         "UDP address for notices between balancers and agents; the port must "
         "be the same on all hosts.",
         kOwnAddress},
        &FlowNodeSettings::peer},
    FieldRow<FlowNodeSettings>{
        {"readiness", kRequired, kNoBounds, "",
         "HTTP address of the readiness check.", kOwnAddress},
        &FlowNodeSettings::readiness},
    FieldRow<FlowNodeSettings>{
        {"metrics_port", kOptional, Bounds{0, 65535}, "",
         "HTTP port of /metrics on this host; 0 disables it."},
        &FlowNodeSettings::metrics_port},
    FieldRow<FlowNodeSettings>{
        {"first_start", kOptional, kNoBounds, "",
         "True if the whole system is started for the first time."},
        &FlowNodeSettings::first_start},
    FieldRow<FlowNodeSettings>{{"flow_max_age_s", kOptional, Bounds{1, 86400},
                                "s", "Maximum lifetime of a flow."},
                               &FlowNodeSettings::flow_max_age},
    FieldRow<FlowNodeSettings>{{"stop_bound_s", kOptional, Bounds{0, 600}, "s",
                                "Maximum duration of a graceful shutdown."},
                               &FlowNodeSettings::max_stop_time},
    FieldRow<FlowNodeSettings>{
        {"evacuation_bound_ms", kOptional, Bounds{0, 600000}, "ms",
         "Time within which servers of an evacuated availability zone get no "
         "more new flows; 0: zones are not evacuated."},
        &FlowNodeSettings::evacuation_bound},
    FieldRow<FlowNodeSettings>{
        {"warmup_overshoot", kOptional, Bounds{0, 100}, "",
         "Factor by which the openings of a server that warms up may exceed "
         "its rate in any second."},
        &FlowNodeSettings::warmup_overshoot},
    FieldRow<FlowNodeSettings>{
        {"warmup_slack", kOptional, Bounds{0, 1000000}, "openings",
         "Openings that a server that warms up may get in any second beyond "
         "its rate."},
        &FlowNodeSettings::warmup_slack},
    FieldRow<FlowNodeSettings>{
        {"platform_features", kOptional, Bounds{0, 1000}, "characters",
         "Comma-separated feature groups of the deployment platform, which its "
         "adapter maps to other settings.",
         kMayRepeat, TextRule::kText},
        &FlowNodeSettings::platform_features},
};

constexpr std::array kFlowBalancerRows = {
    FieldRow<FlowBalancerSettings>{
        {"store", kRequired, kNoBounds, "",
         "HTTP address of the store of routes and servers.", kOwnAddress},
        &FlowBalancerSettings::store},
    FieldRow<FlowBalancerSettings>{
        {"control", kOptional, kNoBounds, "",
         "UDP address for gossip with other balancers.", kOwnAddress},
        &FlowBalancerSettings::control},
    FieldRow<FlowBalancerSettings>{
        {"seeds", kOptional, Bounds{0, 64}, "entries",
         "Control addresses of balancers to contact at startup; the others are "
         "learned from them."},
        &FlowBalancerSettings::seeds},
    FieldRow<FlowBalancerSettings>{
        {"batched_lookup", kOptional, kNoBounds, "",
         "Look up the servers of flows by key, many flows in one datagram, "
         "instead of sending a packet of each flow to each server."},
        &FlowBalancerSettings::batched_lookup},
    FieldRow<FlowBalancerSettings>{
        {"priority_admission", kOptional, kNoBounds, "",
         "Order openings that wait for a server by priority and deadline "
         "instead of newest first, where routes publish priorities."},
        &FlowBalancerSettings::priority_admission},
    FieldRow<FlowBalancerSettings>{
        {"strict_weights", kOptional, kNoBounds, "",
         "Never use another service of a route because the chosen one has no "
         "capacity."},
        &FlowBalancerSettings::strict_weights},
};

constexpr std::array kFlowAgentRows = {
    FieldRow<FlowAgentSettings>{
        {"service", kRequired, Bounds{1, 200}, "characters",
         "Service of this agent's backend server.", kMayRepeat,
         TextRule::kText},
        &FlowAgentSettings::service},
    FieldRow<FlowAgentSettings>{
        {"server", kRequired, kNoBounds, "",
         "UDP and TCP address of the backend server.", kOwnAddress},
        &FlowAgentSettings::server},
    FieldRow<FlowAgentSettings>{
        {"outbound", kRequired, kNoBounds, "",
         "UDP address that the backend server sends to.", kOwnAddress},
        &FlowAgentSettings::outbound},
};

constexpr std::array kSeedRows = {
    FieldRow<PeerAddress>{{"node", kRequired, kNodeNumber, "",
                           "Node number of the process.", kSeedNode},
                          &PeerAddress::node},
    FieldRow<PeerAddress>{{"role", kOptional, kNoBounds, "",
                           "Role of the process: balancer or agent."},
                          &PeerAddress::role},
    FieldRow<PeerAddress>{{"zone", kRequired, kNameLength, "characters",
                           "Availability zone of the process."},
                          &PeerAddress::zone},
    FieldRow<PeerAddress>{{"address", kRequired, kNoBounds, "",
                           "Listen address of the process.", kSeedAddress},
                          &PeerAddress::endpoint},
};

constexpr std::array kContractRows = {
    FieldRow<Contract>{
        {"customer", kRequired, kNameLength, "characters",
         "Name of the customer; must equal the key of the contract in the "
         "configuration service."},
        &Contract::customer},
    FieldRow<Contract>{{"services", kRequired, Bounds{1, 256}, "entries",
                        "Services of the customer."},
                       &Contract::services},
};

constexpr std::array kServiceRows = {
    FieldRow<ContractService>{
        {"name", kRequired, kNameLength, "characters",
         "Name of the service, unique in the contract.", kServiceName},
        &ContractService::name},
    FieldRow<ContractService>{
        {"addresses", kRequired, Bounds{1, 64}, "entries",
         "Addresses that callers send to. Each address belongs to one service "
         "only.",
         kContractAddress},
        &ContractService::addresses},
    FieldRow<ContractService>{{"servers", kRequired, Bounds{1, 4096}, "entries",
                               "Backend servers, each with its agent."},
                              &ContractService::servers},
    FieldRow<ContractService>{
        {"limits", kOptional, kNoBounds, "",
         "Limits of the whole service, across all its servers."},
        &ContractService::limits},
    FieldRow<ContractService>{
        {"idempotent_posts", kOptional, kNoBounds, "",
         "True if POST requests are idempotent: they need no ticket and are "
         "retried like PUT requests."},
        &ContractService::idempotent_posts},
    FieldRow<ContractService>{
        {"session_max_age_s", kOptional, Bounds{2, 3600}, "s",
         "Max-Age of a notification. An open session is notified at least "
         "twice within this time."},
        &ContractService::session_max_age_s},
};

constexpr std::array kServerRows = {
    FieldRow<ContractServer>{
        {"node", kRequired, kNodeNumber, "",
         "Node number of the server's agent.", kServerNode},
        &ContractServer::node},
    FieldRow<ContractServer>{{"zone", kRequired, kNameLength, "characters",
                              "Availability zone of the server."},
                             &ContractServer::zone},
    FieldRow<ContractServer>{
        {"agent", kRequired, kNoBounds, "",
         "Listen address of the server's agent.", kContractAddress},
        &ContractServer::agent},
    FieldRow<ContractServer>{
        {"slots", kRequired, Bounds{1, 100000}, "requests",
         "Maximum number of requests that the server runs concurrently."},
        &ContractServer::slots},
    FieldRow<ContractServer>{
        {"connections", kRequired, Bounds{1, 1000000}, "sessions",
         "Maximum number of open sessions on the server."},
        &ContractServer::connections},
    FieldRow<ContractServer>{
        {"state", kOptional, kNoBounds, "",
         "serving, or leaving: gets no new work, and its sessions are handed "
         "over."},
        &ContractServer::state},
};

constexpr std::array kLimitRows = {
    FieldRow<ServiceLimits>{
        {"request_rate", kOptional, Bounds{1, 1000000}, "requests/s",
         "Maximum rate of accepted requests."},
        &ServiceLimits::request_rate},
    FieldRow<ServiceLimits>{
        {"request_burst", kOptional, Bounds{1, 1000000}, "requests",
         "Maximum burst of requests accepted above the rate."},
        &ServiceLimits::request_burst},
    FieldRow<ServiceLimits>{
        {"requests_in_flight", kOptional, Bounds{1, 1000000}, "requests",
         "Maximum number of requests accepted and not yet answered."},
        &ServiceLimits::requests_in_flight},
    FieldRow<ServiceLimits>{{"sessions", kOptional, Bounds{0, 10000000},
                             "sessions", "Maximum number of open sessions."},
                            &ServiceLimits::sessions},
    FieldRow<ServiceLimits>{
        {"body_bytes", kOptional, Bounds{0, 4194304}, "bytes",
         "Maximum size of the body of a request or response."},
        &ServiceLimits::body_bytes},
    FieldRow<ServiceLimits>{
        {"queue_time_ms", kOptional, Bounds{0, 60000}, "ms",
         "Maximum wait for a slot; a request whose estimated wait is longer is "
         "refused at once."},
        &ServiceLimits::queue_time},
    FieldRow<ServiceLimits>{
        {"deadline_ms", kOptional, Bounds{10, 600000}, "ms",
         "Maximum time from the arrival of a request to its response."},
        &ServiceLimits::deadline},
};

}  // namespace

template <>
gsl::span<const FieldRow<NodeSettings>> Rows() {
  return kNodeRows;
}

template <>
gsl::span<const FieldRow<BalancerSettings>> Rows() {
  return kBalancerRows;
}

template <>
gsl::span<const FieldRow<AgentSettings>> Rows() {
  return kAgentRows;
}

template <>
gsl::span<const FieldRow<FlowNodeSettings>> Rows() {
  return kFlowNodeRows;
}

template <>
gsl::span<const FieldRow<FlowBalancerSettings>> Rows() {
  return kFlowBalancerRows;
}

template <>
gsl::span<const FieldRow<FlowAgentSettings>> Rows() {
  return kFlowAgentRows;
}

template <>
gsl::span<const FieldRow<PeerAddress>> Rows() {
  return kSeedRows;
}

template <>
gsl::span<const FieldRow<Contract>> Rows() {
  return kContractRows;
}

template <>
gsl::span<const FieldRow<ContractService>> Rows() {
  return kServiceRows;
}

template <>
gsl::span<const FieldRow<ContractServer>> Rows() {
  return kServerRows;
}

template <>
gsl::span<const FieldRow<ServiceLimits>> Rows() {
  return kLimitRows;
}

}  // namespace cactuscross
