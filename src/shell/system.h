#ifndef CACTUSCROSS_SRC_SHELL_SYSTEM_H_
#define CACTUSCROSS_SRC_SHELL_SYSTEM_H_

// Wrappers of operating system services: clocks, random bytes, signals and file
// descriptors with automatic closing.

#include <utility>

#include "cactuscross/core_dependencies.h"
#include "cactuscross/types.h"

namespace cactuscross {

// Monotonic clock; the epoch is the start of the host.
TimePoint MonotonicNow();

// Microseconds since the Unix epoch, used as the incarnation of a process.
Incarnation WallClockMicroseconds();

// Returns the dependencies that are injected into a core: contract parser,
// incarnation, random seed and ticket key. Seed and key come from the operating
// system's random number generator; aborts if that fails.
CoreDependencies MakeCoreDependencies();

// Owns a file descriptor and closes it on destruction.
class FileDescriptor {
 public:
  FileDescriptor() = default;
  explicit FileDescriptor(int fd) : fd(fd) {}
  ~FileDescriptor() { this->Close(); }
  FileDescriptor(const FileDescriptor&) = delete;
  FileDescriptor& operator=(const FileDescriptor&) = delete;
  FileDescriptor(FileDescriptor&& other) noexcept
      : fd(std::exchange(other.fd, -1)) {}
  FileDescriptor& operator=(FileDescriptor&& other) noexcept {
    std::swap(this->fd, other.fd);
    return *this;
  }

  int Get() const { return this->fd; }
  bool IsOpen() const { return this->fd >= 0; }
  void Close();

 private:
  int fd = -1;
};

// Wakes a thread that is blocked in poll(). Notify(), which any thread may
// call, makes the descriptor Get() readable until Drain() is called.
class WakeEvent {
 public:
  WakeEvent();
  void Notify() const;
  void Drain() const;
  int Get() const { return this->event.Get(); }

 private:
  FileDescriptor event;
};

// Effect of SIGHUP on the process.
enum class SighupAction : std::uint8_t {
  kTerminate,  // default action of the operating system
  kReload,     // reported by StopSignal::TakeReloadRequest()
};

// Reports SIGTERM, SIGINT and optionally SIGHUP through a signalfd descriptor.
// Must be created before any other thread starts, so that all threads inherit
// the blocked signals. Also ignores SIGPIPE.
class StopSignal {
 public:
  explicit StopSignal(SighupAction sighup_action = SighupAction::kTerminate);
  // Reads pending signals. Returns true once SIGTERM or SIGINT has arrived.
  bool Check();
  // Returns true if Check() has read a SIGHUP since the last call.
  bool TakeReloadRequest() {
    return std::exchange(this->reload_requested, false);
  }
  int Get() const { return this->signals.Get(); }

 private:
  FileDescriptor signals;
  bool stopped = false;
  bool reload_requested = false;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_SHELL_SYSTEM_H_
