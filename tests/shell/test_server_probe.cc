#include <cppunit/extensions/HelperMacros.h>

#include <sys/resource.h>

#include "src/shell/flow/server_probe.h"
#include "tests/shell/fake_http_server.h"

namespace cactuscross {
namespace {

constexpr TimePoint kStart{Duration(1000000)};

// Health checks of the backend server by TCP connection attempts.
class ServerProbeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServerProbeTest);
  CPPUNIT_TEST(AttemptThatCannotBeMadeIsRepeated);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Without a result, the agent would wait for it forever and never notice that
  // its server is dead.
  void AttemptThatCannotBeMadeIsRepeated() {
    const Endpoint closed_port =
        testing::FakeHttpServer("", testing::AfterRequest::kNoResponse).Local();
    ServerProbe probe(closed_port);
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    const rlimit no_descriptors{0, limit.rlim_max};
    setrlimit(RLIMIT_NOFILE, &no_descriptors);
    probe.Begin(kStart);
    setrlimit(RLIMIT_NOFILE, &limit);
    CPPUNIT_ASSERT(ProbeResult::kNone == probe.Continue(kStart));
    CPPUNIT_ASSERT(ProbeResult::kRefused ==
                   probe.Continue(kStart + Duration(100000)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerProbeTest);

}  // namespace
}  // namespace cactuscross
