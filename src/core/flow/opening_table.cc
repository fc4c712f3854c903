#include "src/core/flow/opening_table.h"

namespace cactuscross {
namespace {

// New flows in doubt at once: letter 1 plans 120 a second for each balancer,
// and a client gives up after 1.4 s.
constexpr std::size_t kMaxOpenings = 4096;

// A server grants an opening within a millisecond; the rest is the way there
// and back, and a wait for the processor of two small hosts.
constexpr Duration kPatience{60000};

}  // namespace

Opening* OpeningTable::Find(const FlowKey& flow) {
  const auto found = this->openings.find(flow);
  return found == this->openings.end() ? nullptr : &found->second;
}

Opening* OpeningTable::Add(const FlowKey& flow) {
  if (this->openings.size() >= kMaxOpenings) {
    return nullptr;
  }
  Opening& opening = this->openings[flow];
  opening.flow = flow;
  return &opening;
}

std::vector<FlowKey> OpeningTable::Overdue(TimePoint now) const {
  std::vector<FlowKey> overdue;
  for (const auto& [flow, opening] : this->openings) {
    if (now - opening.asked_at >= kPatience) {
      overdue.push_back(flow);
    }
  }
  return overdue;
}

}  // namespace cactuscross
