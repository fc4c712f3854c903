#include "src/core/control/control_dump.h"

#include <array>
#include <chrono>
#include <string>

namespace cactuscross {

namespace {

constexpr std::array<std::string_view, 4> kStateNames = {"alive", "suspect",
                                                         "leaving", "dead"};

std::int64_t Milliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

std::string Label(std::string_view key, std::string_view value) {
  std::string label(key);
  label += "=\"";
  label += value;
  label += '"';
  return label;
}

std::size_t CountRejected(const ContractStore& store) {
  std::size_t rejected = 0;
  for (const auto& [customer, stored] : store.All()) {
    rejected += stored.rejected ? 1 : 0;
  }
  return rejected;
}

}  // namespace

std::string_view MemberStateName(MemberState state) {
  return kStateNames.at(static_cast<std::size_t>(state));
}

nlohmann::json DumpContracts(const ContractStore& store) {
  nlohmann::json dump = nlohmann::json::object();
  for (const auto& [customer, stored] : store.All()) {
    nlohmann::json entry;
    entry["version"] = stored.active.version;
    if (stored.deleted) {
      entry["deleted"] = true;
    } else {
      entry["fingerprint"] = stored.active.fingerprint;
    }
    if (stored.rejected) {
      entry["rejected"] = {{"version", stored.rejected->version},
                           {"error", ToString(stored.rejected->error)}};
    }
    dump[customer] = std::move(entry);
  }
  return dump;
}

nlohmann::json DumpMembers(const MemberTable& members, TimePoint now) {
  nlohmann::json dump = nlohmann::json::array();
  for (const Member* member : members.All()) {
    const MemberState state = members.StateOf(member->peer.node);
    const bool shown =
        member->peer.role == Role::kBalancer || state != MemberState::kAlive;
    if (!shown) {
      continue;
    }
    nlohmann::json entry;
    entry["node"] = ToNumber(member->peer.node);
    entry["role"] = member->peer.role == Role::kBalancer ? "balancer" : "agent";
    entry["zone"] = member->peer.zone;
    entry["address"] = ToString(member->peer.endpoint);
    entry["state"] = MemberStateName(state);
    entry["state_for_ms"] = Milliseconds(now - member->state_since);
    if (member->last_received) {
      entry["heard_ms_ago"] = Milliseconds(now - *member->last_received);
    }
    dump.push_back(std::move(entry));
  }
  return dump;
}

nlohmann::json DumpTraffic(const TrafficCounts& counts) {
  nlohmann::json dump = nlohmann::json::object();
  for (std::size_t kind = 0; kind < counts.size(); ++kind) {
    if (counts[kind].messages > 0) {
      dump[std::string(PeerMessageName(kind))] = {
          {"messages", counts[kind].messages},
          {"estimated_bytes", counts[kind].bytes}};
    }
  }
  return dump;
}

void AppendContractMetrics(const ContractStore& store,
                           std::vector<MetricSample>& samples) {
  const auto gauge = [&samples](const char* name, double value) {
    samples.push_back({name, MetricKind::kGauge, "", value});
  };
  const auto counter = [&samples](const char* name, double value) {
    samples.push_back({name, MetricKind::kCounter, "", value});
  };
  const StoreCounts& counts = store.Counts();
  gauge("control_contracts", static_cast<double>(store.Size()));
  gauge("control_highest_version", static_cast<double>(store.Highest()));
  gauge("control_contracts_rejected",
        static_cast<double>(CountRejected(store)));
  gauge("control_address_conflicts",
        static_cast<double>(store.Services().Conflicts()));
  counter("control_versions_applied_total",
          static_cast<double>(counts.applied));
  counter("control_versions_rejected_total",
          static_cast<double>(counts.rejected));
  counter("control_versions_older_total", static_cast<double>(counts.older));
  counter("control_versions_conflicting_total",
          static_cast<double>(counts.conflicting));
}

void AppendMemberMetrics(const MemberTable& members,
                         std::vector<MetricSample>& samples) {
  std::array<std::array<std::size_t, kStateNames.size()>, 2> counted{};
  for (const Member* member : members.All()) {
    const auto role = static_cast<std::size_t>(member->peer.role);
    const auto state =
        static_cast<std::size_t>(members.StateOf(member->peer.node));
    ++counted.at(role).at(state);
  }
  for (std::size_t role = 0; role < counted.size(); ++role) {
    for (std::size_t state = 0; state < kStateNames.size(); ++state) {
      const std::string labels =
          Label("role", role == 0 ? "balancer" : "agent") + "," +
          Label("state", kStateNames.at(state));
      samples.push_back({"control_members", MetricKind::kGauge, labels,
                         static_cast<double>(counted[role][state])});
    }
  }
  const MemberCounts& counts = members.Counts();
  samples.push_back({"control_suspicions_total", MetricKind::kCounter, "",
                     static_cast<double>(counts.suspicions)});
  samples.push_back({"control_deaths_total", MetricKind::kCounter, "",
                     static_cast<double>(counts.deaths)});
  samples.push_back({"control_refutations_total", MetricKind::kCounter, "",
                     static_cast<double>(counts.refutations)});
}

void AppendTrafficMetrics(const TrafficCounts& counts,
                          std::vector<MetricSample>& samples) {
  for (std::size_t kind = 0; kind < counts.size(); ++kind) {
    if (counts[kind].messages == 0) {
      continue;
    }
    const std::string labels = Label("kind", PeerMessageName(kind));
    samples.push_back({"control_messages_sent_total", MetricKind::kCounter,
                       labels, static_cast<double>(counts[kind].messages)});
    samples.push_back({"control_estimated_bytes_sent_total",
                       MetricKind::kCounter, labels,
                       static_cast<double>(counts[kind].bytes)});
  }
}

}  // namespace cactuscross
