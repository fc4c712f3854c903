#include "cactuscross/types.h"

#include <xxhash.h>

namespace cactuscross {

std::string ToString(const Endpoint& endpoint) {
  std::string text;
  for (int shift = 24; shift >= 0; shift -= 8) {
    text += std::to_string((endpoint.address >> static_cast<unsigned>(shift)) &
                           0xFFU);
    text += shift > 0 ? '.' : ':';
  }
  return text + std::to_string(endpoint.port);
}

ServiceId MakeServiceId(std::string_view full_name) {
  return ServiceId{XXH3_64bits(full_name.data(), full_name.size())};
}

}  // namespace cactuscross
