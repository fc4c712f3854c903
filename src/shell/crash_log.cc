#include "src/shell/crash_log.h"

#include <execinfo.h>
#include <link.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstddef>
#include <cstdint>

namespace cactuscross {
namespace {

constexpr int kMaxFrames = 32;
constexpr std::array kSignals = {SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT};
constexpr std::size_t kMaxNodeBytes = 128;
constexpr std::size_t kMaxLineBytes = 1024;

// Everything that the handler reads is prepared here, because it may neither
// allocate memory nor take locks.
struct CrashContext {
  std::uintptr_t load_address = 0;         // of the program's file
  std::array<char, kMaxNodeBytes> node{};  // as JSON text
  std::size_t node_bytes = 0;
  int descriptor = STDERR_FILENO;
};

CrashContext context;

// Fixed buffer for the line.
class LineBuffer {
 public:
  void Append(std::string_view text) {
    const std::size_t count =
        std::min(text.size(), this->bytes.size() - this->size);
    std::copy_n(text.begin(), count, this->bytes.begin() + this->size);
    this->size += count;
  }

  void AppendNumber(std::uintptr_t number, unsigned base) {
    constexpr std::string_view kDigits = "0123456789abcdef";
    std::array<char, 20> digits{};
    std::size_t first = digits.size();
    do {
      digits[--first] = kDigits[number % base];
      number /= base;
    } while (number > 0);
    this->Append({digits.data() + first, digits.size() - first});
  }

  void Write(int descriptor) const {
    // Nothing can be done about a line that the reader does not take.
    [[maybe_unused]] const ssize_t written =
        write(descriptor, this->bytes.data(), this->size);
  }

 private:
  std::array<char, kMaxLineBytes> bytes{};
  std::size_t size = 0;
};

void LogCrash(int signal) {
  std::array<void*, kMaxFrames> frames{};
  const int count = backtrace(frames.data(), kMaxFrames);
  LineBuffer line;
  line.Append(R"({"severity":"fatal","node":)");
  line.Append({context.node.data(), context.node_bytes});
  line.Append(R"(,"category":"process","message":"crashed","fields":{)");
  line.Append(R"("signal":)");
  line.AppendNumber(static_cast<std::uintptr_t>(signal), 10);
  line.Append(R"(,"stack":[)");
  for (int i = 0; i < count; ++i) {
    line.Append(i == 0 ? "\"0x" : ",\"0x");
    line.AppendNumber(reinterpret_cast<std::uintptr_t>(
                          frames.at(static_cast<std::size_t>(i))) -
                          context.load_address,
                      16);
    line.Append("\"");
  }
  line.Append("]}}\n");
  line.Write(context.descriptor);
  // SA_RESETHAND has restored the default action, which ends the process.
  raise(signal);
}

int FindLoadAddress(dl_phdr_info* info, std::size_t /*size*/, void* address) {
  *static_cast<std::uintptr_t*>(address) = info->dlpi_addr;
  return 1;  // the first object is the program itself
}

}  // namespace

void InstallCrashLog(std::string_view node_json, int descriptor) {
  const std::string_view node =
      node_json.size() <= kMaxNodeBytes ? node_json : "null";
  std::copy(node.begin(), node.end(), context.node.begin());
  context.node_bytes = node.size();
  context.descriptor = descriptor;
  dl_iterate_phdr(FindLoadAddress, &context.load_address);
  // The first call loads a library, which a signal handler must not do.
  std::array<void*, 1> frame{};
  backtrace(frame.data(), static_cast<int>(frame.size()));
  struct sigaction action {};
  action.sa_handler = LogCrash;
  action.sa_flags = static_cast<int>(SA_RESETHAND | SA_NODEFER);
  for (const int signal : kSignals) {
    sigaction(signal, &action, nullptr);
  }
}

}  // namespace cactuscross
