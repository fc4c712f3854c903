#ifndef CACTUSCROSS_SRC_SHELL_SYSTEM_H_
#define CACTUSCROSS_SRC_SHELL_SYSTEM_H_

// What the shell takes from the operating system for the core: clocks, random
// bytes, signals, and descriptors that close themselves.

#include <utility>

#include "cactuscross/core_dependencies.h"
#include "cactuscross/types.h"

namespace cactuscross {

// Monotonic time since the host's start.
TimePoint MonotonicNow();

// Microseconds since 1970, as the incarnation of a process.
Incarnation WallClockMicroseconds();

// Dependencies of a core: contract parser, incarnation, and seed and ticket key
// from the system's random source. Aborts if that source fails.
CoreDependencies MakeCoreDependencies();

// A file descriptor that is closed with its owner.
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

// Wakes a thread that polls: Notify() from any thread makes Get() readable
// until Drain().
class WakeEvent {
 public:
  WakeEvent();
  void Notify() const;
  void Drain() const;
  int Get() const { return this->event.Get(); }

 private:
  FileDescriptor event;
};

// What SIGHUP does.
enum class SighupAction : std::uint8_t {
  kTerminate,  // the system's default
  kReload,     // see StopSignal::TakeReloadRequest()
};

// SIGTERM and SIGINT as a descriptor. To be made before any other thread, so
// that all inherit the blocked signals. Ignores SIGPIPE.
class StopSignal {
 public:
  explicit StopSignal(SighupAction sighup_action = SighupAction::kTerminate);
  // True once one of the signals arrived.
  bool Check();
  // True once for each SIGHUP that Check() has seen.
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
