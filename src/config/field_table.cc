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
    FieldRow<NodeSettings>{
        {"listen", kRequired, kNoBounds, "",
         "Address for the other processes: UDP data and ZeroMQ control.",
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
    FieldRow<NodeSettings>{
        {"seeds", kOptional, Bounds{0, 64}, "entries",
         "Balancers that are known at start; the rest is learned from them."},
        &NodeSettings::seeds},
    FieldRow<NodeSettings>{
        {"contract_readers_per_zone", kOptional, Bounds{1, 16}, "processes",
         "Balancers of each zone that watch the configuration service."},
        &NodeSettings::contract_readers_per_zone},
    FieldRow<NodeSettings>{{"stop_bound_ms", kOptional, Bounds{100, 600000},
                            "ms", "Longest time of a graceful shutdown."},
                           &NodeSettings::max_stop_time},
};

constexpr std::array kBalancerRows = {
    FieldRow<BalancerSettings>{
        {"bind_address", kOptional, kNoBounds, "",
         "IPv4 address to bind in place of each service address' own, for a "
         "fabric that rewrites destinations."},
        &BalancerSettings::bind_address},
};

constexpr std::array kAgentRows = {
    FieldRow<AgentSettings>{
        {"service", kRequired, kFullNameLength, "characters",
         "Service of the backend server beside this agent: "
         "\"customer/service\".",
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
        {"data", kRequired, kNoBounds, "", "UDP address for packets of flows.",
         kOwnAddress},
        &FlowNodeSettings::data},
    FieldRow<FlowNodeSettings>{
        {"peer", kRequired, kNoBounds, "",
         "UDP address for notices; the port is the same on all hosts.",
         kOwnAddress},
        &FlowNodeSettings::peer},
    FieldRow<FlowNodeSettings>{
        {"readiness", kRequired, kNoBounds, "",
         "HTTP address that tells readiness.", kOwnAddress},
        &FlowNodeSettings::readiness},
    FieldRow<FlowNodeSettings>{{"metrics_port", kOptional, Bounds{0, 65535}, "",
                                "HTTP port of /metrics on this host; 0: none."},
                               &FlowNodeSettings::metrics_port},
    FieldRow<FlowNodeSettings>{
        {"first_start", kOptional, kNoBounds, "",
         "True where the whole system starts for the first time."},
        &FlowNodeSettings::first_start},
    FieldRow<FlowNodeSettings>{{"flow_max_age_s", kOptional, Bounds{1, 86400},
                                "s", "Longest life of a flow."},
                               &FlowNodeSettings::flow_max_age},
    FieldRow<FlowNodeSettings>{{"stop_bound_s", kOptional, Bounds{0, 600}, "s",
                                "Longest time of a graceful shutdown."},
                               &FlowNodeSettings::max_stop_time},
};

constexpr std::array kFlowBalancerRows = {
    FieldRow<FlowBalancerSettings>{
        {"store", kRequired, kNoBounds, "",
         "HTTP address of the store of routes and servers.", kOwnAddress},
        &FlowBalancerSettings::store},
    FieldRow<FlowBalancerSettings>{
        {"control", kOptional, kNoBounds, "",
         "UDP address for other balancers.", kOwnAddress},
        &FlowBalancerSettings::control},
    FieldRow<FlowBalancerSettings>{
        {"seeds", kOptional, Bounds{0, 64}, "entries",
         "Control addresses of some balancers; the rest is learned from them."},
        &FlowBalancerSettings::seeds},
};

constexpr std::array kFlowAgentRows = {
    FieldRow<FlowAgentSettings>{
        {"service", kRequired, Bounds{1, 200}, "characters",
         "Service of the backend server beside this agent.", kMayRepeat,
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
                           "Number of the process.", kSeedNode},
                          &PeerAddress::node},
    FieldRow<PeerAddress>{{"role", kOptional, kNoBounds, "",
                           "What the process does: balancer or agent."},
                          &PeerAddress::role},
    FieldRow<PeerAddress>{{"zone", kRequired, kNameLength, "characters",
                           "Its availability zone."},
                          &PeerAddress::zone},
    FieldRow<PeerAddress>{{"address", kRequired, kNoBounds, "",
                           "Its listen address.", kSeedAddress},
                          &PeerAddress::endpoint},
};

constexpr std::array kContractRows = {
    FieldRow<Contract>{
        {"customer", kRequired, kNameLength, "characters",
         "Name of the customer; equal to the key in the configuration "
         "service."},
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
         "Addresses that callers send to. An address belongs to one service.",
         kContractAddress},
        &ContractService::addresses},
    FieldRow<ContractService>{{"servers", kRequired, Bounds{1, 4096}, "entries",
                               "Backend servers, each with its agent."},
                              &ContractService::servers},
    FieldRow<ContractService>{
        {"limits", kOptional, kNoBounds, "",
         "Limits of the whole service over all its servers."},
        &ContractService::limits},
    FieldRow<ContractService>{
        {"idempotent_posts", kOptional, kNoBounds, "",
         "True where a POST may run twice without harm: it then needs no "
         "ticket and is retried like a PUT."},
        &ContractService::idempotent_posts},
    FieldRow<ContractService>{
        {"session_max_age_s", kOptional, Bounds{2, 3600}, "s",
         "Max-Age of a notification. An open session is notified at least "
         "twice in this time."},
        &ContractService::session_max_age_s},
};

constexpr std::array kServerRows = {
    FieldRow<ContractServer>{
        {"node", kRequired, kNodeNumber, "",
         "Number of the agent beside the server.", kServerNode},
        &ContractServer::node},
    FieldRow<ContractServer>{{"zone", kRequired, kNameLength, "characters",
                              "Its availability zone."},
                             &ContractServer::zone},
    FieldRow<ContractServer>{{"agent", kRequired, kNoBounds, "",
                              "Listen address of the agent.", kContractAddress},
                             &ContractServer::agent},
    FieldRow<ContractServer>{{"slots", kRequired, Bounds{1, 100000}, "requests",
                              "Requests that the server runs at once."},
                             &ContractServer::slots},
    FieldRow<ContractServer>{
        {"connections", kRequired, Bounds{1, 1000000}, "sessions",
         "Open sessions that the server holds."},
        &ContractServer::connections},
    FieldRow<ContractServer>{
        {"state", kOptional, kNoBounds, "",
         "serving, or leaving: no new work, sessions move away."},
        &ContractServer::state},
};

constexpr std::array kLimitRows = {
    FieldRow<ServiceLimits>{{"request_rate", kOptional, Bounds{1, 1000000},
                             "requests/s", "Requests accepted each second."},
                            &ServiceLimits::request_rate},
    FieldRow<ServiceLimits>{
        {"request_burst", kOptional, Bounds{1, 1000000}, "requests",
         "Requests accepted at once above the rate."},
        &ServiceLimits::request_burst},
    FieldRow<ServiceLimits>{
        {"requests_in_flight", kOptional, Bounds{1, 1000000}, "requests",
         "Requests accepted and not yet answered."},
        &ServiceLimits::requests_in_flight},
    FieldRow<ServiceLimits>{{"sessions", kOptional, Bounds{0, 10000000},
                             "sessions", "Open sessions."},
                            &ServiceLimits::sessions},
    FieldRow<ServiceLimits>{{"body_bytes", kOptional, Bounds{0, 4194304},
                             "bytes", "Body of a request or of an answer."},
                            &ServiceLimits::body_bytes},
    FieldRow<ServiceLimits>{
        {"queue_time_ms", kOptional, Bounds{0, 60000}, "ms",
         "Longest wait for a slot; a request that cannot make it is refused "
         "at once."},
        &ServiceLimits::queue_time},
    FieldRow<ServiceLimits>{{"deadline_ms", kOptional, Bounds{10, 600000}, "ms",
                             "Time from arrival to answer."},
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
