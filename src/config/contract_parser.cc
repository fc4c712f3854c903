#include "src/config/contract_parser.h"

#include <string>

#include "src/config/entity_reader.h"
#include "src/config/value_parser.h"
#include "src/config/yaml_document.h"

namespace cactuscross {
namespace {

void CheckCustomer(FieldReport& report,
                   std::string_view key,
                   const YAML::Node& root,
                   const Contract& contract) {
  if (!key.empty() && !contract.customer.empty() && contract.customer != key) {
    report.Add(
        ResultCode::kKeyMismatch, root["customer"],
        "'customer': this contract has the key " + QuoteText(key) +
            " in the configuration service; use the same name in both places");
  }
}

// The queue time must not exceed the deadline; otherwise a request could pass
// its deadline while it waits in the queue.
void CheckTimes(FieldReport& report,
                const YAML::Node& node,
                const ContractService& service) {
  if (service.limits.queue_time > service.limits.deadline) {
    report.Add(ResultCode::kOutOfBounds, node,
               "service '" + service.name +
                   "': 'queue_time_ms' exceeds 'deadline_ms'; write at most "
                   "the deadline");
  }
}

void FillIdentity(const Contract& contract, ContractService& service) {
  service.full_name = contract.customer + "/" + service.name;
  service.id = MakeServiceId(service.full_name);
}

}  // namespace

tl::expected<Contract, std::vector<Error>> ParseContract(
    std::string_view key,
    std::string_view text) {
  const auto root = LoadYaml(text);
  if (!root) {
    return tl::unexpected(std::vector<Error>{root.error()});
  }
  FieldReport report;
  Contract contract;
  ReadEntity(report, *root, contract);
  CheckCustomer(report, key, *root, contract);
  for (std::size_t i = 0; i < contract.services.size(); ++i) {
    CheckTimes(report, (*root)["services"][i], contract.services[i]);
    FillIdentity(contract, contract.services[i]);
  }
  if (report.HasErrors()) {
    return tl::unexpected(report.TakeErrors());
  }
  return contract;
}

tl::expected<Contract, Error> ParseContractToFirstError(std::string_view key,
                                                        std::string_view text) {
  return ParseContract(key, text).map_error(
      [](const std::vector<Error>& errors) { return errors.front(); });
}

}  // namespace cactuscross
