#include "src/core/flow/view/store_reader_election.h"

#include <algorithm>
#include <limits>

namespace cactuscross {
namespace {

// Two, so that the loss of one causes no gap.
constexpr std::size_t kDesignatedReaders = 2;
// Successors are known in advance in case a designated reader fails.
constexpr std::size_t kMaxKnownReaders = 4;
// A reader's calls are answered at least every 1.2 s, or 1.5 s by a slow store,
// and the answers reach the other balancers within two digest intervals (0.8
// s). New routes must be in force within 3 s.
constexpr Duration kReaderTimeout{2300000};
// Time in which the digest of a new reader reaches all balancers, divided by
// their number.
constexpr Duration kVolunteerDelayPerPeer{20000};

// The readers with the lowest ranks are designated. Hashing the address spreads
// them over the fleet.
std::uint64_t RankOf(const Endpoint& control) {
  return EndpointHash()(control);
}

}  // namespace

bool StoreReaderElection::Note(TimePoint now,
                               const std::vector<ReaderStatus>& statuses) {
  const std::vector<Endpoint> before = this->DesignatedAddresses();
  for (const ReaderStatus& status : statuses) {
    const TimePoint answered_at = now - status.age;
    if (status.control == this->own_control || status.age > kReaderTimeout) {
      continue;
    }
    const auto known = std::find_if(this->readers.begin(), this->readers.end(),
                                    [&status](const Reader& reader) {
                                      return reader.control == status.control;
                                    });
    if (known != this->readers.end()) {
      known->answered_at = std::max(known->answered_at, answered_at);
    } else {
      this->readers.push_back({status.control, answered_at});
    }
  }
  this->Expire(now);
  std::sort(this->readers.begin(), this->readers.end(),
            [](const Reader& a, const Reader& b) {
              return RankOf(a.control) < RankOf(b.control);
            });
  if (this->readers.size() > kMaxKnownReaders) {
    this->readers.resize(kMaxKnownReaders);
  }
  return this->DesignatedAddresses() != before;
}

bool StoreReaderElection::Update(TimePoint now,
                                 const ReaderElectionInput& input) {
  this->Expire(now);
  this->own_answered_at = input.answered_at;
  const bool answered = this->reading && input.answered_at != TimePoint() &&
                        now - input.answered_at <= kReaderTimeout;
  if (answered) {
    const auto lower_ranks = std::count_if(
        this->readers.begin(), this->readers.end(),
        [this](const Reader& reader) {
          return RankOf(reader.control) < RankOf(this->own_control);
        });
    this->reading = static_cast<std::size_t>(lower_ranks) < kDesignatedReaders;
    this->missing_since = TimePoint();
  } else if (input.confirmed && this->readers.size() >= kDesignatedReaders) {
    this->reading = false;
    this->missing_since = TimePoint();
  } else if (!this->reading) {
    if (this->missing_since == TimePoint()) {
      this->missing_since = now;
    }
    this->reading =
        now - this->missing_since >= this->VolunteerDelay(input.live_peers);
  }
  return this->reading;
}

std::vector<ReaderStatus> StoreReaderElection::DesignatedReaders(
    TimePoint now) const {
  std::vector<Reader> active = this->readers;
  if (this->reading && this->own_answered_at != TimePoint() &&
      now - this->own_answered_at <= kReaderTimeout) {
    active.push_back({this->own_control, this->own_answered_at});
    std::sort(active.begin(), active.end(),
              [](const Reader& a, const Reader& b) {
                return RankOf(a.control) < RankOf(b.control);
              });
  }
  std::vector<ReaderStatus> statuses;
  for (const Reader& reader : active) {
    if (statuses.size() < kDesignatedReaders) {
      statuses.push_back({reader.control, now - reader.answered_at});
    }
  }
  return statuses;
}

void StoreReaderElection::Expire(TimePoint now) {
  this->readers.erase(std::remove_if(this->readers.begin(), this->readers.end(),
                                     [now](const Reader& reader) {
                                       return now - reader.answered_at >
                                              kReaderTimeout;
                                     }),
                      this->readers.end());
}

std::vector<Endpoint> StoreReaderElection::DesignatedAddresses() const {
  std::vector<Endpoint> addresses;
  for (const Reader& reader : this->readers) {
    if (addresses.size() < kDesignatedReaders) {
      addresses.push_back(reader.control);
    }
  }
  return addresses;
}

Duration StoreReaderElection::VolunteerDelay(std::size_t live_peers) const {
  const double share =
      static_cast<double>(RankOf(this->own_control)) /
      static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  const double spread_us = static_cast<double>(kVolunteerDelayPerPeer.count()) *
                           static_cast<double>(live_peers);
  return Duration(static_cast<Duration::rep>(share * spread_us));
}

}  // namespace cactuscross
