#include "src/core/flow/opening_table.h"

#include <algorithm>

namespace cactuscross {
namespace {

// A client gives an opening up after 1.4 s; it is told before, so that it can
// try again.
constexpr Duration kMostWait{1200000};

// A copy may be this much late on its way.
constexpr Duration kCopyLateness{50000};

bool CameHere(const Opening& opening, std::size_t copy) {
  return (opening.copies >> copy & 1U) != 0;
}

}  // namespace

void NoteCopy(Opening& opening, std::uint32_t copy) {
  opening.copies |= 1U << std::min<std::size_t>(copy, kCopyAges.size() - 1);
}

bool HasAllCopies(TimePoint now, const Opening& opening) {
  // Without the first copy the time of the others is not known.
  if (!CameHere(opening, 0)) {
    return false;
  }
  for (std::size_t copy = 1; copy < kCopyAges.size(); ++copy) {
    const bool sent = now - opening.began_at >= kCopyAges[copy] + kCopyLateness;
    if (sent && !CameHere(opening, copy)) {
      return false;
    }
  }
  return true;
}

std::vector<FlowKey> OpeningTable::Waiting() const {
  std::vector<const Opening*> waiting;
  for (const auto& [flow, opening] : this->entries) {
    if (opening.waiting) {
      waiting.push_back(&opening);
    }
  }
  std::sort(waiting.begin(), waiting.end(),
            [](const Opening* a, const Opening* b) {
              return a->request_began_at > b->request_began_at;
            });
  std::vector<FlowKey> flows;
  flows.reserve(waiting.size());
  for (const Opening* opening : waiting) {
    flows.push_back(opening->flow);
  }
  return flows;
}

std::vector<FlowKey> OpeningTable::WaitedTooLong(TimePoint now) const {
  std::vector<FlowKey> flows;
  for (const auto& [flow, opening] : this->entries) {
    if (opening.waiting && now - opening.began_at >= kMostWait) {
      flows.push_back(flow);
    }
  }
  return flows;
}

}  // namespace cactuscross
