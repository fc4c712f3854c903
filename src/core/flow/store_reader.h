#ifndef CACTUSCROSS_SRC_CORE_FLOW_STORE_READER_H_
#define CACTUSCROSS_SRC_CORE_FLOW_STORE_READER_H_

// Reads one subject of the store: a list first, then watches; a list again
// where the store's history does not reach back far enough.

#include <cstdint>
#include <optional>
#include <string>

#include "cactuscross/flow_view.h"

namespace cactuscross {

class StoreReader {
 public:
  StoreReader(StoreSubject subject, std::uint64_t seed);

  // The next call to make, if one is due. While the store leaves calls
  // unanswered, more of them are open side by side: the first answer counts.
  std::optional<StoreCall> NextCall(TimePoint now);

  // Notes how a call ended. False if a later call was answered before: the
  // answer is then of no use.
  bool RecordAnswer(TimePoint now, const StoreAnswer& answer);

  // Revision of the store up to which all changes were read; 0: none.
  std::uint64_t CompleteRevision() const {
    return this->loaded ? this->watch_revision : 0;
  }
  // Begins anew with a list: changes may have been missed.
  void StartOver();

  // True once a whole list was read.
  bool IsLoaded() const { return this->loaded; }
  // True if the last answer was the last page of a list.
  bool FinishedList() const { return this->finished_list; }
  // Revision that the list is complete up to.
  std::uint64_t ListRevision() const { return this->list_revision; }
  // False while calls fail.
  bool IsReachable() const { return this->failures == 0; }
  std::uint32_t Failures() const { return this->failures; }
  // Last answer that was usable.
  TimePoint AnsweredAt() const { return this->answered_at; }

 private:
  // True for lists, and for watches that only test whether the store is back.
  bool ExpectsImmediateAnswer() const;
  bool MayCall(TimePoint now) const;
  // Lets go of calls that are still open.
  void InvalidateOpenCalls();
  void NoteFailure(TimePoint now, const StoreAnswer& answer);

  const StoreSubject subject;
  std::uint64_t random_state;
  std::uint32_t calls_in_flight = 0;
  // Answers to calls from before are of no use: a list or watch has moved on.
  std::uint32_t generation = 0;
  TimePoint called_at;
  bool loaded = false;
  bool listing = true;
  bool finished_list = false;
  std::string page_after;
  std::uint64_t list_revision = 0;   // at the first page of the open list
  std::uint64_t watch_revision = 0;  // watches continue from it
  TimePoint next_call_at;
  TimePoint answered_at;
  std::uint32_t failures = 0;  // in a row
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_FLOW_STORE_READER_H_
