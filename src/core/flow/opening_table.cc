#include "src/core/flow/opening_table.h"

#include <algorithm>

namespace cactuscross {
namespace {

// New flows in doubt at once: letter 1 plans 120 a second for each balancer,
// and a client gives up after 1.4 s.
constexpr std::size_t kMaxOpenings = 4096;

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

std::vector<FlowKey> OpeningTable::Overdue(TimePoint now,
                                           Duration patience) const {
  std::vector<FlowKey> overdue;
  for (const auto& [flow, opening] : this->openings) {
    if (!opening.waiting && now - opening.asked_at >= patience) {
      overdue.push_back(flow);
    }
  }
  return overdue;
}

std::vector<FlowKey> OpeningTable::Waiting() const {
  std::vector<const Opening*> waiting;
  for (const auto& [flow, opening] : this->openings) {
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
  for (const auto& [flow, opening] : this->openings) {
    if (opening.waiting && now - opening.began_at >= kMostWait) {
      flows.push_back(flow);
    }
  }
  return flows;
}

}  // namespace cactuscross
