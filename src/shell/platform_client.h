#ifndef CACTUSCROSS_SRC_SHELL_PLATFORM_CLIENT_H_
#define CACTUSCROSS_SRC_SHELL_PLATFORM_CLIENT_H_

// Reads the configuration service and the list of hosts in a thread of its own,
// since one answer may hold megabytes. Nothing is ever written there.

#include <mutex>
#include <string_view>
#include <thread>
#include <vector>

#include "cactuscross/platform_message.h"
#include "cactuscross/types.h"
#include "src/shell/system.h"

namespace cactuscross {

// Longest answer, bytes.
inline constexpr std::size_t kMaxPlatformResponseBytes = 32U << 20U;

// Parses the answer to GET /v1/contracts or /v1/hosts. `ok` is false if it is
// malformed or holds a value above its bound.
PlatformResult ParsePlatformResponse(PlatformReadKind kind,
                                     std::string_view body);

class PlatformClient {
 public:
  // `wake` is notified when a result can be taken.
  PlatformClient(std::vector<Endpoint> services, const WakeEvent& wake);
  ~PlatformClient();
  PlatformClient(const PlatformClient&) = delete;
  PlatformClient& operator=(const PlatformClient&) = delete;

  // Begins a read. Reads run side by side; one that fails gives ok = false and
  // turns to the next service for later ones.
  void Read(const PlatformRead& read);

  std::vector<PlatformResult> TakeResults();

 private:
  struct InFlightRead;

  void Run();
  std::vector<PlatformRead> TakeReads();
  InFlightRead StartRead(const PlatformRead& read) const;
  void Finish(InFlightRead& read);

  const std::vector<Endpoint> services;
  const WakeEvent& wake;
  std::size_t current_service = 0;  // used by the thread only
  WakeEvent work;
  std::mutex mutex;
  std::vector<PlatformRead> reads;      // guarded by mutex
  std::vector<PlatformResult> results;  // guarded by mutex
  bool stopping = false;                // guarded by mutex
  std::thread thread;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_SHELL_PLATFORM_CLIENT_H_
