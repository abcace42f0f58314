// The table that maps error kinds to answers, and Capture.
#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <stdexcept>

#include "buckthornmux/detail/core/error.h"

namespace buckthornmux {
namespace {

class ErrorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ErrorTest);
  CPPUNIT_TEST(NamesAndNumbersAreUnique);
  CPPUNIT_TEST(NameMapsBackToKind);
  CPPUNIT_TEST(CaptureKeepsTheError);
  CPPUNIT_TEST(CaptureKeepsTheMessageOfAnException);
  CPPUNIT_TEST_SUITE_END();

 public:
  void NamesAndNumbersAreUnique() {
    std::set<std::string_view> names;
    std::set<ErrorKind> kinds;
    for (const ErrorAnswer& row : ErrorTable()) {
      CPPUNIT_ASSERT(names.insert(row.name).second);
      CPPUNIT_ASSERT(kinds.insert(row.kind).second);
      CPPUNIT_ASSERT(row.http_status >= 400 && row.exit_code != 0);
    }
  }

  void NameMapsBackToKind() {
    for (const ErrorAnswer& row : ErrorTable()) {
      CPPUNIT_ASSERT(KindFromName(row.name) == row.kind);
    }
  }

  // Guards against losing the message of an exception: a host whose address was
  // in use ended with "no error attached".
  void CaptureKeepsTheMessageOfAnException() {
    const auto outcome = Capture([]() -> Result<int> {
      throw std::runtime_error("bind: Address already in use");
    });
    CPPUNIT_ASSERT(std::get<Error>(outcome).kind == ErrorKind::kInternal);
    CPPUNIT_ASSERT_EQUAL(std::string("bind: Address already in use"),
                         std::get<Error>(outcome).message);
  }

  void CaptureKeepsTheError() {
    const auto outcome = Capture([]() -> Result<int> {
      return Fail(ErrorKind::kTooLarge, "4 MB at most", "body");
    });
    CPPUNIT_ASSERT(std::get<Error>(outcome).kind == ErrorKind::kTooLarge);
    CPPUNIT_ASSERT_EQUAL(std::string("body"), std::get<Error>(outcome).where);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ErrorTest);

}  // namespace
}  // namespace buckthornmux
