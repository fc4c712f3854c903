#include "tests/support/fake_platform.h"

#include <algorithm>
#include <utility>

namespace cactuscross::testing {
namespace {

// Max time until a stale configuration service answers a watch.
constexpr Duration kStaleAnswerDelay = std::chrono::milliseconds(200);

}  // namespace

ContractVersion FakePlatform::Publish(const Contract& contract) {
  this->contracts->push_back(contract);
  ContractValue value;
  value.customer = contract.customer;
  value.text = std::to_string(this->contracts->size() - 1);
  return this->Store(std::move(value));
}

ContractVersion FakePlatform::Delete(const std::string& customer) {
  ContractValue value;
  value.customer = customer;
  value.deleted = true;
  return this->Store(std::move(value));
}

ContractVersion FakePlatform::Store(ContractValue value) {
  value.version = ++this->revision;
  this->newest[value.customer] = value;
  this->log.push_back(std::move(value));
  if (this->up && !this->stale_revision) {
    for (const auto& watch : std::exchange(this->watches, {})) {
      this->AnswerWatch(*watch);
    }
  }
  return this->revision;
}

ContractParser FakePlatform::Parser() const {
  return [contracts = this->contracts](
             std::string_view /*key*/,
             std::string_view text) -> tl::expected<Contract, Error> {
    const std::size_t index = std::stoul(std::string(text));
    if (index >= contracts->size()) {
      return tl::make_unexpected(Error{ResultCode::kYamlSyntax, "", "", 0});
    }
    return (*contracts)[index];
  };
}

void FakePlatform::SetStale(std::optional<ContractVersion> revision) {
  this->stale_revision = revision;
}

void FakePlatform::SetHosts(std::vector<HostEntry> hosts) {
  this->hosts[this->link.Now()] = std::move(hosts);
}

void FakePlatform::Read(const PlatformRead& read,
                        const AnswerCallback& answer) {
  ++this->reads;
  if (!this->up) {
    PlatformResult result;
    result.kind = read.kind;
    answer(result);
    return;
  }
  if (read.kind == PlatformReadKind::kReadHosts) {
    answer(this->Hosts());
    return;
  }
  const auto watch = std::make_shared<Watch>();
  watch->since = read.since;
  watch->answer = answer;
  if (this->stale_revision) {
    this->link.Schedule(std::min(read.wait, kStaleAnswerDelay),
                        [this, watch] { this->AnswerWatch(*watch); });
    return;
  }
  if (this->revision > read.since || read.wait.count() == 0) {
    this->AnswerWatch(*watch);
    return;
  }
  this->watches.push_back(watch);
  this->link.Schedule(read.wait, [this, watch] { this->AnswerWatch(*watch); });
}

void FakePlatform::AnswerWatch(Watch& watch) {
  if (std::exchange(watch.done, true)) {
    return;
  }
  PlatformResult result;
  result.kind = PlatformReadKind::kWatchContracts;
  if (this->up) {
    result = this->ContractsSince(watch.since);
  }
  watch.answer(result);
}

PlatformResult FakePlatform::ContractsSince(ContractVersion since) const {
  PlatformResult result;
  result.kind = PlatformReadKind::kWatchContracts;
  result.ok = true;
  result.revision = this->stale_revision.value_or(this->revision);
  // A service that reverted to an older state answers with all of that state.
  const ContractVersion after = result.revision < since ? 0 : since;
  std::map<std::string, ContractValue> values;
  for (const ContractValue& value : this->log) {
    if (value.version > after && value.version <= result.revision) {
      values[value.customer] = value;
    }
  }
  for (auto& [customer, value] : values) {
    result.values.push_back(std::move(value));
  }
  return result;
}

PlatformResult FakePlatform::Hosts() const {
  PlatformResult result;
  result.kind = PlatformReadKind::kReadHosts;
  result.ok = true;
  const auto after = this->hosts.upper_bound(this->link.Now() - this->host_lag);
  if (after != this->hosts.begin()) {
    result.hosts = std::prev(after)->second;
  } else if (!this->hosts.empty()) {
    result.hosts = after->second;
  }
  return result;
}

}  // namespace cactuscross::testing
