#include "src/core/control/service_index.h"

#include <algorithm>

namespace cactuscross {

void ServiceIndex::Add(const ActiveContract& active) {
  for (const ContractService& service : active.contract.services) {
    const ServiceView view{&active, &service};
    this->by_id[service.id] = view;
    for (const Endpoint& address : service.addresses) {
      Claims& claims = this->by_address[address];
      claims[active.contract.customer] = view;
      if (claims.size() > 1) {
        this->conflicted.insert(address);
      }
    }
  }
}

void ServiceIndex::Remove(const ActiveContract& active) {
  for (const ContractService& service : active.contract.services) {
    this->by_id.erase(service.id);
    for (const Endpoint& address : service.addresses) {
      const auto found = this->by_address.find(address);
      if (found == this->by_address.end()) {
        continue;
      }
      found->second.erase(active.contract.customer);
      if (found->second.size() < 2) {
        this->conflicted.erase(address);
      }
      if (found->second.empty()) {
        this->by_address.erase(found);
      }
    }
  }
}

ServiceView ServiceIndex::FindByAddress(const Endpoint& address) const {
  const auto found = this->by_address.find(address);
  if (found == this->by_address.end()) {
    return {};
  }
  return found->second.begin()->second;
}

ServiceView ServiceIndex::FindById(ServiceId service) const {
  const auto found = this->by_id.find(service);
  return found == this->by_id.end() ? ServiceView{} : found->second;
}

std::vector<Endpoint> ServiceIndex::Addresses() const {
  std::vector<Endpoint> addresses;
  addresses.reserve(this->by_address.size());
  for (const auto& [address, claims] : this->by_address) {
    addresses.push_back(address);
  }
  std::sort(addresses.begin(), addresses.end());
  return addresses;
}

}  // namespace cactuscross
