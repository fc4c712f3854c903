#include "src/shell/system.h"

#include <sys/eventfd.h>
#include <sys/random.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cstring>

#include "src/config/contract_parser.h"

namespace cactuscross {
namespace {

// Fills `size` bytes from the operating system's random number generator.
void FillRandom(void* bytes, std::size_t size) {
  if (getrandom(bytes, size, 0) != static_cast<ssize_t>(size)) {
    std::abort();
  }
}

}  // namespace

TimePoint MonotonicNow() {
  const auto since_start = std::chrono::steady_clock::now().time_since_epoch();
  return TimePoint(std::chrono::duration_cast<Duration>(since_start));
}

Incarnation WallClockMicroseconds() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return Incarnation{static_cast<std::uint64_t>(
      std::chrono::duration_cast<Duration>(since_epoch).count())};
}

CoreDependencies MakeCoreDependencies() {
  CoreDependencies dependencies;
  dependencies.parse_contract = ParseContractToFirstError;
  dependencies.incarnation = WallClockMicroseconds();
  FillRandom(&dependencies.seed, sizeof(dependencies.seed));
  FillRandom(dependencies.ticket_key.data(), dependencies.ticket_key.size());
  return dependencies;
}

void FileDescriptor::Close() {
  if (this->fd >= 0) {
    close(std::exchange(this->fd, -1));
  }
}

WakeEvent::WakeEvent() : event(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {}

void WakeEvent::Notify() const {
  const std::uint64_t one = 1;
  // The write fails only if the counter is full, and a full counter is readable
  // as well.
  static_cast<void>(!write(this->event.Get(), &one, sizeof(one)));
}

void WakeEvent::Drain() const {
  std::uint64_t count = 0;
  static_cast<void>(!read(this->event.Get(), &count, sizeof(count)));
}

StopSignal::StopSignal(SighupAction sighup_action) {
  std::signal(SIGPIPE, SIG_IGN);
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  if (sighup_action == SighupAction::kReload) {
    sigaddset(&set, SIGHUP);
  }
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
  this->signals =
      FileDescriptor(signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC));
}

bool StopSignal::Check() {
  signalfd_siginfo info{};
  while (read(this->signals.Get(), &info, sizeof(info)) ==
         static_cast<ssize_t>(sizeof(info))) {
    (info.ssi_signo == SIGHUP ? this->reload_requested : this->stopped) = true;
  }
  return this->stopped;
}

}  // namespace cactuscross
