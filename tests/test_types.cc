#include <cppunit/extensions/HelperMacros.h>

#include "cactuscross/result_code.h"
#include "cactuscross/types.h"

namespace cactuscross {
namespace {

class TypesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TypesTest);
  CPPUNIT_TEST(EndpointIsFormatted);
  CPPUNIT_TEST(ErrorIncludesItsLocation);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EndpointIsFormatted() {
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:5683"),
                         ToString(Endpoint{0x7F000001, 5683}));
  }

  void ErrorIncludesItsLocation() {
    CPPUNIT_ASSERT_EQUAL(
        std::string("a.yaml:3: E103 unknown_key: no key 'colour'"),
        ToString(
            Error{ResultCode::kUnknownKey, "no key 'colour'", "a.yaml", 3}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TypesTest);

}  // namespace
}  // namespace cactuscross
