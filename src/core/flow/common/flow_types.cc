#include "cactuscross/flow_types.h"

#include <xxhash.h>

#include <algorithm>
#include <array>

#include "cactuscross/flow_event.h"
#include "cactuscross/flow_view.h"

namespace cactuscross {

std::string ToString(const FlowKey& key) {
  return ToString(key.client) + ">" + ToString(key.service_address);
}

ServerKey MakeServerKey(std::string_view name) {
  return ServerKey{XXH3_64bits(name.data(), name.size())};
}

bool NamesService(const FlowRoute& route, ServiceId service) {
  return std::any_of(route.services.begin(), route.services.end(),
                     [service](const ServiceShare& share) {
                       return share.service == service;
                     });
}

// Names in the order of the enumerators. Logs and metrics carry them, so a name
// stays even where its enumerator is called differently.
std::string_view NameOf(FlowEventKind kind) {
  static constexpr std::array<std::string_view, kFlowEventKinds> kNames = {
      "placed",
      "replaced",
      "accepted",
      "waiting",
      "refused",
      "no_route",
      "searching",
      "found",
      "lost",
      "search_gave_up",
      "disowned",
      "server_down",
      "server_up",
      "server_doubted",
      "server_trusted",
      "server_listed",
      "server_changed",
      "server_unlisted",
      "entry_unreadable",
      "routes_in_force",
      "store_lost",
      "store_regained",
      "store_restored",
      "store_era_unknown",
      "ready",
      "not_ready",
      "stopping",
      "zone_evacuated",
      "zone_returned",
      "admission_changed",
      "server_ended",
  };
  return kNames.at(static_cast<std::size_t>(kind));
}

}  // namespace cactuscross
