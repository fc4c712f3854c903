#ifndef CACTUSCROSS_TESTS_SUPPORT_FAKE_PLATFORM_H_
#define CACTUSCROSS_TESTS_SUPPORT_FAKE_PLATFORM_H_

// A fake platform: the configuration service and a host list that may lag.

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cactuscross/contract.h"
#include "cactuscross/platform_message.h"
#include "tests/support/link.h"

namespace cactuscross::testing {

class FakePlatform {
 public:
  using AnswerCallback = std::function<void(const PlatformResult&)>;

  explicit FakePlatform(Link& link) : link(link) {}

  // Publishes a contract and returns its version. The published text is only an
  // index of the contract, which Parser() resolves.
  ContractVersion Publish(const Contract& contract);
  ContractVersion Delete(const std::string& customer);
  ContractParser Parser() const;

  // Returns the newest published version of each customer.
  const std::map<std::string, ContractValue>& Newest() const {
    return this->newest;
  }

  void SetUp(bool up) { this->up = up; }
  bool IsUp() const { return this->up; }
  // Answers every contract read with the state of `revision`, until called with
  // nullopt.
  void SetStale(std::optional<ContractVersion> revision);
  ContractVersion Revision() const { return this->revision; }

  void SetHosts(std::vector<HostEntry> hosts);
  void SetHostLag(Duration lag) { this->host_lag = lag; }

  // Answers `read` once. A watch without newer contracts is answered at the
  // next change or after its wait.
  void Read(const PlatformRead& read, const AnswerCallback& answer);
  std::uint64_t Reads() const { return this->reads; }

 private:
  struct Watch {
    ContractVersion since = 0;
    AnswerCallback answer;
    bool done = false;
  };

  ContractVersion Store(ContractValue value);
  PlatformResult ContractsSince(ContractVersion since) const;
  void AnswerWatch(Watch& watch);
  PlatformResult Hosts() const;

  Link& link;
  bool up = true;
  std::optional<ContractVersion> stale_revision;
  ContractVersion revision = 0;
  std::vector<ContractValue> log;  // all values published, by version
  std::map<std::string, ContractValue> newest;
  std::shared_ptr<std::vector<Contract>> contracts =
      std::make_shared<std::vector<Contract>>();
  std::vector<std::shared_ptr<Watch>> watches;
  Duration host_lag{0};
  std::map<TimePoint, std::vector<HostEntry>> hosts;
  std::uint64_t reads = 0;
};

}  // namespace cactuscross::testing

#endif  // CACTUSCROSS_TESTS_SUPPORT_FAKE_PLATFORM_H_
