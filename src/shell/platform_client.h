#ifndef CACTUSCROSS_SRC_SHELL_PLATFORM_CLIENT_H_
#define CACTUSCROSS_SRC_SHELL_PLATFORM_CLIENT_H_

// Reads contracts and the list of hosts from the platform's configuration
// service. Runs in its own thread because parsing a response of several
// megabytes would delay the event loop. It only reads.

#include <mutex>
#include <string_view>
#include <thread>
#include <vector>

#include "cactuscross/platform_message.h"
#include "cactuscross/types.h"
#include "src/shell/system.h"

namespace cactuscross {

// Maximum size of a response body.
inline constexpr std::size_t kMaxPlatformResponseBytes = 32U << 20U;

// Parses the response to GET /v1/contracts or /v1/hosts. `ok` is false if it is
// malformed or a value exceeds its size limit.
PlatformResult ParsePlatformResponse(PlatformReadKind kind,
                                     std::string_view body);

class PlatformClient {
 public:
  // `wake` is notified when TakeResults() has results to return.
  PlatformClient(std::vector<Endpoint> services, const WakeEvent& wake);
  ~PlatformClient();
  PlatformClient(const PlatformClient&) = delete;
  PlatformClient& operator=(const PlatformClient&) = delete;

  // Starts a read. Reads run concurrently. A failed read results in ok = false,
  // and later reads use the next service in the list.
  void Read(const PlatformRead& read);

  std::vector<PlatformResult> TakeResults();

 private:
  struct InFlightRead;

  void Run();
  std::vector<PlatformRead> TakeReads();
  InFlightRead StartRead(const PlatformRead& read) const;
  void Finish(InFlightRead& read);

  const std::vector<Endpoint> services;
  const WakeEvent& wake;            // wakes the event loop
  std::size_t current_service = 0;  // used only by `thread`
  WakeEvent work;                   // wakes `thread`
  std::mutex mutex;
  std::vector<PlatformRead> reads;      // guarded by mutex
  std::vector<PlatformResult> results;  // guarded by mutex
  bool stopping = false;                // guarded by mutex
  std::thread thread;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_SHELL_PLATFORM_CLIENT_H_
