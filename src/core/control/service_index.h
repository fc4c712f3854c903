#ifndef CACTUSCROSS_SRC_CORE_CONTROL_SERVICE_INDEX_H_
#define CACTUSCROSS_SRC_CORE_CONTROL_SERVICE_INDEX_H_

// Index of the services in force by address and by identifier.

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "cactuscross/types.h"
#include "src/core/control/control_plane.h"

namespace cactuscross {

class ServiceIndex {
 public:
  // Adds or removes the services of `active`, whose address in memory must not
  // change in between.
  void Add(const ActiveContract& active);
  void Remove(const ActiveContract& active);

  // If several customers claim one address, the first by name owns it, so that
  // all processes agree whatever the order of arrival.
  ServiceView FindByAddress(const Endpoint& address) const;
  ServiceView FindById(ServiceId service) const;

  // Returns all addresses in ascending order.
  std::vector<Endpoint> Addresses() const;

  // Returns the number of addresses claimed by more than one customer.
  std::size_t Conflicts() const { return this->conflicted.size(); }

 private:
  using Claims = std::map<std::string, ServiceView>;

  std::unordered_map<Endpoint, Claims, EndpointHash> by_address;
  std::map<ServiceId, ServiceView> by_id;
  std::set<Endpoint> conflicted;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_CONTROL_SERVICE_INDEX_H_
