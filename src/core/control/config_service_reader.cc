#include "src/core/control/config_service_reader.h"

#include <algorithm>

#include "src/core/control/control_limits.h"

namespace cactuscross {

void ConfigServiceReader::Start(TimePoint now, ContractVersion since) {
  if (this->reading) {
    return;
  }
  this->reading = true;
  this->revision = std::max(this->revision, since);
  this->next_read = std::max(this->next_read, now);
}

void ConfigServiceReader::InvalidateOutstanding() {
  this->read_proves_fresh = false;
  this->skip_wait = true;
}

bool ConfigServiceReader::HandleResult(TimePoint now,
                                       const PlatformResult& result) {
  const bool proves_fresh = this->read_proves_fresh;
  this->outstanding = false;
  this->read_proves_fresh = true;
  if (!result.ok) {
    this->NoteFailure(now);
    return false;
  }
  this->failures = 0;
  this->last_success = now;
  this->next_read =
      this->skip_wait ? now : now + this->random.Jittered(this->mean_interval);
  if (result.revision < this->revision) {
    ++this->counts.stale_answers;
  } else {
    this->revision = result.revision;
  }
  return proves_fresh;
}

void ConfigServiceReader::NoteFailure(TimePoint now) {
  ++this->counts.failures;
  const Duration backoff = std::min<Duration>(
      kMaxBackoff, kInitialBackoff * (1 << std::min(this->failures, 10U)));
  ++this->failures;
  this->next_read = now + this->random.Jittered(backoff);
}

void ConfigServiceReader::Tick(TimePoint now,
                               std::vector<PlatformRead>& reads) {
  if (this->outstanding &&
      now - this->sent > kLongPollWait + kPlatformReadTimeout) {
    this->outstanding = false;
    this->NoteFailure(now);
  }
  const bool should_read = this->reading || this->read_all;
  if (!should_read || this->outstanding || now < this->next_read) {
    return;
  }
  PlatformRead read;
  read.kind = PlatformReadKind::kWatchContracts;
  if (!this->read_all) {
    read.since = this->revision;
    read.wait = this->skip_wait ? Duration(0) : kLongPollWait;
  }
  this->read_all = false;
  this->skip_wait = false;
  this->outstanding = true;
  this->read_proves_fresh = true;
  this->sent = now;
  ++this->counts.reads;
  reads.push_back(read);
}

}  // namespace cactuscross
