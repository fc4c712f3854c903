#ifndef CACTUSCROSS_SRC_CORE_CONTROL_CONFIG_SERVICE_READER_H_
#define CACTUSCROSS_SRC_CORE_CONTROL_CONFIG_SERVICE_READER_H_

// Reads contracts from the configuration service with one long poll at a time,
// and with backoff and jitter after failures. ReaderElection decides whether
// this process reads.

#include <cstdint>
#include <optional>
#include <vector>

#include "cactuscross/platform_message.h"
#include "src/core/control/control_random.h"

namespace cactuscross {

struct ConfigServiceReaderCounts {
  std::uint64_t reads = 0;
  std::uint64_t failures = 0;
  std::uint64_t stale_answers = 0;  // answers with a lower revision than before
};

class ConfigServiceReader {
 public:
  // `mean_interval`: mean time from an answer to the next read.
  ConfigServiceReader(Duration mean_interval, ControlRandom& random)
      : mean_interval(mean_interval), random(random) {}

  // Starts reading. All contracts up to revision `since` are already known.
  void Start(TimePoint now, ContractVersion since);
  void Stop() { this->reading = false; }
  bool Reading() const { return this->reading; }

  // Makes the next read return all contracts without waiting for a change.
  void ReadAll() { this->read_all = true; }

  // Answers to reads that are outstanding now no longer prove that the view is
  // fresh. The next read does not wait for a change.
  void InvalidateOutstanding();

  // Returns true if the service answered a read that proves a fresh view.
  bool HandleResult(TimePoint now, const PlatformResult& result);

  void Tick(TimePoint now, std::vector<PlatformRead>& reads);

  std::optional<TimePoint> LastSuccess() const { return this->last_success; }
  bool Failing() const { return this->failures > 0; }
  ContractVersion Revision() const { return this->revision; }
  const ConfigServiceReaderCounts& Counts() const { return this->counts; }

 private:
  void NoteFailure(TimePoint now);

  Duration mean_interval;
  ControlRandom& random;
  bool reading = false;
  bool read_all = false;
  bool read_proves_fresh = true;
  bool skip_wait = false;
  bool outstanding = false;
  TimePoint sent{};
  TimePoint next_read{};
  ContractVersion revision = 0;  // highest known
  unsigned failures = 0;         // consecutive
  std::optional<TimePoint> last_success;
  ConfigServiceReaderCounts counts;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_CONTROL_CONFIG_SERVICE_READER_H_
