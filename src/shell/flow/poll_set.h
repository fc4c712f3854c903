#ifndef CACTUSCROSS_SRC_SHELL_FLOW_POLL_SET_H_
#define CACTUSCROSS_SRC_SHELL_FLOW_POLL_SET_H_

// The descriptors that an event loop waits for, and which of them are ready.
// Only these are read, so that an idle descriptor costs no system call.

#include <poll.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace cactuscross {

class PollSet {
 public:
  // Waits until one of `descriptors` is ready, at most `timeout_ms`.
  void Wait(std::vector<pollfd> descriptors, int timeout_ms) {
    this->entries = std::move(descriptors);
    if (poll(this->entries.data(), this->entries.size(), timeout_ms) <= 0) {
      this->entries.clear();
    }
  }

  // True if the last Wait() found the descriptor readable, writable or failed.
  bool IsReady(int descriptor) const {
    return std::any_of(this->entries.begin(), this->entries.end(),
                       [descriptor](const pollfd& entry) {
                         return entry.fd == descriptor && entry.revents != 0;
                       });
  }

 private:
  std::vector<pollfd> entries;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_SHELL_FLOW_POLL_SET_H_
