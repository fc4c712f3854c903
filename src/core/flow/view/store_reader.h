#ifndef CACTUSCROSS_SRC_CORE_FLOW_VIEW_STORE_READER_H_
#define CACTUSCROSS_SRC_CORE_FLOW_VIEW_STORE_READER_H_

// Reads one subject (routes or servers) from the store: first a list, then
// watches from the list's revision on. Lists again when the store has compacted
// the revision that the next watch needs.

#include <cstdint>
#include <optional>
#include <string>

#include "cactuscross/flow_view.h"

namespace cactuscross {

class StoreReader {
 public:
  StoreReader(StoreSubject subject, std::uint64_t seed);

  // Returns the next call if one is due. While the store leaves calls
  // unanswered, hedged calls are added in parallel; the first answer counts.
  std::optional<StoreCall> NextCall(TimePoint now);

  // Processes the answer to a call. Returns false if the answer belongs to an
  // earlier generation and must be ignored.
  bool RecordAnswer(TimePoint now, const StoreAnswer& answer);

  // Revision of the store up to which all changes have been read; 0: none.
  std::uint64_t CompleteRevision() const {
    return this->loaded ? this->watch_revision : 0;
  }
  // Restarts with a list because changes may have been missed.
  void StartOver();

  // True once a complete list has been read.
  bool IsLoaded() const { return this->loaded; }
  // True if the last answer was the last page of a list.
  bool FinishedList() const { return this->finished_list; }
  // Revision up to which the list is complete.
  std::uint64_t ListRevision() const { return this->list_revision; }
  // False while calls fail.
  bool IsReachable() const { return this->failures == 0; }
  std::uint32_t Failures() const { return this->failures; }
  // When the store last confirmed that everything up to its current revision
  // has been read; the epoch: never.
  TimePoint ConfirmedAt() const { return this->confirmed_at; }
  // Multiplies the time between two attempts while calls fail or are not
  // answered. At least 1.
  void SetRetryFactor(std::uint32_t factor) { this->retry_factor = factor; }

 private:
  // True for lists, and for watches without a long poll, which test whether the
  // store is reachable again.
  bool ExpectsImmediateAnswer() const;
  bool MayCall(TimePoint now) const;
  // Starts a new generation: answers to calls in flight become stale.
  void InvalidateOpenCalls();
  void NoteFailure(TimePoint now, const StoreAnswer& answer);

  const StoreSubject subject;
  std::uint64_t random_state;
  std::uint32_t calls_in_flight = 0;
  // Incremented when the list or watch advances; answers to calls of an earlier
  // generation are stale.
  std::uint32_t generation = 0;
  TimePoint called_at;
  bool loaded = false;
  bool listing = true;
  bool finished_list = false;
  std::string page_after;
  std::uint64_t list_revision = 0;   // at the first page of the current list
  std::uint64_t watch_revision = 0;  // watches continue from it
  TimePoint next_call_at;
  TimePoint confirmed_at;
  std::uint32_t retry_factor = 1;
  std::uint32_t failures = 0;  // consecutive
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_VIEW_STORE_READER_H_
