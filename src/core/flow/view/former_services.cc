#include "src/core/flow/view/former_services.h"

#include <algorithm>
#include <iterator>

namespace cactuscross {

void FormerServices::NoteReplaced(TimePoint now,
                                  const FlowRoute& previous,
                                  const FlowRoute& route) {
  for (const ServiceShare& share : previous.services) {
    if (!NamesService(route, share.service)) {
      Add(this->records[route.service_address], {share.service, now});
    }
  }
  this->RemoveNamed(route);
}

void FormerServices::Merge(TimePoint now, const FlowRoute& route) {
  for (const FormerService& former : route.former_services) {
    if (former.service == kNoService) {
      this->MergeKnownFor(now, former.age);
    } else {
      Add(this->records[route.service_address],
          {former.service, now - former.age});
    }
  }
  this->RemoveNamed(route);
}

void FormerServices::MergeKnownFor(TimePoint now, Duration known_for) {
  this->complete_since = std::min(this->complete_since, now - known_for);
}

Duration FormerServices::KnownFor(TimePoint now) const {
  return std::min(now - this->complete_since, this->flow_max_age);
}

void FormerServices::Expire(TimePoint now) {
  const auto is_expired = [this, now](const Record& record) {
    return now - record.last_named_at > this->flow_max_age;
  };
  for (auto entry = this->records.begin(); entry != this->records.end();) {
    Records& list = entry->second;
    list.erase(std::remove_if(list.begin(), list.end(), is_expired),
               list.end());
    entry = list.empty() ? this->records.erase(entry) : std::next(entry);
  }
}

std::vector<FormerService> FormerServices::Of(TimePoint now,
                                              const Endpoint& address) const {
  std::vector<FormerService> former;
  const auto found = this->records.find(address);
  if (found == this->records.end()) {
    return former;
  }
  for (const Record& record : found->second) {
    const Duration age = now - record.last_named_at;
    if (age <= this->flow_max_age) {
      former.push_back({record.service, age});
    }
  }
  return former;
}

void FormerServices::AppendServices(std::vector<ServiceId>& services) const {
  for (const auto& [address, list] : this->records) {
    for (const Record& record : list) {
      services.push_back(record.service);
    }
  }
}

std::vector<FormerService> FormerServices::ForPeer(
    TimePoint now,
    const Endpoint& address) const {
  std::vector<FormerService> former = this->Of(now, address);
  former.push_back({kNoService, this->KnownFor(now)});
  return former;
}

void FormerServices::Add(Records& records, const Record& added) {
  const auto found = std::find_if(records.begin(), records.end(),
                                  [&added](const Record& record) {
                                    return record.service == added.service;
                                  });
  if (found == records.end()) {
    records.push_back(added);
  } else {
    found->last_named_at = std::max(found->last_named_at, added.last_named_at);
  }
}

void FormerServices::RemoveNamed(const FlowRoute& route) {
  const auto found = this->records.find(route.service_address);
  if (found == this->records.end()) {
    return;
  }
  Records& list = found->second;
  list.erase(std::remove_if(list.begin(), list.end(),
                            [&route](const Record& record) {
                              return NamesService(route, record.service);
                            }),
             list.end());
}

}  // namespace cactuscross
