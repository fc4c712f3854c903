#include "src/core/common/decision_log.h"

#include <iterator>
#include <utility>

#include <boost/algorithm/hex.hpp>

namespace cactuscross {
namespace {

bool Matches(const DecisionQuery& query, const Decision& decision) {
  const Endpoint& caller = query.caller;
  if (caller.address != 0 && caller.address != decision.caller.address) {
    return false;
  }
  if (caller.port != 0 && caller.port != decision.caller.port) {
    return false;
  }
  return query.token.empty() || query.token == decision.token;
}

}  // namespace

void DecisionLog::Add(Decision decision) {
  this->decisions.push_back(std::move(decision));
}

std::vector<Decision> DecisionLog::Find(const DecisionQuery& query) const {
  std::vector<Decision> found;
  for (auto it = this->decisions.rbegin();
       it != this->decisions.rend() && found.size() < query.max_count; ++it) {
    if (Matches(query, *it)) {
      found.push_back(*it);
    }
  }
  return found;
}

std::string ToHex(ByteView bytes) {
  std::string text;
  boost::algorithm::hex_lower(bytes.begin(), bytes.end(),
                              std::back_inserter(text));
  return text;
}

}  // namespace cactuscross
