#ifndef CACTUSCROSS_SRC_CORE_CONTROL_CONFIG_SERVICE_READER_H_
#define CACTUSCROSS_SRC_CORE_CONTROL_CONFIG_SERVICE_READER_H_

// Reads contracts from the configuration service: one long poll at a time,
// with backoff and jitter while it fails. Others decide when it is to read.

#include <cstdint>
#include <optional>
#include <vector>

#include "cactuscross/platform_message.h"
#include "src/core/control/control_random.h"

namespace cactuscross {

struct ConfigServiceReaderCounts {
  std::uint64_t reads = 0;
  std::uint64_t failures = 0;
  std::uint64_t stale_answers = 0;  // revision below one read before
};

class ConfigServiceReader {
 public:
  // `mean_interval`: mean time from an answer to the next read.
  ConfigServiceReader(Duration mean_interval, ControlRandom& random)
      : mean_interval(mean_interval), random(random) {}

  // Takes over reading; `since` is a revision below which nothing is missing.
  void Start(TimePoint now, ContractVersion since);
  void Stop() { this->reading = false; }
  bool Reading() const { return this->reading; }

  // The next read answers at once and returns everything.
  void ReadAll() { this->read_all = true; }

  // Answers to reads that are out now no longer prove that the view is fresh;
  // the next read does not wait for a change.
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
  ContractVersion revision = 0;
  unsigned failures = 0;
  std::optional<TimePoint> last_success;
  ConfigServiceReaderCounts counts;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_CONTROL_CONFIG_SERVICE_READER_H_
