#include <cppunit/extensions/HelperMacros.h>

#include <unistd.h>

#include <array>

#include "src/shell/flow/poll_set.h"
#include "src/shell/system.h"

namespace cactuscross {
namespace {

class Pipe {
 public:
  Pipe() {
    std::array<int, 2> ends{};
    CPPUNIT_ASSERT_EQUAL(0, pipe(ends.data()));
    this->reader = FileDescriptor(ends[0]);
    this->writer = FileDescriptor(ends[1]);
  }
  void Write() const {
    CPPUNIT_ASSERT_EQUAL(ssize_t{1}, write(this->writer.Get(), "x", 1));
  }

  FileDescriptor reader;
  FileDescriptor writer;
};

class PollSetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PollSetTest);
  CPPUNIT_TEST(OnlyReadyDescriptorsAreReady);
  CPPUNIT_TEST(ClosedPeerIsReady);
  CPPUNIT_TEST(NothingIsReadyAfterATimeout);
  CPPUNIT_TEST_SUITE_END();

 public:
  void OnlyReadyDescriptorsAreReady() {
    const Pipe first;
    const Pipe second;
    second.Write();
    PollSet poll_set;
    poll_set.Wait(
        {{first.reader.Get(), POLLIN, 0}, {second.reader.Get(), POLLIN, 0}},
        1000);
    CPPUNIT_ASSERT(!poll_set.IsReady(first.reader.Get()));
    CPPUNIT_ASSERT(poll_set.IsReady(second.reader.Get()));
    // It was not waited for.
    CPPUNIT_ASSERT(!poll_set.IsReady(second.writer.Get()));
  }

  void ClosedPeerIsReady() {
    Pipe pipe;
    pipe.writer.Close();
    PollSet poll_set;
    poll_set.Wait({{pipe.reader.Get(), POLLIN, 0}}, 1000);
    CPPUNIT_ASSERT(poll_set.IsReady(pipe.reader.Get()));
  }

  void NothingIsReadyAfterATimeout() {
    const Pipe pipe;
    pipe.Write();
    PollSet poll_set;
    poll_set.Wait({{pipe.reader.Get(), POLLIN, 0}}, 1000);
    CPPUNIT_ASSERT(poll_set.IsReady(pipe.reader.Get()));
    const Pipe idle;
    poll_set.Wait({{idle.reader.Get(), POLLIN, 0}}, 1);
    CPPUNIT_ASSERT(!poll_set.IsReady(pipe.reader.Get()));
    CPPUNIT_ASSERT(!poll_set.IsReady(idle.reader.Get()));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PollSetTest);

}  // namespace
}  // namespace cactuscross
